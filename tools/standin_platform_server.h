// HTTP server of the platform stand-in: routes, rate limits and injected
// faults.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_SERVER_H_
#define BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "bramleybank/result_code.h"
#include "http_types.h"
#include "standin_listener.h"
#include "standin_platform_faults.h"
#include "standin_platform_rate_limiter.h"
#include "standin_platform_settings.h"
#include "standin_platform_store.h"

namespace bramleybank {

class HttpResponder;
struct HttpRequest;

/// In-memory platform that implements the protocol of section 9.1 of the design
/// page.
class PlatformServer {
 public:
  PlatformServer(EventLoop* loop, const PlatformSettings& settings);

  /// @returns whether it is listening. If not, last_reason() is set.
  bool Start();
  const Reason& last_reason() const { return m_listeners.last_reason(); }

 private:
  using Responder = std::shared_ptr<HttpResponder>;
  struct Answer {
    int status = 200;
    HttpHeaders headers = {};
    std::string body = {};
  };
  /// Reads or changes the stores.
  using Operation = std::function<Answer()>;

  void Handle(const HttpRequest& request, const Responder& responder);
  void HandleControl(const HttpRequest& request, const Responder& responder);
  void HandleStats(const Responder& responder);
  void HandleTable(const HttpRequest& request, const Responder& responder);
  void HandleBatch(const HttpRequest& request, const Responder& responder);
  void HandleScan(const HttpRequest& request, const Responder& responder);
  void HandleObject(const HttpRequest& request, const Responder& responder);
  void HandleWeights(const HttpRequest& request, const Responder& responder);
  void HandleVms(const Responder& responder);

  /// Runs a write when the rate limiter admits it, and applies active faults.
  void RunWrite(double cost, const Responder& responder, Operation operation);
  void FinishWrite(const Responder& responder, const Operation& operation);
  void RunRead(const Responder& responder, Operation operation);
  void SetVms(const nlohmann::json& vms);

  EventLoop* m_loop;
  PlatformSettings m_settings;
  StandinListenerPair m_listeners;
  PlatformStore m_store;
  PlatformFaults m_faults;
  PlatformRateLimiter m_write_limiter;
  PlatformRateLimiter m_read_limiter;
  // In bytes per second; the cost of a request is its number of bytes.
  PlatformRateLimiter m_weight_limiter;
  // VM list that GET /vms returns; lags behind the list set by /control.
  nlohmann::json m_visible_vms = nlohmann::json::array();
  int64_t m_vm_lag_ms;
  uint64_t m_reads = 0;
  uint64_t m_write_requests = 0;
  uint64_t m_refused = 0;
  // Writes held until after their connection closes, see hold_writes.
  uint64_t m_held = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_SERVER_H_
