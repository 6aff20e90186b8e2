// HTTP routes of the engine stand-in.
#include "standin_engine_http.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "answer_chain.h"
#include "http_request.h"
#include "http_responder.h"
#include "standin_engine_core.h"

namespace bramleybank::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr uint64_t kMaxTokensLimit = 1000000;

void Answer(const EngineHttp::Responder& responder,
            int status,
            const json& body) {
  responder->Respond(status, {{"Content-Type", "application/json"}},
                     body.dump() + "\n");
}

void AnswerError(const EngineHttp::Responder& responder,
                 int status,
                 const std::string& message) {
  Answer(responder, status, {{"error", message}});
}

void AnswerStatus(const EngineHttp::Responder& responder, EngineStatus status) {
  switch (status) {
    case EngineStatus::kOk:
      Answer(responder, 200, json::object());
      return;
    case EngineStatus::kUnknownStream:
      AnswerError(responder, 404, "no such stream");
      return;
    case EngineStatus::kStaleAttempt:
      AnswerError(responder, 409, "the stream has had a higher attempt");
      return;
    case EngineStatus::kBadResume:
      AnswerError(responder, 400, "tokens or position are not of this stream");
      return;
    case EngineStatus::kVersionFault:
      AnswerError(responder, 500, "version fault");
      return;
  }
}

/// @returns the number, `fallback` for an absent one, nothing for other text.
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

/// @returns what is wrong with the body, or nothing.
std::optional<std::string> ReadBody(const std::string& text,
                                    const std::string& model,
                                    EngineRequest* out) {
  const json body = json::parse(text, nullptr, false);
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
    AnswerError(responder, 405, "method not allowed");
  }
}

void EngineHttp::HandlePost(const HttpRequest& request,
                            const Responder& responder) {
  if (request.path == "/v1/completions" ||
      request.path == "/v1/chat/completions") {
    Generate(request, responder);
  } else if (request.path == "/commands") {
    Command(request, responder);
  } else if (request.path == "/control") {
    Control(request, responder);
  } else {
    AnswerError(responder, 404, "unknown path");
  }
}

void EngineHttp::HandleGet(const HttpRequest& request,
                           const Responder& responder) {
  if (request.path.starts_with(kStreamsPath)) {
    Attach(request, responder);
  } else if (request.path == "/load") {
    Answer(responder, 200, m_core->Load());
  } else if (request.path == "/cache_events") {
    const auto after = ParseNumber<uint64_t>(request.Query("after"), 0);
    Answer(responder, 200, m_core->CacheEvents(after.value_or(0)));
  } else if (request.path == "/stats") {
    Answer(responder, 200, m_core->Stats());
  } else if (request.path == "/healthz") {
    Answer(responder, 200, json::object());
  } else {
    AnswerError(responder, 404, "unknown path");
  }
}

void EngineHttp::Generate(const HttpRequest& request,
                          const Responder& responder) {
  EngineRequest generation;
  const auto attempt = ParseNumber<uint32_t>(request.Header("X-Attempt"), 1);
  const auto priority = ParseNumber<int>(request.Header("X-Priority"), 0);
  generation.generation = request.Header("X-Request-Id").value_or("");
  if (generation.generation.empty()) {
    generation.generation = m_core->NewGeneration();
  }
  if (!attempt || !priority || !IsHex(generation.generation)) {
    AnswerError(responder, 400, "bad header");
    return;
  }
  generation.attempt = *attempt;
  generation.priority = *priority;
  if (const auto fault = ReadBody(request.body, m_core->model(), &generation)) {
    AnswerError(responder, 400, *fault);
    return;
  }
  const EngineStatus status = m_core->Start(generation, responder);
  if (status != EngineStatus::kOk) {
    AnswerStatus(responder, status);
  }
}

void EngineHttp::Attach(const HttpRequest& request,
                        const Responder& responder) {
  const auto attempt = ParseNumber<uint32_t>(request.Header("X-Attempt"), 0);
  const auto after = ParseNumber<uint64_t>(request.Query("after"), 0);
  if (!attempt || !after) {
    AnswerError(responder, 400, "bad attempt or position");
    return;
  }
  const EngineStatus status = m_core->Attach(
      request.path.substr(kStreamsPath.size()), *attempt, *after, responder);
  if (status != EngineStatus::kOk) {
    AnswerStatus(responder, status);
  }
}

void EngineHttp::Cancel(const HttpRequest& request,
                        const Responder& responder) {
  const auto attempt = ParseNumber<uint32_t>(request.Header("X-Attempt"), 0);
  if (!attempt) {
    AnswerError(responder, 400, "bad attempt");
    return;
  }
  AnswerStatus(
      responder,
      m_core->Cancel(request.path.substr(kStreamsPath.size()), *attempt));
}

void EngineHttp::Command(const HttpRequest& request,
                         const Responder& responder) {
  const json command = json::parse(request.body, nullptr, false);
  const auto number =
      ParseNumber<uint64_t>(request.Header("X-Fencing-Number"), 0);
  if (!command.is_object() || !number) {
    AnswerError(responder, 400, "bad command or fencing number");
    return;
  }
  try {
    const int status = m_core->Command(command, *number);
    Answer(responder, status, json::object());
  } catch (const json::exception& exception) {
    AnswerError(responder, 400, exception.what());
  }
}

void EngineHttp::Control(const HttpRequest& request,
                         const Responder& responder) {
  std::string error;
  if (m_core->Control(json::parse(request.body, nullptr, false), &error)) {
    Answer(responder, 200, json::object());
  } else {
    AnswerError(responder, 400, error);
  }
}

}  // namespace bramleybank::standin
