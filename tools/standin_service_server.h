// HTTP server of the service stand-in: routes, record of runs and injected
// faults.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_SERVICE_SERVER_H_
#define BRAMLEYBANK_TOOLS_STANDIN_SERVICE_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bramleybank/result_code.h"
#include "standin_listener.h"
#include "standin_service_faults.h"

namespace bramleybank {

class HttpResponder;
class IniReader;
struct HttpRequest;

/// Settings of the service stand-in.
struct ServiceSettings {
  std::string ip;
  uint16_t port = 0;
  /// A second port for /control and /runs that stays open while the service
  /// refuses connections; 0 means none.
  uint16_t control_port = 0;

  friend bool operator==(const ServiceSettings&,
                         const ServiceSettings&) = default;
};

/// Reads all settings. The reader collects the errors.
ServiceSettings ReadServiceSettings(IniReader* reader);

/// A plain service with three non-idempotent routes. It records each run, so
/// that a test can count how often a call ran.
class ServiceServer {
 public:
  ServiceServer(EventLoop* loop, const ServiceSettings& settings);

  /// @returns whether it is listening. If not, last_reason() is set.
  bool Start();
  const Reason& last_reason() const { return m_listeners.last_reason(); }

 private:
  using Responder = std::shared_ptr<HttpResponder>;
  /// One run of a non-idempotent route.
  struct Run {
    std::string call_id;
    std::string path;
    std::string body;
  };

  void Handle(const HttpRequest& request, const Responder& responder);
  void HandleControl(const HttpRequest& request, const Responder& responder);
  void HandleRuns(const Responder& responder);
  void HandleStatus(const HttpRequest& request, const Responder& responder);
  void HandleCall(const HttpRequest& request, const Responder& responder);
  void RunCall(const Run& run, const Responder& responder);
  /// Sends an answer, padded or truncated as the active faults require.
  void SendAnswer(int status, std::string body, const Responder& responder);

  EventLoop* m_loop;
  ServiceSettings m_settings;
  StandinListenerPair m_listeners;
  ServiceFaults m_faults;
  std::vector<Run> m_runs;
  // Complete requests received on routes other than /control and /runs.
  uint64_t m_requests = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_SERVICE_SERVER_H_
