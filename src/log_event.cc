// Catalogue of the log events, and their output through glog.
#include "log_event.h"

#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>

#include "log_output.h"

namespace bramleybank {
namespace {

using enum LogEventId;
using enum LogSeverity;

constexpr LogEventInfo kCatalogue[] = {
    {kStarted, "started", kInfo, "The program is up and serves its ports."},
    {kStopping, "stopping", kInfo, "The program has been told to stop."},
    {kStopped, "stopped", kInfo,
     "The program exits; nothing is open any more."},
    {kSettingRefused, "setting_refused", kError, "A setting is invalid."},
    {kReloaded, "reloaded", kInfo, "The settings file was read again."},
    {kDrainEnded, "drain_ended", kInfo,
     "A planned stop ends; what is still open is cut off."},
    {kRequestRefused, "request_refused", kInfo,
     "A request was refused; the code says why."},
    {kRequestEnded, "request_ended", kInfo,
     "A request that was sent to an endpoint has ended."},
    {kCallerInputDropped, "caller_input_dropped", kWarning,
     "Bytes that a caller sent on a closing connection were read and dropped."},
    {kCallerCut, "caller_cut", kWarning,
     "A caller's connection was closed inside a request or with unsent "
     "output."},
    {kCallersTurnedAway, "callers_turned_away", kWarning,
     "Connections were closed at once, since as many as allowed are open."},
    {kMemoryEvicted, "memory_evicted", kWarning,
     "A connection that held much without progress was closed, since the "
     "memory budget is used up."},
    {kCallerTooSlow, "caller_too_slow", kWarning,
     "A request arrived more slowly than allowed and was refused."},
    {kAttemptStarted, "attempt_started", kInfo,
     "A generation was sent to an engine."},
    {kAttemptEnded, "attempt_ended", kWarning,
     "An attempt ended before the answer was complete."},
    {kStreamResumed, "stream_resumed", kInfo,
     "Output continues after the loss of an attempt."},
    {kStreamGivenUp, "stream_given_up", kWarning,
     "A stream cannot continue; the caller was told how far it got."},
    {kStreamFinished, "stream_finished", kInfo,
     "An answer was sent completely."},
    {kStreamCallerGone, "stream_caller_gone", kInfo,
     "The caller's connection closed before the end."},
    {kStreamUnprotected, "stream_unprotected", kWarning,
     "Tokens are passed on without a copy on another daemon."},
    {kStreamReattached, "stream_reattached", kInfo,
     "A caller reconnected with Last-Event-ID and its stream continues."},
    {kBackupReplaced, "backup_replaced", kInfo,
     "An engine was told to copy a run's memory, since the copy was lost."},
    {kAttemptKept, "attempt_kept", kInfo,
     "An endpoint is silent and no other can take its request; its answer is "
     "awaited further."},
    {kSuccessorCancelled, "successor_cancelled", kInfo,
     "A silent attempt goes on or has ended; the one beside it is cancelled."},
    {kStreamWaits, "stream_waits", kInfo,
     "A stream that has begun finds no endpoint for its rest and asks again "
     "later."},
    {kCallGivenUp, "call_given_up", kInfo,
     "A non-idempotent call was given up before it was sent."},
    {kCallOutcomeUnknown, "call_outcome_unknown", kWarning,
     "A non-idempotent call was sent and its answer was lost."},
    {kCallRecordAbandoned, "call_record_abandoned", kError,
     "The table refused the result or release of a call for too long."},
    {kConfigInForce, "config_in_force", kInfo,
     "A newer configuration is in force."},
    {kConfigRefused, "config_refused", kError,
     "A configuration is malformed and was not applied."},
    {kPlatformUnreachable, "platform_unreachable", kWarning,
     "The platform did not answer."},
    {kPlatformReachable, "platform_reachable", kInfo,
     "The platform answers again."},
    {kStoreRestored, "store_restored", kWarning,
     "The store has been restored from an older copy; its rows are read "
     "again."},
    {kConfigOutdated, "config_outdated", kInfo,
     "The store shows an older configuration than the one in force, which "
     "stays."},
    {kMemberAlive, "member_alive", kInfo,
     "A daemon is new, has restarted, or has refuted a suspicion."},
    {kMemberSuspect, "member_suspect", kInfo,
     "A daemon did not answer; it can still refute the suspicion."},
    {kMemberDead, "member_dead", kWarning,
     "A daemon is considered dead by this one."},
    {kMemberLeft, "member_left", kInfo, "A daemon was stopped as planned."},
    {kRowSource, "row_source", kInfo,
     "Rows of a table now come from the store or from the named relay."},
    {kRelayMalformed, "relay_malformed", kWarning,
     "A message on the peer port could not be decoded; it was refused."},
    {kRelaySenderUnknown, "relay_sender_unknown", kWarning,
     "A gateway that is not listed asked this one for rows; it was refused."},
    {kLoadCoordinatorLost, "load_coordinator_lost", kWarning,
     "A gateway that collects the loads of a failure domain has not answered."},
    {kLoadReportRefused, "load_report_refused", kWarning,
     "A report of loads was malformed or its sender unknown; it was dropped."},
    {kEndpointChanged, "endpoint_changed", kInfo,
     "An endpoint has registered or changed its entry."},
    {kEndpointGone, "endpoint_gone", kInfo,
     "The entry of an endpoint has disappeared from the store."},
    {kDomainSilent, "domain_silent", kWarning,
     "All streams in a failure domain have become silent."},
    {kEntryUnreadable, "entry_unreadable", kWarning,
     "A row of the store names no usable endpoint."},
    {kEndpointAdopted, "endpoint_adopted", kInfo,
     "An engine that restarted during an outage of the store was probed."},
    {kRolloutOrdered, "rollout_ordered", kInfo,
     "An operator has ordered another version for a service."},
    {kRolloutPhase, "rollout_phase", kInfo,
     "The gateways have decided on the next phase of a rollout."},
    {kRolloutStopped, "rollout_stopped", kWarning,
     "This gateway sends nothing more to a version that fails."},
    {kRolloutPublished, "rollout_published", kInfo,
     "The status of a rollout for its operator was saved in the store."},
    {kRolloutRefused, "rollout_refused", kError,
     "A row of the store is not a valid order for a rollout."},
    {kEndpointsRead, "endpoints_read", kInfo,
     "All registered endpoints are known; later changes are logged on their "
     "own."},
    {kEndpointLeaving, "endpoint_leaving", kInfo,
     "An endpoint has announced in an answer that it stops; it gets no new "
     "work."},
    {kEndpointPaused, "endpoint_paused", kInfo,
     "An endpoint has refused a request; it gets none for a while."},
    {kEndpointLimited, "endpoint_limited", kInfo,
     "An endpoint has limited the rate of its requests, or ended a limit."},
    {kPermitIssuerLost, "permit_issuer_lost", kWarning,
     "A gateway that issues the permits of an endpoint has not answered."},
    {kCrashCharged, "crash_charged", kWarning,
     "An endpoint ended a stream before its first event; parts of the prompt "
     "are suspected."},
    {kPromptQuarantined, "prompt_quarantined", kWarning,
     "A prompt part is not sent to endpoints any more, because they crash on "
     "it."},
    {kPromptCleared, "prompt_cleared", kInfo,
     "A prompt part is no longer suspected: an answer to it has begun, or it "
     "had no crash for long."},
    {kPromptTrial, "prompt_trial", kInfo,
     "A request with a quarantined prompt part is sent to one endpoint as a "
     "trial."},
    {kRolloutContinued, "rollout_continued", kInfo,
     "The order of a rollout is in the store again after a restore from an "
     "older copy; the rollout goes on where it was."},
    {kRolloutOrderMissing, "rollout_order_missing", kWarning,
     "The store was restored without the order of a rollout; the rollout is "
     "kept for a while."},
    {kRolloutNotRepeated, "rollout_not_repeated", kWarning,
     "The operator has not repeated a lost order in time; its rollout ends at "
     "this gateway."},
    {kRolloutRewritten, "rollout_rewritten", kInfo,
     "This gateway has written the decision on a rollout again, because its "
     "row "
     "was missing or older."},
};

/// Limit of the buffer for lines that the reader of standard output has not
/// consumed yet.
constexpr size_t kMaxPendingLogBytes = 256 * 1024;

/// Writes the lines of glog to standard output without blocking.
class StandardOutputSink : public google::LogSink {
 public:
  void send(google::LogSeverity severity,
            const char* /*full_filename*/,
            const char* base_filename,
            int line,
            const google::LogMessageTime& time,
            const char* message,
            size_t size) override {
    m_output.Append(
        ToString(severity, base_filename, line, time, message, size));
  }

  LogOutput& output() { return m_output; }

 private:
  LogOutput m_output{STDOUT_FILENO, kMaxPendingLogBytes};
};

/// Null before StartLogging(). Without a sink, glog writes to standard error.
StandardOutputSink* g_sink = nullptr;

const LogEventInfo& InfoOf(LogEventId id) {
  const auto* info = std::ranges::find(kCatalogue, id, &LogEventInfo::id);
  assert(info != std::end(kCatalogue));
  return *info;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"\\\n\r\t=") != std::string_view::npos;
}

}  // namespace

std::span<const LogEventInfo> AllLogEvents() {
  return kCatalogue;
}

LogLine::LogLine(LogEventId id) : m_info(InfoOf(id)) {
  m_text << "event=" << static_cast<int>(id) << " name=" << m_info.name;
}

LogLine::~LogLine() {
  const auto write = [this](google::LogSeverity severity) {
    google::LogMessage(__FILE__, __LINE__, severity, g_sink,
                       /*also_send_to_log=*/g_sink == nullptr)
            .stream()
        << m_text.str();
  };
  switch (m_info.severity) {
    case kInfo:
      write(google::GLOG_INFO);
      break;
    case kWarning:
      write(google::GLOG_WARNING);
      break;
    case kError:
      write(google::GLOG_ERROR);
      break;
  }
}

LogLine& LogLine::Field(std::string_view key, std::string_view value) {
  m_text << ' ' << key << '=';
  if (!NeedsQuotes(value)) {
    m_text << value;
    return *this;
  }
  m_text << '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      m_text << '\\';
    }
    m_text << (static_cast<unsigned char>(c) < ' ' ? ' ' : c);
  }
  m_text << '"';
  return *this;
}

LogLine& LogLine::Field(std::string_view key, long long value) {
  m_text << ' ' << key << '=' << value;
  return *this;
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
  static StandardOutputSink sink;
  g_sink = &sink;
}

uint64_t DroppedLogLines() {
  return g_sink == nullptr ? 0 : g_sink->output().dropped();
}

}  // namespace bramleybank
