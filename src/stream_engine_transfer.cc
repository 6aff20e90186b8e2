// Builds engine requests, parses engine events and classifies lost attempts.
#include "stream_engine_transfer.h"

#include <cassert>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "bramleybank/limits.h"
#include "http_client.h"
#include "json_parse.h"
#include "stream_cursor.h"
#include "stream_token_list.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr size_t kMaxEngineEventBytes = 64 * 1024;
constexpr size_t kMaxErrorBodyBytes = 1024;
constexpr uint64_t kMaxPosition = std::numeric_limits<uint64_t>::max();
constexpr Duration kCancelTimeout = std::chrono::seconds(2);

uint64_t ParseHex(const std::string& text) {
  uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

HttpClientRequest MakeRequest(const EngineAttempt& attempt,
                              const GenerationRequest& generation,
                              const StreamTokenList& tokens) {
  HttpClientRequest request;
  request.connect_timeout = kConnectTimeout;
  // On a connection that is in use again, a late second refusal of an earlier
  // request would be taken for the answer to this one.
  request.single_attempt = true;
  request.headers = {{"X-Request-Id", FormatGeneration(attempt.generation)},
                     {"X-Attempt", std::to_string(attempt.attempt)},
                     {"X-Priority", std::to_string(attempt.priority)}};
  std::string url = "http://" + attempt.address;
  if (attempt.attach) {
    request.method = "GET";
    url += "/v1/streams/" + FormatGeneration(attempt.generation) +
           "?after=" + std::to_string(attempt.position);
  } else {
    request.method = "POST";
    url += EnginePath(generation.kind);
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = tokens.empty() ? generation.body
                                  : AddResumeTokens(generation.body, tokens);
  }
  request.url = std::move(url);
  return request;
}

}  // namespace

EngineTransfer::EngineTransfer(HttpClient* client,
                               const EngineAttempt& attempt,
                               const GenerationRequest& request,
                               const StreamTokenList& tokens,
                               EngineCallbacks callbacks)
    : m_client(client),
      m_attempt(attempt),
      m_callbacks(std::move(callbacks)),
      m_parser(kMaxEngineEventBytes,
               [this](const SseEvent& event) { OnEvent(event); }) {
  assert(client != nullptr);
  m_transfer = m_client->Start(
      MakeRequest(attempt, request, tokens),
      {.on_headers = [this](int status,
                            const HttpHeaders&) { OnHeaders(status); },
       .on_data = [this](std::string_view data) { OnData(data); },
       .on_done = [this](const HttpOutcome& outcome) { OnDone(outcome); }});
}

EngineTransfer::~EngineTransfer() {
  m_client->Cancel(m_transfer);
}

void EngineTransfer::Pause() {
  m_client->Pause(m_transfer);
}

void EngineTransfer::Resume() {
  m_client->Resume(m_transfer);
}

void EngineTransfer::Stop() {
  m_is_over = true;
  m_client->Cancel(std::exchange(m_transfer, TransferHandle()));
}

void EngineTransfer::OnHeaders(int status) {
  m_status = status;
}

void EngineTransfer::OnData(std::string_view data) {
  if (m_is_over) {
    return;
  }
  if (m_status != 200) {
    const size_t room = kMaxErrorBodyBytes - m_error_body.size();
    m_error_body.append(data.substr(0, room));
    return;
  }
  if (!m_parser.Feed(data)) {
    ReportLoss(AttemptLoss::kMalformed, "event exceeds the maximum size");
  }
}

void EngineTransfer::OnEvent(const SseEvent& event) {
  if (m_is_over || event.data == "[DONE]") {
    return;
  }
  const json value = TryParseJson(event.data);
  if (!value.is_object() || !value.contains("request") ||
      !value["request"].is_string() || !value.contains("attempt") ||
      !value["attempt"].is_number_unsigned()) {
    ReportLoss(AttemptLoss::kMalformed,
               "event without valid request and attempt fields");
    return;
  }
  const uint64_t generation = ParseHex(value["request"].get<std::string>());
  const auto attempt = value["attempt"].get<uint32_t>();
  try {
    if (value.contains("finish")) {
      const EngineEnd end{generation, attempt,
                          WholeNumber(value.at("count"), kMaxPosition),
                          value["finish"].get<std::string>()};
      m_is_over = true;
      m_callbacks.on_end(end);
      return;
    }
    const EngineChunk chunk{generation, attempt,
                            WholeNumber(value.at("index"), kMaxPosition),
                            value.at("text").get<std::string>()};
    m_callbacks.on_chunk(chunk);
  } catch (const std::exception& e) {
    ReportLoss(AttemptLoss::kMalformed, e.what());
  }
}

void EngineTransfer::OnDone(const HttpOutcome& outcome) {
  m_transfer = TransferHandle();
  m_may_have_reached_engine =
      outcome.request_bytes_sent > 0 || outcome.status != 0;
  if (m_is_over) {
    return;
  }
  if (outcome.status == 200) {
    ReportLoss(AttemptLoss::kBroken, outcome.error);
  } else if (outcome.status == 404 && m_attempt.attach) {
    ReportLoss(AttemptLoss::kNotAttached, "the engine has no such stream");
  } else if (outcome.status == 409 || outcome.status >= 500 ||
             outcome.status == 429 || outcome.status == 0) {
    ReportLoss(AttemptLoss::kRefused,
               outcome.error.empty()
                   ? "status " + std::to_string(outcome.status)
                   : outcome.error);
  } else {
    m_is_over = true;
    const auto on_rejected = m_callbacks.on_rejected;
    on_rejected("status " + std::to_string(outcome.status) + ": " +
                m_error_body);
  }
}

void EngineTransfer::ReportLoss(AttemptLoss loss, const std::string& detail) {
  if (std::exchange(m_is_over, true)) {
    return;
  }
  // The callback may destroy this object.
  const auto on_lost = m_callbacks.on_lost;
  on_lost(loss, detail);
}

void CancelEngineStream(HttpClient* client,
                        const std::string& address,
                        uint64_t generation,
                        uint32_t attempt) {
  HttpClientRequest request;
  request.method = "DELETE";
  request.url =
      "http://" + address + "/v1/streams/" + FormatGeneration(generation);
  request.headers = {{"X-Attempt", std::to_string(attempt)}};
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kCancelTimeout;
  client->Start(request, {});
}

}  // namespace bramleybank
