// What the report of an engine says about a silent stream: a run that is there
// is waited for, one that is not, or whose events do not arrive, is not.
#include "silence_judgement.h"

#include <doctest/doctest.h>

#include <vector>

#include "bramleybank/limits.h"
#include "endpoint_evidence.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr milliseconds kLongSilence{1200};

SilentRun Run(Duration silence, bool has_event = true) {
  return {.request_id = "r1",
          .endpoint_start_ms = 7,
          .limits = MakeSilenceLimits(milliseconds(2000), milliseconds(700),
                                      /*has_begun=*/false),
          .silent_since = kNow - silence,
          .has_event = has_event,
          .last_event_id = has_event ? 5U : 0U};
}

/// An answer to a probe that has just arrived.
EndpointEvidence Answer(const EngineReport& report) {
  return {.probed_at = kNow - milliseconds(5),
          .answer_valid_until = kNow + kMinProbeInterval,
          .report = report,
          .reported_at = kNow};
}

SilenceVerdict Judge(const SilentRun& run, const EngineReport& report) {
  const EndpointEvidence evidence = Answer(report);
  return JudgeSilence(run, &evidence, kNow);
}

const EngineReport kIdle{.queued = 0,
                         .running = 0,
                         .runs = std::vector<EngineRun>()};
/// @returns the report of an engine that has made so many events of the run.
EngineReport Listing(int64_t events) {
  return {
      .queued = 0,
      .running = 1,
      .runs = std::vector<EngineRun>{{.request_id = "r1", .events = events}}};
}

TEST_CASE("a run that its engine lists is waited for") {
  CHECK(Judge(Run(kLongSilence), Listing(5)) == SilenceVerdict::kWait);
  CHECK(Judge(Run(kLongSilence), Listing(3)) == SilenceVerdict::kWait);
}

// Guards against a stream on a connection that has gone silent for good.
TEST_CASE("a run whose events do not arrive is lost") {
  CHECK(Judge(Run(kLongSilence), Listing(6)) == SilenceVerdict::kRunLost);
  CHECK(Judge(Run(kMinLostRunSilence - milliseconds(1)), Listing(6)) ==
        SilenceVerdict::kWait);
  CHECK(Judge(Run(kLongSilence, false), Listing(1)) ==
        SilenceVerdict::kRunLost);
}

// Guards against waiting for an answer to a request that its engine has lost.
TEST_CASE("a run that its engine does not have is lost") {
  CHECK(Judge(Run(kLongSilence), kIdle) == SilenceVerdict::kRunLost);
  CHECK(Judge(Run(kLongSilence, false), kIdle) == SilenceVerdict::kRunLost);
  EngineReport restarted = Listing(5);
  restarted.start_time_ms = 8;
  CHECK(Judge(Run(kLongSilence), restarted) == SilenceVerdict::kRunLost);
}

// Guards against leaving an engine because of a report that is older than the
// run, or that cannot show it.
TEST_CASE("a run that its engine may have is waited for") {
  CHECK(Judge(Run(kMaxReportAge - milliseconds(1)), kIdle) ==
        SilenceVerdict::kWait);
  EngineReport queue = kIdle;
  queue.queued = 1;
  EngineReport reads_prompt = kIdle;
  reads_prompt.running = 1;
  EngineReport without_runs = kIdle;
  without_runs.runs.reset();
  EngineReport without_queue = kIdle;
  without_queue.queued.reset();
  for (const EngineReport& report : {queue, without_runs, without_queue}) {
    CHECK(Judge(Run(kLongSilence), report) == SilenceVerdict::kWait);
    CHECK(Judge(Run(kLongSilence, false), report) == SilenceVerdict::kWait);
  }
  CHECK(Judge(Run(kLongSilence, false), reads_prompt) == SilenceVerdict::kWait);
  CHECK(Judge(Run(kLongSilence), reads_prompt) == SilenceVerdict::kRunLost);
}

// Guards against a stream that is moved from the engine that works on it while
// its caller still waits.
TEST_CASE("an engine explains a pause as long as callers wait") {
  const auto patience = [](int64_t target_ms, int64_t gap_ms) {
    return MakeSilenceLimits(milliseconds(target_ms), milliseconds(gap_ms),
                             /*has_begun=*/true)
        .explained_event;
  };
  CHECK(patience(4500, 700) == seconds(18));
  CHECK(patience(1000, 700) == milliseconds(5600));
  CHECK(patience(100, 100) == seconds(2));
}

// Guards against a stream that stays for good at an engine whose run makes no
// progress.
TEST_CASE("an engine explains a pause only for so long") {
  const Duration limit = kCallerPatienceTargets * milliseconds(2000);
  CHECK(Judge(Run(limit), Listing(5)) == SilenceVerdict::kWait);
  CHECK(Judge(Run(limit + milliseconds(1)), Listing(5)) ==
        SilenceVerdict::kTooLong);
  // Of an engine that has asked for no requests.
  const EndpointEvidence unprobed;
  CHECK(JudgeSilence(Run(limit), &unprobed, kNow) == SilenceVerdict::kProbe);
  CHECK(JudgeSilence(Run(limit + milliseconds(1)), &unprobed, kNow) ==
        SilenceVerdict::kTooLong);
  EndpointEvidence no_report = Answer(kIdle);
  no_report.report.reset();
  const SilentRun waiting = Run(milliseconds(2001), /*has_event=*/false);
  CHECK(JudgeSilence(waiting, &no_report, kNow) == SilenceVerdict::kTooLong);
}

// Guards against taking an unanswered probe of an earlier time, before the
// engine was used again, for one of this silence.
TEST_CASE("only a probe of this silence shows that its engine is lost") {
  EndpointEvidence evidence{.unanswered_since = kNow - kProbeTimeout,
                            .probed_at = kNow - kProbeTimeout};
  const SilentRun run = Run(kLongSilence);
  CHECK(JudgeSilence(run, &evidence, kNow) == SilenceVerdict::kEndpointLost);
  evidence.unanswered_since = kNow - kProbeTimeout + milliseconds(1);
  CHECK(JudgeSilence(run, &evidence, kNow) == SilenceVerdict::kProbe);
  evidence.unanswered_since = kNow - seconds(9);
  evidence.probed_at = kNow - seconds(9);
  CHECK(JudgeSilence(run, &evidence, kNow) == SilenceVerdict::kProbe);
  evidence.probed_at = kNow - milliseconds(1);
  CHECK(JudgeSilence(run, &evidence, kNow) == SilenceVerdict::kProbe);
  evidence.probed_at = kNow - kProbeTimeout;
  CHECK(JudgeSilence(run, &evidence, kNow) == SilenceVerdict::kEndpointLost);
}

}  // namespace
}  // namespace bramleybank
