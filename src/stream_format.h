// Formats the answer to a generation as OpenAI-compatible JSON and server-sent
// events.
#ifndef BRAMLEYBANK_SRC_STREAM_FORMAT_H_
#define BRAMLEYBANK_SRC_STREAM_FORMAT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "stream_request.h"

namespace bramleybank {

/// Formats the answer of one generation. The parts that are the same for every
/// token are built once.
class StreamFormat {
 public:
  /// @param fingerprint "<version>/<adapter>" of the engine's model.
  /// @param created_s wall-clock time in seconds since 1970.
  StreamFormat(GenerationKind kind,
               uint64_t generation,
               std::string_view model,
               std::string_view fingerprint,
               int64_t created_s);

  /// @returns the event of one token.
  std::string FormatToken(std::string_view event_id,
                          std::string_view text) const;
  /// @returns the last events: finish reason, usage and `[DONE]`.
  std::string FormatFinish(std::string_view event_id,
                           std::string_view reason,
                           uint64_t count) const;
  /// @returns the body of an answer that is not streamed.
  std::string FormatFullAnswer(std::string_view text,
                               std::string_view reason,
                               uint64_t count) const;

 private:
  bool m_is_chat;
  // JSON before and after the text of a token.
  std::string m_token_head;
  std::string m_token_tail;
  std::string m_chunk_head;
  std::string m_full_answer_head;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_FORMAT_H_
