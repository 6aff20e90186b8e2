// JSON of streamed and non-streamed answers.
#include "stream_format.h"

#include <nlohmann/json.hpp>

#include "http_sse_parser.h"
#include "stream_cursor.h"

namespace bramleybank {
namespace {

std::string QuoteJson(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

std::string FormatHead(std::string_view id,
                       std::string_view object,
                       int64_t created_s,
                       std::string_view model,
                       std::string_view fingerprint) {
  std::string head = "{\"id\":";
  head.append(QuoteJson(id)).append(",\"object\":").append(QuoteJson(object));
  head.append(",\"created\":").append(std::to_string(created_s));
  head.append(",\"model\":").append(QuoteJson(model));
  head.append(",\"system_fingerprint\":").append(QuoteJson(fingerprint));
  head.append(",\"choices\":[{\"index\":0,");
  return head;
}

std::string FormatUsage(uint64_t count) {
  return "\"usage\":{\"completion_tokens\":" + std::to_string(count) + "}}";
}

}  // namespace

StreamFormat::StreamFormat(GenerationKind kind,
                           uint64_t generation,
                           std::string_view model,
                           std::string_view fingerprint,
                           int64_t created_s)
    : m_is_chat(kind == GenerationKind::kChat) {
  const std::string id =
      (m_is_chat ? "chatcmpl-" : "cmpl-") + FormatGeneration(generation);
  const std::string_view chunk_object =
      m_is_chat ? "chat.completion.chunk" : "text_completion";
  const std::string_view full_answer_object =
      m_is_chat ? "chat.completion" : "text_completion";
  m_chunk_head = FormatHead(id, chunk_object, created_s, model, fingerprint);
  m_full_answer_head =
      FormatHead(id, full_answer_object, created_s, model, fingerprint);
  m_token_head =
      m_chunk_head + (m_is_chat ? "\"delta\":{\"content\":" : "\"text\":");
  m_token_tail =
      m_is_chat ? "},\"finish_reason\":null}]}" : ",\"finish_reason\":null}]}";
}

std::string StreamFormat::FormatToken(std::string_view event_id,
                                      std::string_view text) const {
  return FormatSseEvent(event_id, {},
                        m_token_head + QuoteJson(text) + m_token_tail);
}

std::string StreamFormat::FormatFinish(std::string_view event_id,
                                       std::string_view reason,
                                       uint64_t count) const {
  std::string data = m_chunk_head;
  data.append(m_is_chat ? "\"delta\":{}" : "\"text\":\"\"");
  data.append(",\"finish_reason\":").append(QuoteJson(reason)).append("}],");
  data.append(FormatUsage(count));
  return FormatSseEvent(event_id, {}, data) + FormatSseEvent({}, {}, "[DONE]");
}

std::string StreamFormat::FormatFullAnswer(std::string_view text,
                                           std::string_view reason,
                                           uint64_t count) const {
  std::string body = m_full_answer_head;
  if (m_is_chat) {
    body.append("\"message\":{\"role\":\"assistant\",\"content\":");
    body.append(QuoteJson(text)).append("}");
  } else {
    body.append("\"text\":").append(QuoteJson(text));
  }
  body.append(",\"finish_reason\":").append(QuoteJson(reason)).append("}],");
  return body + FormatUsage(count);
}

}  // namespace bramleybank
