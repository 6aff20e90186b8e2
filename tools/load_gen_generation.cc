// Client side of one streamed generation.
#include "load_gen_generation.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "bramleybank/result_code.h"
#include "event_loop.h"
#include "http_client.h"
#include "json_parse.h"
#include "load_gen_stats.h"
#include "stream_cursor.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr size_t kMaxEventBytes = 1 << 20;
constexpr size_t kMaxRefusalBytes = 1 << 16;
constexpr Duration kStallCheckInterval = std::chrono::milliseconds(500);

/// @returns the result code in the JSON of an error, or 0 if it has none.
int ParseErrorCode(const std::string& body) {
  const json refusal = TryParseJson(body);
  if (!refusal.is_object() || !refusal.contains("error") ||
      !refusal["error"].is_object()) {
    return 0;
  }
  const json& error = refusal["error"];
  return error.contains("code") && error["code"].is_number_integer()
             ? error["code"].get<int>()
             : 0;
}

/// @returns whether the daemon is draining or not ready. A load balancer then
/// sends the request to another daemon.
bool IsNotReadyCode(int code) {
  return code == static_cast<int>(ResultCode::kDraining) ||
         code == static_cast<int>(ResultCode::kNotReady);
}

bool IsTemporaryStatus(int status) {
  static constexpr std::array kStatuses = {429, 502, 503, 504};
  return std::ranges::find(kStatuses, status) != kStatuses.end();
}

/// @returns the string at `key`, or nothing if it is missing or of another
/// type.
std::optional<std::string> FindString(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

}  // namespace

LoadGeneration::LoadGeneration(const LoadContext* context,
                               PlannedRequest request,
                               TimePoint intended,
                               std::function<void()> on_end)
    : m_context(context),
      m_request(std::move(request)),
      m_intended(intended),
      m_on_end(std::move(on_end)),
      m_parser(kMaxEventBytes, {}),
      m_backoff(context->settings->reconnect_limit, context->random) {}

LoadGeneration::~LoadGeneration() {
  m_context->client->Cancel(m_transfer);
  m_context->loop->Cancel(m_retry_timer);
  m_context->loop->Cancel(m_stall_timer);
}

void LoadGeneration::Start() {
  m_body = MakeBody();
  m_target = m_context->targets->Next();
  m_last_data = m_context->loop->Now();
  if (m_context->settings->stall_timeout.count() > 0) {
    CheckStall();
  }
  Send();
}

std::string LoadGeneration::MakeBody() const {
  json body{{"model", m_context->settings->model},
            {"max_tokens", m_request.max_tokens},
            {"stream", true}};
  if (m_request.kind == LoadKind::kChat) {
    body["messages"] = {{{"role", "user"}, {"content", m_request.prompt}}};
  } else {
    body["prompt"] = m_request.prompt;
  }
  return body.dump();
}

void LoadGeneration::Send() {
  m_status = 0;
  m_handed_over = false;
  m_error_body.clear();
  m_parser = SseParser(kMaxEventBytes,
                       [this](const SseEvent& event) { OnEvent(event); });
  m_last_data = m_context->loop->Now();
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + m_target +
                (m_request.kind == LoadKind::kChat ? "/v1/chat/completions"
                                                   : "/v1/completions");
  request.headers = {{"Content-Type", "application/json"},
                     {"X-Customer", m_request.customer},
                     {"Idempotency-Key", m_request.key}};
  if (!m_last_event_id.empty()) {
    request.headers.emplace_back("Last-Event-ID", m_last_event_id);
  }
  request.body = m_body;
  request.connect_timeout = m_context->settings->connect_timeout;
  // Callers do not share connections, and libcurl must not retry a request on
  // its own, because reconnects are counted here.
  request.single_attempt = true;
  HttpClientCallbacks callbacks;
  callbacks.on_headers = [this](int status, const HttpHeaders&) {
    OnHeaders(status);
  };
  callbacks.on_data = [this](std::string_view bytes) { OnData(bytes); };
  callbacks.on_done = [this](const HttpOutcome& outcome) { OnDone(outcome); };
  m_transfer = m_context->client->Start(request, std::move(callbacks));
}

void LoadGeneration::OnHeaders(int status) {
  m_status = status;
}

void LoadGeneration::OnData(std::string_view bytes) {
  m_last_data = m_context->loop->Now();
  if (m_status != 200) {
    m_error_body.append(bytes.substr(
        0, kMaxRefusalBytes - std::min(kMaxRefusalBytes, m_error_body.size())));
    return;
  }
  if (!m_parser.Feed(bytes)) {
    Fail("oversized_event");
  }
}

void LoadGeneration::OnEvent(const SseEvent& event) {
  if (m_ended || m_done || m_failed || m_handed_over) {
    return;
  }
  if (event.event == "handover") {
    m_context->stats->Count("handovers");
    m_handed_over = true;
    m_context->client->Cancel(std::exchange(m_transfer, TransferHandle()));
    ScheduleReconnect();
    return;
  }
  if (event.event == "error") {
    m_failed = true;
    m_context->stats->Count("stream_error_" +
                            std::to_string(ParseErrorCode(event.data)));
    return;
  }
  if (event.data == "[DONE]") {
    m_done = true;
    return;
  }
  const json chunk = TryParseJson(event.data);
  if (!chunk.is_object()) {
    m_faulty = true;
    m_context->stats->Count("fault_bad_chunk");
    return;
  }
  OnChunk(chunk);
  if (!event.id.empty()) {
    m_last_event_id = event.id;
    CheckEventId(event.id);
  }
}

void LoadGeneration::OnChunk(const json& chunk) {
  if (!CheckVersion(chunk)) {
    return;
  }
  // A daemon's chunk has "choices"; an engine's has its text at the top level.
  const json* part = &chunk;
  const auto choices = chunk.find("choices");
  if (choices != chunk.end()) {
    if (!choices->is_array() || choices->empty() ||
        !(*choices)[0].is_object()) {
      ReadTokenCount(chunk);
      return;
    }
    part = &(*choices)[0];
    const auto delta = part->find("delta");
    if (delta != part->end() && delta->is_object()) {
      if (const auto text = FindString(*delta, "content")) {
        OnText(*text);
      }
    }
  }
  if (const auto text = FindString(*part, "text")) {
    OnText(*text);
  }
  ReadTokenCount(chunk);
}

void LoadGeneration::ReadTokenCount(const json& chunk) {
  const auto usage = chunk.find("usage");
  const json* parent =
      usage != chunk.end() && usage->is_object() ? &*usage : &chunk;
  const char* key = parent == &chunk ? "count" : "completion_tokens";
  const auto count = parent->find(key);
  if (count != parent->end() && count->is_number_unsigned()) {
    m_reported_tokens = count->get<uint64_t>();
  }
}

bool LoadGeneration::CheckVersion(const json& chunk) {
  std::optional<std::string> name = FindString(chunk, "system_fingerprint");
  if (!name) {
    name = FindString(chunk, "version");
    if (!name) {
      return true;
    }
    *name += "/" + m_context->settings->adapter;
  }
  if (m_checker) {
    if (*name != m_version) {
      m_faulty = true;
      m_context->stats->Count("fault_version_changed");
      return false;
    }
    return true;
  }
  m_version = *name;
  const size_t slash = name->find('/');
  const std::string adapter =
      slash == std::string::npos ? "" : name->substr(slash + 1);
  // For a chat, the engine's prompt is built from the messages.
  const auto prompt = ExtractPrompt(ParseJson(m_body));
  m_checker.emplace(InitialChainHash(m_context->settings->model,
                                     name->substr(0, slash), adapter, *prompt),
                    m_request.max_tokens);
  return true;
}

void LoadGeneration::OnText(const std::string& text) {
  if (text.empty()) {
    return;
  }
  if (!m_checker) {
    m_faulty = true;
    m_context->stats->Count("fault_no_version");
    return;
  }
  const uint64_t before = m_checker->received();
  m_checker->Feed(text);
  const uint64_t tokens = m_checker->received() - before;
  const TimePoint now = m_context->loop->Now();
  m_context->stats->Count("tokens", tokens);
  if (m_context->on_text) {
    m_context->on_text(text);
  }
  const TimePoint since =
      m_last_token == TimePoint() ? m_intended : m_last_token;
  if (m_backoff.is_active()) {
    const Duration latency =
        now - (m_last_token == TimePoint() ? m_backoff.first_loss() : since);
    m_context->stats->Observe("resume_latency", latency);
    if (m_context->on_resume) {
      m_context->on_resume(latency, before + 1, m_target);
    }
    m_backoff.Reset();
  }
  if (m_last_token == TimePoint()) {
    m_context->stats->Observe("first_token", now - m_intended);
  } else {
    m_context->stats->Observe("token_gap", now - since);
    m_longest_gap = std::max(m_longest_gap, now - since);
  }
  m_last_token = now;
}

void LoadGeneration::CheckEventId(const std::string& id) {
  const auto cursor = ParseStreamCursor(id);
  if (!cursor || !m_checker) {
    return;
  }
  if (cursor->position != m_checker->received()) {
    m_faulty = true;
    m_context->stats->Count("fault_event_position");
  }
}

void LoadGeneration::OnDone(const HttpOutcome& outcome) {
  m_transfer = TransferHandle();
  if (m_ended) {
    return;
  }
  if (m_done) {
    Complete();
  } else if (m_failed) {
    Fail("stream_error");
  } else if (outcome.status == 200 || outcome.status == 0) {
    ScheduleReconnect();
  } else {
    OnRefusal(outcome.status, m_error_body);
  }
}

void LoadGeneration::OnRefusal(int status, const std::string& body) {
  const int code = ParseErrorCode(body);
  m_context->stats->Count(code != 0 ? "refusal_" + std::to_string(code)
                                    : "refusal_http_" + std::to_string(status));
  // A temporary refusal of a resume is retried, because the caller needs the
  // rest of the answer.
  if (IsNotReadyCode(code) ||
      (m_backoff.is_active() && IsTemporaryStatus(status))) {
    ScheduleReconnect();
    return;
  }
  Fail(m_backoff.is_active() ? "resume_refused" : "refused");
}

void LoadGeneration::ScheduleReconnect() {
  m_context->stats->Count("reconnects");
  const auto delay = m_backoff.NextDelay(m_context->loop->Now());
  if (!delay) {
    Fail("reconnect_limit");
    return;
  }
  m_target = m_context->targets->After(m_target);
  m_context->loop->Cancel(m_retry_timer);
  m_retry_timer = m_context->loop->Schedule(*delay, [this] { Send(); });
}

void LoadGeneration::CheckStall() {
  const Duration silent = m_context->loop->Now() - m_last_data;
  if (m_transfer.is_valid() && silent >= m_context->settings->stall_timeout) {
    m_context->stats->Count("caller_stall_timeouts");
    m_context->client->Cancel(std::exchange(m_transfer, TransferHandle()));
    ScheduleReconnect();
    if (m_ended) {
      return;
    }
  }
  m_stall_timer =
      m_context->loop->Schedule(kStallCheckInterval, [this] { CheckStall(); });
}

void LoadGeneration::Complete() {
  bool faulty = m_faulty;
  if (m_checker) {
    m_checker->Finish(m_reported_tokens);
    for (const AnswerFault& fault : m_checker->faults()) {
      m_context->stats->Count("fault_" +
                              std::string(AnswerFaultName(fault.kind)));
    }
    if (!m_checker->faults().empty()) {
      const AnswerFault& first = m_checker->faults().front();
      LOG(WARNING) << "key=" << m_request.key
                   << " fault=" << AnswerFaultName(first.kind)
                   << " position=" << first.position
                   << " received=" << m_checker->received();
      faulty = true;
    }
  } else {
    m_context->stats->Count("fault_empty");
    faulty = true;
  }
  m_context->stats->Count(faulty ? "answers_faulty" : "answers_whole");
  if (m_longest_gap.count() > 0) {
    m_context->stats->Observe("longest_gap", m_longest_gap);
  }
  m_context->stats->Observe("generation", m_last_token - m_intended);
  End();
}

void LoadGeneration::Fail(std::string_view reason) {
  m_context->stats->Count("answers_incomplete");
  m_context->stats->Count("incomplete_" + std::string(reason));
  // The tokens received must be correct even if the answer is incomplete.
  const bool faulty = m_faulty || (m_checker && !m_checker->faults().empty());
  if (faulty) {
    m_context->stats->Count("answers_faulty");
  }
  End();
}

void LoadGeneration::End() {
  if (std::exchange(m_ended, true)) {
    return;
  }
  m_context->client->Cancel(std::exchange(m_transfer, TransferHandle()));
  m_context->loop->Cancel(m_stall_timer);
  m_context->loop->Post(m_on_end);
}

}  // namespace bramleybank
