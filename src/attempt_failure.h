// Why an ended attempt has not answered its request.
#ifndef BRAMLEYBANK_SRC_ATTEMPT_FAILURE_H_
#define BRAMLEYBANK_SRC_ATTEMPT_FAILURE_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace bramleybank {

struct AnswerMetadata;
enum class AttemptEnd : uint8_t;
enum class EndpointOutcome : uint8_t;
enum class RetryReason : uint8_t;

struct AttemptFailure {
  EndpointOutcome outcome;
  RetryReason reason;
  /// For the log.
  std::string_view detail;

  friend bool operator==(const AttemptFailure&,
                         const AttemptFailure&) = default;
};

/// @returns whether the answer proves that the endpoint has not run the
/// request. An answer with the id of another request says nothing about it.
bool ProvesNotRun(const AnswerMetadata& answer);

/// @returns why the attempt failed; empty if the endpoint has answered the
/// request, be it with an error.
std::optional<AttemptFailure> FindFailure(AttemptEnd end,
                                          int status,
                                          const AnswerMetadata& answer);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ATTEMPT_FAILURE_H_
