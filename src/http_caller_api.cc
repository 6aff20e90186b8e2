// Routing of caller requests by path and method.
#include "http_caller_api.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

#include "bramleybank/limits.h"
#include "call_runner.h"
#include "http_refusal.h"
#include "http_request.h"
#include "http_responder.h"
#include "metric_registry.h"
#include "stream_cursor.h"
#include "stream_service.h"

namespace bramleybank {
namespace {

constexpr char kAnonymousCustomer[] = "anonymous";
constexpr int kUnavailableRetryAfterSeconds = 1;

bool IsValidHeaderValue(std::string_view text, size_t max_bytes) {
  return !text.empty() && text.size() <= max_bytes &&
         std::ranges::all_of(text, [](char c) {
           return c > ' ' && c < 127 && c != '"' && c != '\\';
         });
}

}  // namespace

HttpCallerApi::HttpCallerApi(CallerApiHooks hooks,
                             StreamService* streams,
                             MetricRegistry* metrics)
    : m_hooks(std::move(hooks)), m_streams(streams), m_metrics(metrics) {
  assert(m_hooks.config && m_hooks.is_draining && m_hooks.admit &&
         m_hooks.serve_call);
  assert(streams != nullptr && metrics != nullptr);
}

void HttpCallerApi::Handle(const HttpRequest& request,
                           const ResponderPtr& responder) {
  m_metrics->Count("bramleybank_requests_total");
  if (RefuseBadHeaders(request, responder)) {
    return;
  }
  const std::string& path = request.path;
  if (path == "/v1/completions") {
    HandleGeneration(GenerationKind::kCompletion, request, responder);
  } else if (path == "/v1/chat/completions") {
    HandleGeneration(GenerationKind::kChat, request, responder);
  } else if (path == "/v1/models") {
    HandleModels(responder);
  } else if (path.starts_with("/v1/calls/")) {
    m_hooks.serve_call(request, responder);
  } else if (CallRunner::Handles(path)) {
    if (!RefuseWhenNotServing(responder)) {
      m_hooks.serve_call(request, responder);
    }
  } else {
    Refuse(responder, ResultCode::kUnknownPath, "no such path: " + path);
  }
}

bool HttpCallerApi::RefuseBadHeaders(const HttpRequest& request,
                                     const ResponderPtr& responder) {
  const auto customer = request.Header("X-Customer");
  if (customer && !IsValidHeaderValue(*customer, kMaxCustomerNameBytes)) {
    Refuse(responder, ResultCode::kBadHeader,
           "X-Customer must have 1 to " +
               std::to_string(kMaxCustomerNameBytes) +
               " printable characters without spaces, quotes or backslashes");
    return true;
  }
  const auto key = request.Header("Idempotency-Key");
  if (key && !IsValidHeaderValue(*key, kMaxIdempotencyKeyBytes)) {
    Refuse(responder, ResultCode::kBadHeader,
           "Idempotency-Key must have 1 to " +
               std::to_string(kMaxIdempotencyKeyBytes) +
               " printable characters without spaces, quotes or backslashes");
    return true;
  }
  return false;
}

bool HttpCallerApi::RefuseWhenNotServing(const ResponderPtr& responder) {
  if (m_hooks.is_draining()) {
    Refuse(responder, ResultCode::kDraining, "", kUnavailableRetryAfterSeconds);
    return true;
  }
  if (m_hooks.config() == nullptr) {
    Refuse(responder, ResultCode::kNotReady, "", kUnavailableRetryAfterSeconds);
    return true;
  }
  return false;
}

void HttpCallerApi::HandleGeneration(GenerationKind kind,
                                     const HttpRequest& request,
                                     const ResponderPtr& responder) {
  if (request.method != "POST") {
    Refuse(responder, ResultCode::kMethodNotAllowed, "use POST");
    return;
  }
  if (RefuseWhenNotServing(responder)) {
    return;
  }
  Reason error;
  auto generation = ParseGenerationRequest(kind, request.body, &error);
  if (!generation) {
    Refuse(responder, error.code, error.detail);
    return;
  }
  if (!IsModelKnown(generation->model)) {
    Refuse(responder, ResultCode::kUnknownModel,
           "no endpoint serves the model \"" + generation->model + "\"");
    return;
  }
  generation->customer =
      request.Header("X-Customer").value_or(kAnonymousCustomer);
  if (const auto last_event_id = request.Header("Last-Event-ID")) {
    HandleReconnect(*std::move(generation), *last_event_id, responder);
    return;
  }
  const AdmissionDecision decision = m_hooks.admit(*generation);
  if (decision.refusal) {
    Refuse(responder, decision.refusal->code, decision.refusal->detail,
           decision.retry_after_s);
    return;
  }
  m_streams->Create(*std::move(generation), responder, decision.lease);
}

void HttpCallerApi::HandleReconnect(GenerationRequest generation,
                                    const std::string& last_event_id,
                                    const ResponderPtr& responder) {
  const auto cursor = ParseStreamCursor(last_event_id);
  if (!cursor) {
    Refuse(responder, ResultCode::kBadLastEventId,
           "not an id that this system issued: " + last_event_id.substr(0, 64));
    return;
  }
  // No admission check: the stream was admitted when it was created.
  m_streams->Resume(std::move(generation), *cursor, responder);
}

bool HttpCallerApi::IsModelKnown(const std::string& model) const {
  return std::ranges::any_of(m_hooks.config()->endpoints,
                             [&](const EndpointConfig& endpoint) {
                               return endpoint.kind == EndpointKind::kEngine &&
                                      endpoint.group == model;
                             });
}

void HttpCallerApi::HandleModels(const ResponderPtr& responder) {
  const ConfigSnapshot* config = m_hooks.config();
  if (config == nullptr) {
    Refuse(responder, ResultCode::kNotReady, "", kUnavailableRetryAfterSeconds);
    return;
  }
  std::set<std::string> models;
  for (const EndpointConfig& endpoint : config->endpoints) {
    if (endpoint.kind == EndpointKind::kEngine) {
      models.insert(endpoint.group);
    }
  }
  nlohmann::json body = {{"object", "list"}, {"data", nlohmann::json::array()}};
  for (const std::string& model : models) {
    body["data"].push_back(
        {{"id", model}, {"object", "model"}, {"owned_by", "bramleybank"}});
  }
  responder->Respond(200, {{"Content-Type", "application/json"}}, body.dump());
}

void HttpCallerApi::Refuse(const ResponderPtr& responder,
                           ResultCode code,
                           std::string message,
                           int retry_after_s) {
  HttpRefusal refusal;
  refusal.code = code;
  refusal.message = std::move(message);
  refusal.outcome = RefusalOutcome::kNotRun;
  if (retry_after_s > 0) {
    refusal.retry_after_s = retry_after_s;
  }
  SendRefusal(responder.get(), refusal, m_metrics);
}

}  // namespace bramleybank
