// Handlers of the configuration paths on the operator port.
#include "http_config_api.h"

#include <cassert>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string>

#include "config_change.h"
#include "config_confirmations.h"
#include "daemon_cluster.h"
#include "http_operator_api.h"
#include "http_refusal.h"
#include "http_request.h"
#include "http_responder.h"
#include "json_parse.h"

namespace bramleybank {
namespace {

using nlohmann::json;

const HttpHeaders kJsonHeaders = {{"Content-Type", "application/json"}};

void Refuse(const std::shared_ptr<HttpResponder>& responder,
            const Reason& reason,
            RefusalOutcome outcome,
            MetricRegistry* metrics) {
  HttpRefusal refusal;
  refusal.code = reason.code;
  refusal.message = reason.detail;
  refusal.outcome = outcome;
  SendRefusal(responder.get(), refusal, metrics);
}

json MembersJson(const std::vector<MemberInfo>& members) {
  json list = json::array();
  for (const MemberInfo& member : members) {
    list.push_back({{"peer", member.peer},
                    {"failure_domain", member.failure_domain},
                    {"config_number", member.config_number}});
  }
  return list;
}

}  // namespace

HttpConfigApi::HttpConfigApi(DaemonCluster* cluster, MetricRegistry* metrics)
    : m_cluster(cluster), m_metrics(metrics) {
  assert(cluster != nullptr && metrics != nullptr);
}

void HttpConfigApi::AddRoutes(HttpOperatorApi* api) {
  api->AddRoute("POST /config/changes",
                [this](const HttpRequest& request, const auto& responder) {
                  HandleChange(request, responder);
                });
  api->AddRoute("GET /config/confirmations",
                [this](const HttpRequest& request, const auto& responder) {
                  HandleConfirmations(request, responder);
                });
}

void HttpConfigApi::HandleChange(const HttpRequest& request,
                                 const ResponderPtr& responder) {
  Reason error;
  const auto change = ParseConfigChange(request.body, &error);
  if (!change) {
    Refuse(responder, error, RefusalOutcome::kNotRun, m_metrics);
    return;
  }
  m_cluster->Publish(*change, [this, responder](const PublishResult& result) {
    if (result.status == PublishStatus::kAccepted) {
      responder->Respond(200, kJsonHeaders,
                         json{{"number", result.number}}.dump());
      return;
    }
    // With status kUnknown the change may still be accepted. It is safe to send
    // it again with the same id.
    Refuse(responder, result.reason,
           result.status == PublishStatus::kUnknown ? RefusalOutcome::kUnknown
                                                    : RefusalOutcome::kNotRun,
           m_metrics);
  });
}

void HttpConfigApi::HandleConfirmations(const HttpRequest& request,
                                        const ResponderPtr& responder) {
  const std::string text = request.Query("number").value_or("");
  uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    Refuse(responder,
           {ResultCode::kBadField, "\"number\" must be a whole number"},
           RefusalOutcome::kNotRun, m_metrics);
    return;
  }
  const ConfigConfirmations confirmations = m_cluster->Confirmations(number);
  responder->Respond(
      200, kJsonHeaders,
      DumpJson({{"number", confirmations.number},
                {"in_force", confirmations.in_force},
                {"waiting", MembersJson(confirmations.waiting)},
                {"unreachable", MembersJson(confirmations.unreachable)}}));
}

}  // namespace bramleybank
