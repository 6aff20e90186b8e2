// API on the operator port: health, readiness, metrics and status.
#ifndef BRAMLEYBANK_SRC_HTTP_OPERATOR_API_H_
#define BRAMLEYBANK_SRC_HTTP_OPERATOR_API_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace bramleybank {

class HttpResponder;
class MetricRegistry;
struct HttpRequest;

/// What the operator port needs from the daemon.
struct OperatorApiHooks {
  /// @returns why the daemon is not ready, or an empty string if it is ready.
  std::function<std::string()> not_ready_reason;
  /// @returns the status as JSON.
  std::function<std::string()> status;
  /// Updates the gauges; called before the metrics are rendered.
  std::function<void()> update_gauges;
};

/// Request handler of the operator port.
class HttpOperatorApi {
 public:
  using Handler = std::function<void(const HttpRequest&,
                                     const std::shared_ptr<HttpResponder>&)>;

  HttpOperatorApi(OperatorApiHooks hooks, MetricRegistry* metrics);

  /// Adds a handler for a further route, given as "METHOD /path".
  void AddRoute(const std::string& route, Handler handler);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);

 private:
  OperatorApiHooks m_hooks;
  MetricRegistry* m_metrics;
  std::map<std::string, Handler> m_routes;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_OPERATOR_API_H_
