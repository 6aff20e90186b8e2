// HTTP side of the service stand-in: routes, record of runs, faults.
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

/// Values from the settings file.
struct ServiceSettings {
  std::string ip;
  uint16_t port = 0;
  /// A second port for control and the record that stays open while the
  /// service refuses connections; 0 means none.
  uint16_t control_port = 0;

  friend bool operator==(const ServiceSettings&,
                         const ServiceSettings&) = default;
};

/// Reads all settings; faults are kept by the reader.
ServiceSettings ReadServiceSettings(IniReader* reader);

/// A plain service with three non-idempotent routes. Each run is recorded, so
/// that a test can count the runs of a call.
class ServiceServer {
 public:
  ServiceServer(EventLoop* loop, const ServiceSettings& settings);

  /// @returns whether it listens, else last_reason() is set.
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
  /// Sends an answer with the faults of the end of an exchange.
  void SendAnswer(int status, std::string body, const Responder& responder);

  EventLoop* m_loop;
  ServiceSettings m_settings;
  StandinListenerPair m_listeners;
  ServiceFaults m_faults;
  std::vector<Run> m_runs;
  // Requests of any route but control and record, read whole.
  uint64_t m_requests = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_SERVICE_SERVER_H_
