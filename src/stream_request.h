// OpenAI-compatible generation request of a caller.
#ifndef BRAMLEYBANK_SRC_STREAM_REQUEST_H_
#define BRAMLEYBANK_SRC_STREAM_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bramleybank/result_code.h"

namespace bramleybank {

class StreamTokenList;

enum class GenerationKind { kCompletion, kChat };

/// The fields of a request that the daemon needs. The engine receives the body
/// as the caller sent it.
struct GenerationRequest {
  GenerationKind kind = GenerationKind::kCompletion;
  std::string model;
  std::string adapter;
  bool stream = false;
  uint64_t max_tokens = 0;
  /// Prompt, or the messages of a chat as JSON text.
  std::string prompt;
  std::string customer;
  std::string body;
  /// Hash of the body; part of the stream cursor.
  uint32_t body_hash = 0;

  friend bool operator==(const GenerationRequest&,
                         const GenerationRequest&) = default;
};

/// @param error set on failure.
/// @returns nothing when the body is not a valid request.
std::optional<GenerationRequest> ParseGenerationRequest(GenerationKind kind,
                                                        std::string body,
                                                        Reason* error);

/// @returns the engine's URL path for requests of this kind.
std::string_view EnginePath(GenerationKind kind);

/// @returns the body with `resume_tokens` added, for an attempt that continues
/// after `tokens`.
std::string AddResumeTokens(const std::string& body,
                            const StreamTokenList& tokens);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_REQUEST_H_
