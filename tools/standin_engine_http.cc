// HTTP routes of the engine stand-in.
#include "standin_engine_http.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "answer_chain.h"
#include "http_request.h"
#include "http_responder.h"
#include "json_parse.h"
#include "standin_engine_core.h"

namespace bramleybank::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr uint64_t kMaxTokensLimit = 1000000;

void Reply(const EngineHttp::Responder& responder,
           int status,
           const json& body) {
  responder->Respond(status, {{"Content-Type", "application/json"}},
                     body.dump() + "\n");
}

void ReplyError(const EngineHttp::Responder& responder,
                int status,
                const std::string& message) {
  Reply(responder, status, {{"error", message}});
}

void ReplyStatus(const EngineHttp::Responder& responder, EngineStatus status) {
  switch (status) {
    case EngineStatus::kOk:
      Reply(responder, 200, json::object());
      return;
    case EngineStatus::kUnknownStream:
      ReplyError(responder, 404, "no such stream");
      return;
    case EngineStatus::kStaleAttempt:
      ReplyError(responder, 409, "the stream has had a higher attempt");
      return;
    case EngineStatus::kBadResume:
      ReplyError(responder, 400, "tokens or position are not of this stream");
      return;
    case EngineStatus::kVersionFault:
      ReplyError(responder, 500, "version fault");
      return;
  }
}

/// @returns the number, `fallback` when the text is absent, or nothing when it
/// is not a number.
template <typename Number>
std::optional<Number> ParseNumber(const std::optional<std::string>& text,
                                  Number fallback) {
  if (!text) {
    return fallback;
  }
  Number value{};
  const char* last = text->data() + text->size();
  const auto [end, error] = std::from_chars(text->data(), last, value);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return value;
}

bool IsHex(const std::string& text) {
  return !text.empty() && text.size() <= 16 &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// @returns an error message, or nothing when the body is valid.
std::optional<std::string> ParseBody(const std::string& text,
                                     const std::string& model,
                                     EngineRequest* out) {
  const json body = TryParseJson(text);
  if (!body.is_object()) {
    return "the body is not a JSON object";
  }
  const auto prompt = ExtractPrompt(body);
  if (!prompt) {
    return "prompt or messages expected";
  }
  out->prompt = *prompt;
  try {
    if (body.value("model", model) != model) {
      return "another model is loaded";
    }
    out->max_tokens = body.value("max_tokens", kDefaultMaxTokens);
    out->resume_tokens =
        body.value("resume_tokens", std::vector<std::string>());
  } catch (const json::exception& exception) {
    return exception.what();
  }
  if (out->max_tokens == 0 || out->max_tokens > kMaxTokensLimit) {
    return "max_tokens is out of range";
  }
  return std::nullopt;
}

}  // namespace

void EngineHttp::Handle(const HttpRequest& request,
                        const Responder& responder) {
  if (request.method == "POST") {
    HandlePost(request, responder);
  } else if (request.method == "GET") {
    HandleGet(request, responder);
  } else if (request.method == "DELETE" &&
             request.path.starts_with(kStreamsPath)) {
    Cancel(request, responder);
  } else {
    ReplyError(responder, 405, "method not allowed");
  }
}

void EngineHttp::HandlePost(const HttpRequest& request,
                            const Responder& responder) {
  if (request.path == "/v1/completions" ||
      request.path == "/v1/chat/completions") {
    Generate(request, responder);
  } else if (request.path == "/commands") {
    HandleCommand(request, responder);
  } else if (request.path == "/control") {
    HandleControl(request, responder);
  } else {
    ReplyError(responder, 404, "unknown path");
  }
}

void EngineHttp::HandleGet(const HttpRequest& request,
                           const Responder& responder) {
  if (request.path.starts_with(kStreamsPath)) {
    Attach(request, responder);
  } else if (request.path == "/load") {
    Reply(responder, 200, m_core->Load());
  } else if (request.path == "/cache_events") {
    const auto after = ParseNumber<uint64_t>(request.Query("after"), 0);
    Reply(responder, 200, m_core->CacheEvents(after.value_or(0)));
  } else if (request.path == "/stats") {
    Reply(responder, 200, m_core->Stats());
  } else if (request.path == "/healthz") {
    Reply(responder, 200, json::object());
  } else {
    ReplyError(responder, 404, "unknown path");
  }
}

void EngineHttp::Generate(const HttpRequest& request,
                          const Responder& responder) {
  EngineRequest engine_request;
  const auto attempt = ParseNumber<uint32_t>(request.Header("X-Attempt"), 1);
  const auto priority = ParseNumber<int>(request.Header("X-Priority"), 0);
  engine_request.generation = request.Header("X-Request-Id").value_or("");
  if (engine_request.generation.empty()) {
    engine_request.generation = m_core->NewGenerationId();
  }
  if (!attempt || !priority || !IsHex(engine_request.generation)) {
    ReplyError(responder, 400, "bad header");
    return;
  }
  engine_request.attempt = *attempt;
  engine_request.priority = *priority;
  if (const auto error =
          ParseBody(request.body, m_core->model(), &engine_request)) {
    ReplyError(responder, 400, *error);
    return;
  }
  const EngineStatus status = m_core->Start(engine_request, responder);
  if (status != EngineStatus::kOk) {
    ReplyStatus(responder, status);
  }
}

void EngineHttp::Attach(const HttpRequest& request,
                        const Responder& responder) {
  const auto attempt = ParseNumber<uint32_t>(request.Header("X-Attempt"), 0);
  const auto after = ParseNumber<uint64_t>(request.Query("after"), 0);
  if (!attempt || !after) {
    ReplyError(responder, 400, "bad attempt or position");
    return;
  }
  const EngineStatus status = m_core->Attach(
      request.path.substr(kStreamsPath.size()), *attempt, *after, responder);
  if (status != EngineStatus::kOk) {
    ReplyStatus(responder, status);
  }
}

void EngineHttp::Cancel(const HttpRequest& request,
                        const Responder& responder) {
  const auto attempt = ParseNumber<uint32_t>(request.Header("X-Attempt"), 0);
  if (!attempt) {
    ReplyError(responder, 400, "bad attempt");
    return;
  }
  ReplyStatus(
      responder,
      m_core->Cancel(request.path.substr(kStreamsPath.size()), *attempt));
}

void EngineHttp::HandleCommand(const HttpRequest& request,
                               const Responder& responder) {
  const json command = TryParseJson(request.body);
  const auto number =
      ParseNumber<uint64_t>(request.Header("X-Fencing-Number"), 0);
  if (!command.is_object() || !number) {
    ReplyError(responder, 400, "bad command or fencing number");
    return;
  }
  try {
    const int status = m_core->RunCommand(command, *number);
    Reply(responder, status, json::object());
  } catch (const json::exception& exception) {
    ReplyError(responder, 400, exception.what());
  }
}

void EngineHttp::HandleControl(const HttpRequest& request,
                               const Responder& responder) {
  std::string error;
  if (m_core->ApplyControl(TryParseJson(request.body), &error)) {
    Reply(responder, 200, json::object());
  } else {
    ReplyError(responder, 400, error);
  }
}

}  // namespace bramleybank::standin
