// Validation of generation requests.
#include "stream_request.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "json_parse.h"
#include "stream_token_list.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr uint64_t kDefaultMaxTokens = 64;
constexpr uint64_t kMaxTokensLimit = 1000000;

std::string ExtractPrompt(GenerationKind kind, const json& body) {
  if (kind == GenerationKind::kChat) {
    const json& messages = body.at("messages");
    if (!messages.is_array() || messages.empty()) {
      throw std::invalid_argument("\"messages\" must be a non-empty array");
    }
    return messages.dump();
  }
  const json& prompt = body.at("prompt");
  if (!prompt.is_string()) {
    throw std::invalid_argument("\"prompt\" must be a string");
  }
  return prompt.get<std::string>();
}

uint64_t ExtractMaxTokens(const json& body) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto it = body.find(name);
    if (it == body.end() || it->is_null()) {
      continue;
    }
    if (!it->is_number_integer() || it->get<int64_t>() < 1 ||
        it->get<uint64_t>() > kMaxTokensLimit) {
      throw std::invalid_argument(std::string("\"") + name +
                                  "\" must be from 1 to " +
                                  std::to_string(kMaxTokensLimit));
    }
    return it->get<uint64_t>();
  }
  return kDefaultMaxTokens;
}

GenerationRequest FromJson(GenerationKind kind, const json& body) {
  if (!body.is_object()) {
    throw std::invalid_argument("the body must be a JSON object");
  }
  GenerationRequest request;
  request.kind = kind;
  request.model = body.at("model").get<std::string>();
  request.adapter = body.value("adapter", "");
  request.stream = body.value("stream", false);
  request.max_tokens = ExtractMaxTokens(body);
  request.prompt = ExtractPrompt(kind, body);
  return request;
}

}  // namespace

std::optional<GenerationRequest> ParseGenerationRequest(GenerationKind kind,
                                                        std::string body,
                                                        Reason* error) {
  json parsed;
  try {
    parsed = ParseJson(body);
  } catch (const std::exception& e) {
    *error = {ResultCode::kBadJson, e.what()};
    return std::nullopt;
  }
  try {
    GenerationRequest request = FromJson(kind, parsed);
    request.body_hash =
        static_cast<uint32_t>(XXH3_64bits(body.data(), body.size()));
    request.body = std::move(body);
    return request;
  } catch (const std::exception& e) {
    *error = {ResultCode::kBadField, e.what()};
    return std::nullopt;
  }
}

std::string_view EnginePath(GenerationKind kind) {
  return kind == GenerationKind::kChat ? "/v1/chat/completions"
                                       : "/v1/completions";
}

std::string AddResumeTokens(const std::string& body,
                            const StreamTokenList& tokens) {
  json value = ParseJson(body);
  json texts = json::array();
  for (size_t i = 0; i < tokens.size(); ++i) {
    texts.push_back(tokens[i]);
  }
  value["resume_tokens"] = std::move(texts);
  return DumpJson(value);
}

}  // namespace bramleybank
