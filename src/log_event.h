// Numbered log events, written as key=value lines that scripts can parse. A
// test compares the table of events with docs/log-events.md.
#ifndef BRAMLEYBANK_SRC_LOG_EVENT_H_
#define BRAMLEYBANK_SRC_LOG_EVENT_H_

#include <cstdint>
#include <span>
#include <sstream>
#include <string>
#include <string_view>

namespace bramleybank {

/// Ranges: 100 process, 200 HTTP, 300 streams, 400 calls, 500 platform and
/// configuration, 600 membership and peers, 700 routing and limits.
enum class LogEventId : int {
  kStarted = 101,
  kStopping = 102,
  kStopped = 103,
  kSettingRefused = 104,
  kReloaded = 105,
  kDrainEnded = 106,
  kRequestRefused = 201,
  kRequestEnded = 202,
  kCallerInputDropped = 203,
  kCallerCut = 204,
  kCallersTurnedAway = 205,
  kMemoryEvicted = 206,
  kCallerTooSlow = 207,
  kAttemptStarted = 301,
  kAttemptEnded = 302,
  kStreamResumed = 303,
  kStreamGivenUp = 304,
  kStreamFinished = 305,
  kStreamCallerGone = 306,
  kStreamUnprotected = 307,
  kStreamReattached = 308,
  kBackupReplaced = 309,
  kAttemptKept = 310,
  kSuccessorCancelled = 311,
  kStreamWaits = 312,
  kCallGivenUp = 401,
  kCallOutcomeUnknown = 402,
  kCallRecordAbandoned = 403,
  kConfigInForce = 501,
  kConfigRefused = 502,
  kPlatformUnreachable = 503,
  kPlatformReachable = 504,
  kStoreRestored = 505,
  kConfigOutdated = 506,
  kMemberAlive = 601,
  kMemberSuspect = 602,
  kMemberDead = 603,
  kMemberLeft = 604,
  kRowSource = 605,
  kRelayMalformed = 606,
  kRelaySenderUnknown = 607,
  kLoadCoordinatorLost = 608,
  kLoadReportRefused = 609,
  kEndpointChanged = 701,
  kEndpointGone = 702,
  kDomainSilent = 703,
  kEntryUnreadable = 704,
  kEndpointAdopted = 705,
  kRolloutOrdered = 706,
  kRolloutPhase = 707,
  kRolloutStopped = 708,
  kRolloutPublished = 709,
  kRolloutRefused = 710,
  kEndpointsRead = 711,
  kEndpointLeaving = 712,
  kEndpointPaused = 713,
  kEndpointLimited = 714,
  kPermitIssuerLost = 715,
  kCrashCharged = 716,
  kPromptQuarantined = 717,
  kPromptCleared = 718,
  kPromptTrial = 719,
  kRolloutContinued = 730,
  kRolloutOrderMissing = 731,
  kRolloutNotRepeated = 732,
  kRolloutRewritten = 733,
};

enum class LogSeverity { kInfo, kWarning, kError };

/// One row of the catalogue.
struct LogEventInfo {
  LogEventId id;
  std::string_view name;
  LogSeverity severity;
  std::string_view meaning;
};

/// @returns all events in ascending order of their numbers.
std::span<const LogEventInfo> AllLogEvents();

/// Builds one log line and writes it when destroyed:
/// `event=303 name=stream_resumed generation=... position=...`.
class LogLine {
 public:
  explicit LogLine(LogEventId id);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Adds a field. Empty values and values that contain white space, quotes,
  /// backslashes or '=' are quoted.
  LogLine& Field(std::string_view key, std::string_view value);
  LogLine& Field(std::string_view key, long long value);

 private:
  const LogEventInfo& m_info;
  std::ostringstream m_text;
};

/// Directs log lines to standard output, without blocking and with a bounded
/// buffer. Must be called once at program start.
void StartLogging(const char* program);

/// @returns the number of lines that were dropped because standard output was
/// not read fast enough.
uint64_t DroppedLogLines();

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LOG_EVENT_H_
