// Operator API that changes the configuration and reports which daemons have
// applied it.
#ifndef BRAMLEYBANK_SRC_HTTP_CONFIG_API_H_
#define BRAMLEYBANK_SRC_HTTP_CONFIG_API_H_

#include <memory>

namespace bramleybank {

class DaemonCluster;
class HttpOperatorApi;
class HttpResponder;
class MetricRegistry;
struct HttpRequest;

/// Serves `POST /config/changes`, whose body is one change as JSON, and
/// `GET /config/confirmations?number=<n>`.
class HttpConfigApi {
 public:
  /// @param cluster, metrics must outlive this object.
  HttpConfigApi(DaemonCluster* cluster, MetricRegistry* metrics);

  /// Registers both paths on the operator port.
  void AddRoutes(HttpOperatorApi* api);

 private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  void HandleChange(const HttpRequest& request, const ResponderPtr& responder);
  void HandleConfirmations(const HttpRequest& request,
                           const ResponderPtr& responder);

  DaemonCluster* m_cluster;
  MetricRegistry* m_metrics;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_CONFIG_API_H_
