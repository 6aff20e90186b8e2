// A sound engine may be silent for a while, for example while it reads the
// prompt of another request. Its report tells it from one that is lost.
#include "silence_judgement.h"

#include <algorithm>

#include "bramleybank/limits.h"
#include "endpoint_evidence.h"

namespace bramleybank {
namespace {

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

Duration SilenceOf(const SilentRun& run, TimePoint now) {
  return now - run.silent_since;
}

const EngineRun* FindRun(const EngineReport& report, const std::string& id) {
  const auto it = std::ranges::find(*report.runs, id, &EngineRun::request_id);
  return it == report.runs->end() ? nullptr : &*it;
}

/// @returns whether the engine may hold the request without listing its run:
/// in its queue, or while it reads the prompt.
bool MayBeUnlisted(const SilentRun& run, const EngineReport& report) {
  if (!report.queued || !report.running || *report.queued > 0) {
    return true;
  }
  const auto listed = static_cast<int64_t>(report.runs->size());
  return !run.has_event && *report.running > listed;
}

/// @returns whether the report shows that the run is not there, or that its
/// events do not arrive.
bool IsContradicted(const SilentRun& run, const EndpointEvidence& evidence) {
  if (!evidence.report || evidence.reported_at <= run.silent_since) {
    return false;
  }
  const EngineReport& report = *evidence.report;
  if (report.start_time_ms != 0 && run.endpoint_start_ms != 0 &&
      report.start_time_ms != run.endpoint_start_ms) {
    return true;
  }
  if (!report.runs) {
    return false;
  }
  if (const EngineRun* listed = FindRun(report, run.request_id)) {
    return listed->events > static_cast<int64_t>(run.last_event_id);
  }
  // The state in a report is older than the report.
  const bool is_state_of_silence =
      evidence.reported_at - run.silent_since >= kMaxReportAge;
  return is_state_of_silence && !MayBeUnlisted(run, report);
}

bool HasUnansweredProbe(const SilentRun& run,
                        const EndpointEvidence& evidence,
                        TimePoint now) {
  if (!evidence.unanswered_since || evidence.probed_at < run.silent_since) {
    return false;
  }
  const bool is_of_this_silence =
      *evidence.unanswered_since >= run.silent_since;
  const TimePoint since =
      is_of_this_silence ? *evidence.unanswered_since : evidence.probed_at;
  return now - since >= kProbeTimeout;
}

/// @returns whether the silence is longer than the answers of a working
/// endpoint explain.
bool IsTooLong(const SilentRun& run,
               const EndpointEvidence& evidence,
               Duration silence) {
  if (run.has_event) {
    return silence > run.limits.explained_event;
  }
  // A report tells whether the request is still in the queue.
  return !evidence.report && silence > run.limits.unprobed_first_event;
}

SilenceVerdict JudgeUnprobed(const SilentRun& run, TimePoint now) {
  const Duration limit = run.has_event ? run.limits.unprobed_event
                                       : run.limits.unprobed_first_event;
  return SilenceOf(run, now) > limit ? SilenceVerdict::kTooLong
                                     : SilenceVerdict::kWait;
}

}  // namespace

const char* NameOf(SilenceVerdict verdict) {
  switch (verdict) {
    case SilenceVerdict::kWait:
      return "wait";
    case SilenceVerdict::kProbe:
      return "probe";
    case SilenceVerdict::kEndpointLost:
      return "endpoint does not answer";
    case SilenceVerdict::kRunLost:
      return "run or its events are lost";
    case SilenceVerdict::kTooLong:
      return "silent for too long";
  }
  return "unknown";
}

bool IsLost(SilenceVerdict verdict) {
  return verdict != SilenceVerdict::kWait && verdict != SilenceVerdict::kProbe;
}

SilenceLimits MakeSilenceLimits(Duration latency_target,
                                Duration max_event_gap,
                                bool has_begun) {
  const Duration target = latency_target > Duration{0}
                              ? latency_target
                              : Duration(kDefaultFirstEventTarget);
  const Duration gap =
      max_event_gap > Duration{0} ? max_event_gap : Duration(kDefaultEventGap);
  const auto event = std::max<Duration>(Scale(gap, kSuspiciousGapShare),
                                        kMinSuspiciousSilence);
  return {
      .first_event = has_begun ? event : Scale(target, kSuspiciousTargetShare),
      .event = event,
      .unprobed_first_event = target,
      .unprobed_event = gap,
      .explained_event = std::max<Duration>({kMinCallerPatience,
                                             target * kCallerPatienceTargets,
                                             gap * kCallerPatienceGaps})};
}

SilenceVerdict JudgeSilence(const SilentRun& run,
                            const EndpointEvidence* known,
                            TimePoint now) {
  if (known == nullptr) {
    return JudgeUnprobed(run, now);
  }
  const EndpointEvidence& evidence = *known;
  const Duration silence = SilenceOf(run, now);
  if (silence < (run.has_event ? run.limits.event : run.limits.first_event)) {
    return SilenceVerdict::kWait;
  }
  if (silence >= kMinLostRunSilence && IsContradicted(run, evidence)) {
    return SilenceVerdict::kRunLost;
  }
  if (HasUnansweredProbe(run, evidence, now)) {
    return SilenceVerdict::kEndpointLost;
  }
  const bool has_answer =
      evidence.answer_valid_until && *evidence.answer_valid_until > now;
  if (!has_answer) {
    // The endpoint may have asked for no requests, which ends probes.
    return silence > run.limits.explained_event ? SilenceVerdict::kTooLong
                                                : SilenceVerdict::kProbe;
  }
  return IsTooLong(run, evidence, silence) ? SilenceVerdict::kTooLong
                                           : SilenceVerdict::kWait;
}

}  // namespace bramleybank
