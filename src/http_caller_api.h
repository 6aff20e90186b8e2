// API on the caller port: validates requests and passes them to the stream
// service and the call runner.
#ifndef BRAMLEYBANK_SRC_HTTP_CALLER_API_H_
#define BRAMLEYBANK_SRC_HTTP_CALLER_API_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "bramleybank/result_code.h"
#include "config_snapshot.h"
#include "limit_admission_lease.h"
#include "stream_request.h"

namespace bramleybank {

class HttpResponder;
class MetricRegistry;
class StreamService;
struct HttpRequest;

/// What the caller port needs from the daemon.
struct CallerApiHooks {
  /// @returns the configuration in force, or nullptr if none was loaded yet.
  std::function<const ConfigSnapshot*()> config;
  /// @returns whether the daemon is stopping and accepts no new work.
  std::function<bool()> is_draining;
  /// Applies the limits of the customer to a new generation.
  std::function<AdmissionDecision(const GenerationRequest&)> admit;
  /// Serves /svc/... and /v1/calls/...
  using CallHandler =
      std::function<void(const HttpRequest&,
                         const std::shared_ptr<HttpResponder>&)>;
  CallHandler serve_call;
};

/// Request handler of the caller port.
class HttpCallerApi {
 public:
  HttpCallerApi(CallerApiHooks hooks,
                StreamService* streams,
                MetricRegistry* metrics);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);

 private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  void HandleGeneration(GenerationKind kind,
                        const HttpRequest& request,
                        const ResponderPtr& responder);
  void HandleModels(const ResponderPtr& responder);
  void HandleReconnect(GenerationRequest generation,
                       const std::string& last_event_id,
                       const ResponderPtr& responder);
  /// @returns whether the request was refused.
  bool RefuseBadHeaders(const HttpRequest& request,
                        const ResponderPtr& responder);
  bool RefuseWhenNotServing(const ResponderPtr& responder);
  bool IsModelKnown(const std::string& model) const;
  void Refuse(const ResponderPtr& responder,
              ResultCode code,
              std::string message,
              int retry_after_s = 0);

  CallerApiHooks m_hooks;
  StreamService* m_streams;
  MetricRegistry* m_metrics;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_CALLER_API_H_
