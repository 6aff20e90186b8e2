// Formats, sends and counts refusals.
#include "http_refusal.h"

#include <cassert>
#include <nlohmann/json.hpp>

#include "http_responder.h"
#include "log_event.h"
#include "metric_registry.h"

namespace bramleybank {
namespace {

const char* OutcomeName(RefusalOutcome outcome) {
  return outcome == RefusalOutcome::kNotRun ? "not_run" : "unknown";
}

std::string MessageOf(const HttpRefusal& refusal) {
  return refusal.message.empty() ? std::string(InfoOf(refusal.code).meaning)
                                 : refusal.message;
}

}  // namespace

std::string FormatRefusal(const HttpRefusal& refusal) {
  nlohmann::ordered_json error = {{"code", static_cast<int>(refusal.code)},
                                  {"name", InfoOf(refusal.code).name},
                                  {"message", MessageOf(refusal)},
                                  {"outcome", OutcomeName(refusal.outcome)}};
  if (refusal.position) {
    error["position"] = *refusal.position;
  }
  const nlohmann::ordered_json body = {{"error", error}};
  // A message may quote bytes from the caller that are not valid UTF-8; they
  // are replaced.
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

HttpHeaders RefusalHeaders(const HttpRefusal& refusal) {
  HttpHeaders headers = {{"Content-Type", "application/json"}};
  if (refusal.retry_after_s) {
    headers.emplace_back("Retry-After", std::to_string(*refusal.retry_after_s));
  }
  return headers;
}

void SendRefusal(HttpResponder* responder,
                 const HttpRefusal& refusal,
                 MetricRegistry* metrics) {
  assert(responder != nullptr && metrics != nullptr);
  const ResultCodeInfo& info = InfoOf(refusal.code);
  metrics->Count("bramleybank_refusals_total", "reason", info.name);
  LogLine(LogEventId::kRequestRefused)
      .Field("code", static_cast<long long>(refusal.code))
      .Field("reason", info.name)
      .Field("outcome", OutcomeName(refusal.outcome));
  responder->Respond(info.http_status, RefusalHeaders(refusal),
                     FormatRefusal(refusal));
}

}  // namespace bramleybank
