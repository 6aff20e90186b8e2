// Numbered result codes that are visible to callers, to operators and in logs.
// A test compares the table in docs/result-codes.md with this list.
#ifndef BRAMLEYBANK_RESULT_CODE_H_
#define BRAMLEYBANK_RESULT_CODE_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bramleybank {

/// Ranges: 1000 input, 2000 admission and limits, 3000 streams, 4000 calls,
/// 5000 platform, 6000 configuration, 7000 membership and peers.
enum class ResultCode : int {
  kOk = 0,
  kBadJson = 1001,
  kBadField = 1002,
  kBodyTooLarge = 1003,
  kUnknownModel = 1004,
  kUnknownService = 1005,
  kUnknownPath = 1006,
  kMethodNotAllowed = 1007,
  kBadHeader = 1008,
  kMissingIdempotencyKey = 1009,
  kBadLastEventId = 1010,
  kUrlTooLong = 1011,
  kUnknownCustomerKey = 1012,
  kRequestTooSlow = 1013,
  kDraining = 2001,
  kNotReady = 2002,
  kOverloaded = 2003,
  kCustomerRateLimit = 2004,
  kCustomerTokenLimit = 2005,
  kNoEndpoint = 2006,
  kRetryBudgetExhausted = 2007,
  kExpectedTooLate = 2008,
  kEndpointsLimited = 2009,
  kPromptQuarantined = 2010,
  kMemoryExhausted = 2011,
  kEngineUnreachable = 3001,
  kAttemptsExhausted = 3002,
  kResumeImpossible = 3003,
  kRequestMismatch = 3004,
  kStreamTakenOver = 3005,
  kEngineRejected = 3006,
  kKeyReuse = 4001,
  kOutcomeUnknown = 4002,
  kServiceUnreachable = 4003,
  kCallNotFound = 4004,
  kCallGivenUp = 4005,
  kAnswerLost = 4006,
  kTimedOut = 4007,
  kRefusalUnconfirmed = 4008,
  kPlatformDown = 5001,
  kPlatformConflict = 5002,
  kPlatformAnswerLost = 5003,
  kBadSetting = 6001,
  kBadConfiguration = 6002,
  kConfigurationBehind = 6003,
  kPeerUnreachable = 7001,
  kPeerBadMessage = 7002,
  kPeerStaleEpoch = 7003,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  /// Name in the JSON of a refusal.
  std::string_view name;
  /// HTTP status of a refusal with this code.
  int http_status;
  std::string_view meaning;
};

/// @returns every code except kOk, in ascending order.
std::span<const ResultCodeInfo> AllResultCodes();

/// @param code any value of the enumeration except kOk.
const ResultCodeInfo& InfoOf(ResultCode code);

/// Why the last operation of an object failed.
struct Reason {
  ResultCode code = ResultCode::kOk;
  std::string detail;

  friend bool operator==(const Reason&, const Reason&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_RESULT_CODE_H_
