// A caller's request for a generation, in the form of today's model servers.
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

/// The fields of a request that the daemon itself needs. The body goes to the
/// engine as the caller sent it.
struct GenerationRequest {
  GenerationKind kind = GenerationKind::kCompletion;
  std::string model;
  std::string adapter;
  bool stream = false;
  uint64_t max_tokens = 0;
  /// Prompt, or messages as text.
  std::string prompt;
  std::string customer;
  std::string body;
  /// Hash of the body; part of the cursor.
  uint32_t body_hash = 0;

  friend bool operator==(const GenerationRequest&,
                         const GenerationRequest&) = default;
};

/// @param error set when the body is not a valid request.
std::optional<GenerationRequest> ParseGenerationRequest(GenerationKind kind,
                                                        std::string body,
                                                        Reason* error);

/// @returns the path of the engine that serves this kind.
std::string_view EnginePath(GenerationKind kind);

/// @returns the body with `resume_tokens` added, for an attempt that goes on
/// after tokens that were already passed on.
std::string AddResumeTokens(const std::string& body,
                            const StreamTokenList& tokens);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_REQUEST_H_
