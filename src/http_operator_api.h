// The operator port: health, readiness, metrics and status.
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

/// Hooks of the operator port.
struct OperatorApiHooks {
  /// @returns why the daemon is not ready; empty when it is.
  std::function<std::string()> not_ready_reason;
  /// @returns the status as JSON.
  std::function<std::string()> status;
  /// Called before the metrics are printed, to set gauges.
  std::function<void()> update_gauges;
};

/// Handler of the operator port.
class HttpOperatorApi {
 public:
  using Handler = std::function<void(const HttpRequest&,
                                     const std::shared_ptr<HttpResponder>&)>;

  HttpOperatorApi(OperatorApiHooks hooks, MetricRegistry* metrics);

  /// Adds a further path, as "METHOD /path".
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
