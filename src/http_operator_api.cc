// Routes requests on the operator port by method and path.
#include "http_operator_api.h"

#include <cassert>

#include "http_refusal.h"
#include "http_request.h"
#include "http_responder.h"
#include "metric_registry.h"

namespace bramleybank {
namespace {

const HttpHeaders kTextHeaders = {{"Content-Type", "text/plain"}};
const HttpHeaders kJsonHeaders = {{"Content-Type", "application/json"}};

}  // namespace

HttpOperatorApi::HttpOperatorApi(OperatorApiHooks hooks,
                                 MetricRegistry* metrics)
    : m_hooks(std::move(hooks)), m_metrics(metrics) {
  assert(m_hooks.not_ready_reason && m_hooks.status && metrics != nullptr);
}

void HttpOperatorApi::AddRoute(const std::string& route, Handler handler) {
  m_routes[route] = std::move(handler);
}

void HttpOperatorApi::Handle(const HttpRequest& request,
                             const std::shared_ptr<HttpResponder>& responder) {
  if (request.method == "GET" && request.path == "/healthz") {
    responder->Respond(200, kTextHeaders, "ok\n");
    return;
  }
  if (request.method == "GET" && request.path == "/readyz") {
    const std::string reason = m_hooks.not_ready_reason();
    responder->Respond(reason.empty() ? 200 : 503, kTextHeaders,
                       (reason.empty() ? "ready" : reason) + "\n");
    return;
  }
  if (request.method == "GET" && request.path == "/metrics") {
    if (m_hooks.update_gauges) {
      m_hooks.update_gauges();
    }
    responder->Respond(200, kTextHeaders, m_metrics->Render());
    return;
  }
  if (request.method == "GET" && request.path == "/status") {
    responder->Respond(200, kJsonHeaders, m_hooks.status());
    return;
  }
  const auto route = m_routes.find(request.method + " " + request.path);
  if (route != m_routes.end()) {
    route->second(request, responder);
    return;
  }
  HttpRefusal refusal;
  refusal.code = ResultCode::kUnknownPath;
  refusal.message = request.method + " " + request.path;
  SendRefusal(responder.get(), refusal, m_metrics);
}

}  // namespace bramleybank
