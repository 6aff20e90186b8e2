// Order in which the faults of an answer are looked for: one that belongs to
// another request is not read any further.
#include "attempt_failure.h"

#include "endpoint_directory.h"
#include "gateway_attempt.h"
#include "gateway_request.h"
#include "http1_status.h"
#include "limit_retry_budget.h"

namespace bramleybank {

bool ProvesNotRun(const AnswerMetadata& answer) {
  return (answer.not_run || answer.misdirected) && !answer.has_other_request_id;
}

std::optional<AttemptFailure> FindFailure(AttemptEnd end,
                                          int status,
                                          const AnswerMetadata& answer) {
  if (end == AttemptEnd::kNotSent) {
    return AttemptFailure{
        .outcome = EndpointOutcome::kLost,
        .reason = RetryReason::kConnectFailed,
        .detail = "connect failed or closed before the request was sent"};
  }
  if (end == AttemptEnd::kBroken) {
    return AttemptFailure{
        .outcome = EndpointOutcome::kLost,
        .reason = RetryReason::kEarlyEnd,
        .detail = "answer incomplete: connection closed or malformed HTTP"};
  }
  if (answer.has_other_request_id || (IsSuccess(status) && !answer.has_seal)) {
    return AttemptFailure{
        .outcome = EndpointOutcome::kFailed,
        .reason = RetryReason::kEarlyEnd,
        .detail = "answer has another request id or a success without seal"};
  }
  if (ProvesNotRun(answer)) {
    return AttemptFailure{.outcome = answer.misdirected
                                         ? EndpointOutcome::kMisdirected
                                         : EndpointOutcome::kRefused,
                          .reason = RetryReason::kRefusedByEndpoint,
                          .detail = "refused"};
  }
  return std::nullopt;
}

}  // namespace bramleybank
