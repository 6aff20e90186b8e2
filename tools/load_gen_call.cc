// Client side of one plain-service call.
#include "load_gen_call.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "bramleybank/result_code.h"
#include "event_loop.h"
#include "http_client.h"
#include "json_parse.h"
#include "load_gen_generation.h"
#include "load_gen_stats.h"

namespace bramleybank {
namespace {

using nlohmann::json;

/// @returns whether the answer names a key other than `key`, and so belongs to
/// another request.
bool HasDifferentKey(const std::string& body, const std::string& key) {
  const json answer = TryParseJson(body);
  if (!answer.is_object() || !answer.contains("key")) {
    return false;
  }
  return answer["key"] != key;
}

}  // namespace

LoadCall::LoadCall(const LoadContext* context,
                   PlannedRequest request,
                   TimePoint intended,
                   std::function<void()> on_end)
    : m_context(context),
      m_request(std::move(request)),
      m_intended(intended),
      m_on_end(std::move(on_end)),
      m_backoff(context->settings->reconnect_limit, context->random) {}

LoadCall::~LoadCall() {
  m_context->client->Cancel(m_transfer);
  m_context->loop->Cancel(m_retry_timer);
}

void LoadCall::Start() {
  m_target = m_context->targets->Next();
  Send();
}

std::string LoadCall::StatName(const std::string& name) const {
  return (m_request.kind == LoadKind::kBooking ? "booking_" : "lookup_") + name;
}

void LoadCall::Send() {
  const LoadSettings& settings = *m_context->settings;
  HttpClientRequest request;
  const std::string base = "http://" + m_target + "/svc/" + settings.service;
  request.headers = {{"X-Customer", m_request.customer}};
  if (m_request.kind == LoadKind::kBooking) {
    request.method = "POST";
    request.url = base + settings.booking_path;
    request.headers.emplace_back("Content-Type", "application/json");
    request.headers.emplace_back("Idempotency-Key", m_request.key);
    request.body = json{{"key", m_request.key}}.dump();
  } else {
    request.url = base + settings.lookup_path + "/" + m_request.key;
  }
  request.connect_timeout = settings.connect_timeout;
  request.total_timeout = settings.stall_timeout;
  request.single_attempt = true;
  HttpClientCallbacks callbacks;
  callbacks.on_done = [this](const HttpOutcome& outcome) { OnDone(outcome); };
  m_transfer = m_context->client->Start(request, std::move(callbacks));
}

void LoadCall::OnDone(const HttpOutcome& outcome) {
  m_transfer = TransferHandle();
  if (!outcome.complete || outcome.status == 0) {
    ScheduleRetry();
  } else if (outcome.status >= 400) {
    OnRefusal(outcome);
  } else {
    OnAnswer(outcome);
  }
}

void LoadCall::OnAnswer(const HttpOutcome& outcome) {
  m_context->stats->Observe(StatName("time"),
                            m_context->loop->Now() - m_intended);
  if (FindHeader(outcome.headers, "Idempotency-Replayed")) {
    m_context->stats->Count(StatName("replayed"));
  }
  if (HasDifferentKey(outcome.body, m_request.key)) {
    m_context->stats->Count("answers_faulty");
    m_context->stats->Count("fault_other_key");
  }
  End("answered");
}

void LoadCall::OnRefusal(const HttpOutcome& outcome) {
  const json body = TryParseJson(outcome.body);
  int code = 0;
  std::string result = "not_run";
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    const json& error = body["error"];
    try {
      code = error.value("code", 0);
      result = error.value("outcome", result);
    } catch (const json::exception&) {
      m_context->stats->Count("fault_bad_refusal");
    }
  }
  m_context->stats->Count(code != 0 ? "refusal_" + std::to_string(code)
                                    : "refusal_http_" +
                                          std::to_string(outcome.status));
  if (code == static_cast<int>(ResultCode::kDraining) ||
      code == static_cast<int>(ResultCode::kNotReady)) {
    ScheduleRetry();
    return;
  }
  End("refused_" + result);
}

void LoadCall::ScheduleRetry() {
  m_context->stats->Count("reconnects");
  const auto delay = m_backoff.NextDelay(m_context->loop->Now());
  if (!delay) {
    End("given_up");
    return;
  }
  m_target = m_context->targets->After(m_target);
  m_retry_timer = m_context->loop->Schedule(*delay, [this] { Send(); });
}

void LoadCall::End(const std::string& result) {
  m_context->stats->Count(StatName(result));
  m_context->loop->Post(m_on_end);
}

}  // namespace bramleybank
