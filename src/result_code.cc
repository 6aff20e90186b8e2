// The table of result codes.
#include "bramleybank/result_code.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace bramleybank {
namespace {

using enum ResultCode;

constexpr ResultCodeInfo kTable[] = {
    {kBadJson, "bad_json", 400, "The body is not valid JSON."},
    {kBadField, "bad_field", 400, "A field is missing or has a wrong type."},
    {kBodyTooLarge, "body_too_large", 413, "The body exceeds the limit."},
    {kUnknownModel, "unknown_model", 404, "No such model is configured."},
    {kUnknownService, "unknown_service", 404, "No such service is configured."},
    {kUnknownPath, "unknown_path", 404, "The path does not exist."},
    {kMethodNotAllowed, "method_not_allowed", 405,
     "The path does not support this method."},
    {kBadHeader, "bad_header", 400, "A header is malformed or too long."},
    {kMissingIdempotencyKey, "missing_idempotency_key", 400,
     "The route is non-idempotent and needs an Idempotency-Key."},
    {kBadLastEventId, "bad_last_event_id", 400,
     "Last-Event-ID is not an id that this system has sent."},
    {kUrlTooLong, "url_too_long", 414, "The URL exceeds the limit."},
    {kUnknownCustomerKey, "unknown_customer_key", 401,
     "The key belongs to no known customer."},
    {kRequestTooSlow, "request_too_slow", 408,
     "The request arrived more slowly than allowed."},
    {kDraining, "draining", 503, "This daemon is stopping; try another."},
    {kNotReady, "not_ready", 503, "This daemon has no configuration yet."},
    {kOverloaded, "overloaded", 503, "All endpoints are busy."},
    {kCustomerRateLimit, "customer_rate_limit", 429,
     "The customer's request rate limit is exceeded."},
    {kCustomerTokenLimit, "customer_token_limit", 429,
     "The customer has too many tokens in flight."},
    {kNoEndpoint, "no_endpoint", 503, "No usable endpoint is known."},
    {kRetryBudgetExhausted, "retry_budget_exhausted", 503,
     "The retry budget of this route is exhausted."},
    {kExpectedTooLate, "expected_too_late", 503,
     "The expected wait exceeds the caller's timeout."},
    {kEndpointsLimited, "endpoints_limited", 503,
     "All endpoints limit the rate of their requests."},
    {kPromptQuarantined, "prompt_quarantined", 503,
     "Endpoints have crashed on a part of this prompt; do not repeat it before "
     "the time in Retry-After."},
    {kMemoryExhausted, "memory_exhausted", 503,
     "The memory for requests is used up. This request was not passed on."},
    {kEngineUnreachable, "engine_unreachable", 502,
     "No engine accepted the request."},
    {kAttemptsExhausted, "attempts_exhausted", 502,
     "The stream failed on every attempt."},
    {kResumeImpossible, "resume_impossible", 409,
     "Neither the engine's stream nor a copy of it exists any more."},
    {kRequestMismatch, "request_mismatch", 409,
     "Last-Event-ID belongs to another request."},
    {kStreamTakenOver, "stream_taken_over", 409,
     "The stream continues on a newer connection."},
    {kEngineRejected, "engine_rejected", 400,
     "The engine refused the request as invalid."},
    {kKeyReuse, "key_reuse", 422,
     "The Idempotency-Key was used with another request."},
    {kOutcomeUnknown, "outcome_unknown", 504,
     "The call may have run; it will not be run again."},
    {kServiceUnreachable, "service_unreachable", 502,
     "No endpoint of the service accepted a connection."},
    {kCallNotFound, "call_not_found", 404, "No call has this key."},
    {kCallGivenUp, "call_given_up", 503,
     "The call was abandoned before it was sent."},
    {kAnswerLost, "answer_lost", 502,
     "The request may have run and its answer was lost."},
    {kTimedOut, "timed_out", 504,
     "The request may have run and was not answered in time."},
    {kRefusalUnconfirmed, "refusal_unconfirmed", 502,
     "The endpoint refused the request without stating that it has not run."},
    {kPlatformDown, "platform_down", 503,
     "The platform's table cannot be reached. This request was not sent; one "
     "sent earlier with the same key may have run, so repeat with that key."},
    {kPlatformConflict, "platform_conflict", 409,
     "A conditional write found another version."},
    {kPlatformAnswerLost, "platform_answer_lost", 503,
     "The answer to a write was lost."},
    {kBadSetting, "bad_setting", 500, "A setting is invalid."},
    {kBadConfiguration, "bad_configuration", 400,
     "A configuration change is malformed."},
    {kConfigurationBehind, "configuration_behind", 409,
     "A configuration number is older than the one in force."},
    {kPeerUnreachable, "peer_unreachable", 502,
     "Another daemon cannot be reached."},
    {kPeerBadMessage, "peer_bad_message", 400,
     "A message between daemons is malformed."},
    {kPeerStaleEpoch, "peer_stale_epoch", 409,
     "The copy of a stream was claimed with a newer epoch."},
};

}  // namespace

std::span<const ResultCodeInfo> AllResultCodes() {
  return kTable;
}

const ResultCodeInfo& InfoOf(ResultCode code) {
  const auto* info = std::ranges::find(kTable, code, &ResultCodeInfo::code);
  assert(info != std::end(kTable));
  return *info;
}

}  // namespace bramleybank
