// Conditions under which streams and failure domains count as silent.
#include "stream_silence_monitor.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "endpoint_evidence.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTarget{4500};
constexpr milliseconds kGap{700};

/// Streams at engines that are probed as a gateway does it. Engines in `dark`
/// do not answer.
struct Fixture {
  void Add(uint64_t id, const std::string& domain) {
    SilentRun run;
    run.request_id = std::to_string(id);
    run.limits = MakeSilenceLimits(kTarget, kGap, /*has_begun=*/false);
    monitor.Add(id,
                {.service = "writers",
                 .failure_domain = domain,
                 .endpoint_id = domain + std::to_string(id)},
                run, now);
  }

  void Probe(const std::string& endpoint) {
    EndpointEvidence& known = evidence[endpoint];
    known.probed_at = now;
    if (std::ranges::find(dark, endpoint) == dark.end()) {
      known.unanswered_since.reset();
      known.answer_valid_until = now + kMinProbeInterval;
      known.reported_at = now;
    } else if (!known.unanswered_since) {
      known.unanswered_since = now;
    }
  }

  /// Runs checks at their interval for `time` or until one finds a silent
  /// stream. The streams in `alive` have an event before each check.
  std::vector<uint64_t> Run(Duration time, const std::vector<uint64_t>& alive) {
    std::vector<uint64_t> silent;
    for (const TimePoint end = now + time; now < end && silent.empty();) {
      now += kSilenceCheckInterval;
      for (const uint64_t id : alive) {
        monitor.OnEvent(id, 1, now);
      }
      findings = monitor.Check(now);
      if (can_probe) {
        std::ranges::for_each(findings.endpoints_to_probe,
                              [&](const auto& id) { Probe(id); });
      }
      for (const SilentStream& stream : findings.silent_streams) {
        silent.push_back(stream.id);
      }
    }
    return silent;
  }

  TimePoint now{seconds(100)};
  bool can_probe = true;
  std::vector<std::string> dark;
  std::map<std::string, EndpointEvidence> evidence;
  SilenceFindings findings;
  StreamSilenceMonitor monitor{[this](const std::string& id) {
    return can_probe ? &evidence[id] : nullptr;
  }};
};

// Guards against moving streams away from an engine that prefills another
// prompt.
TEST_CASE("a silent stream stays while its engine answers probes") {
  Fixture fixture;
  fixture.Add(1, "a");
  fixture.Add(2, "a");
  fixture.Run(milliseconds(100), {1, 2});
  CHECK(fixture.Run(2 * kGap, {2}).empty());
  CHECK(fixture.Run(2 * kGap, {}).empty());
  CHECK(fixture.findings.silent_domains.empty());
}

// Guards against a stream whose pause exceeds what its route allows because the
// loss of its engine is detected late.
TEST_CASE(
    "a silent stream at a lost engine is moved within its longest pause") {
  Fixture fixture;
  fixture.dark = {"a1"};
  fixture.Add(1, "a");
  fixture.Add(2, "a");
  fixture.Run(milliseconds(100), {1, 2});
  const TimePoint last_event = fixture.now;
  CHECK(fixture.Run(kGap, {2}) == std::vector<uint64_t>{1});
  CHECK(fixture.now - last_event <=
        milliseconds(245) + kProbeTimeout + 2 * kSilenceCheckInterval);
  CHECK(fixture.now - last_event >= milliseconds(245) + kProbeTimeout);
  CHECK(fixture.findings.silent_streams[0].verdict ==
        SilenceVerdict::kEndpointLost);
}

// Guards against moving streams of routes that allow long pauses, and against
// waiting too long on those with short ones.
TEST_CASE("the longest pause of the route decides when silence is suspicious") {
  const SilenceLimits slow = MakeSilenceLimits(kTarget, seconds(10), false);
  CHECK(slow.event == milliseconds(3500));
  CHECK(slow.unprobed_event == seconds(10));
  const SilenceLimits fast =
      MakeSilenceLimits(kTarget, milliseconds(100), true);
  CHECK(fast.event == kMinSuspiciousSilence);
  CHECK(fast.first_event == fast.event);
  CHECK(MakeSilenceLimits(seconds(2), kGap, false).first_event == seconds(1));
}

// Guards against waiting too long before streams are moved when a whole failure
// domain is lost.
TEST_CASE("a domain whose engines all fall silent is lost") {
  Fixture fixture;
  fixture.dark = {"a1", "a2", "a3"};
  fixture.Add(1, "a");
  fixture.Add(2, "a");
  fixture.Add(3, "a");
  fixture.Add(4, "b");
  fixture.Run(milliseconds(100), {1, 2, 4});
  const TimePoint last_event = fixture.now;
  // The third stream has no event yet, but it runs in the lost domain.
  CHECK(fixture.Run(kGap, {4}) == std::vector<uint64_t>{1, 2, 3});
  CHECK(fixture.now - last_event <
        milliseconds(245) + kProbeTimeout + kSilenceCheckInterval);
  REQUIRE(fixture.findings.silent_domains.size() == 1);
  CHECK(fixture.findings.silent_domains[0].failure_domain == "a");
}

// Guards against a request that runs at two engines because others of the
// domain of its own, which was not asked, are lost.
TEST_CASE("a stream stays at a working engine of a lost domain") {
  Fixture fixture;
  fixture.dark = {"a1", "a2"};
  fixture.Add(1, "a");
  fixture.Add(2, "a");
  fixture.Run(milliseconds(100), {1, 2});
  // It has no event yet.
  fixture.Add(3, "a");
  CHECK(fixture.Run(kGap, {}) == std::vector<uint64_t>{1, 2});
  CHECK(fixture.findings.silent_domains.empty());
}

// Guards against giving up a domain in which an engine still answers.
TEST_CASE("a domain with an engine that answers probes is not lost") {
  Fixture fixture;
  fixture.dark = {"a1", "a2"};
  for (const uint64_t id : {1, 2, 3}) {
    fixture.Add(id, "a");
  }
  fixture.Run(milliseconds(100), {1, 2, 3});
  CHECK(fixture.Run(kGap, {}) == std::vector<uint64_t>{1, 2});
  CHECK(fixture.findings.silent_domains.empty());
}

// Guards against moving a stream, and so another prefill, because the engine
// has a queue.
TEST_CASE("a stream waits for its first event while its engine works") {
  Fixture fixture;
  fixture.Add(1, "a");
  fixture.evidence["a1"].report = EngineReport{.queued = 3};
  CHECK(fixture.Run(2 * kTarget, {}).empty());
  Fixture lost;
  lost.dark = {"a1"};
  lost.Add(1, "a");
  CHECK(lost.Run(kTarget / 2, {}).empty());
  CHECK(lost.Run(milliseconds(300), {}) == std::vector<uint64_t>{1});
}

// Guards against streams of endpoints without reports that never end.
TEST_CASE(
    "a stream at an endpoint without reports has the times of its route") {
  Fixture fixture;
  fixture.can_probe = false;
  fixture.Add(1, "a");
  CHECK(fixture.Run(kTarget - kSilenceCheckInterval, {}).empty());
  CHECK(fixture.Run(milliseconds(200), {}) == std::vector<uint64_t>{1});
  fixture.Run(milliseconds(100), {1});
  CHECK(fixture.Run(kGap - kSilenceCheckInterval, {}).empty());
  CHECK(fixture.Run(milliseconds(200), {}) == std::vector<uint64_t>{1});
}

// Guards against a gateway that was suspended and then takes its own pause for
// a loss of engines.
TEST_CASE("a late check does not count as silence") {
  Fixture fixture;
  fixture.dark = {"a1", "a2"};
  fixture.Add(1, "a");
  fixture.Add(2, "a");
  fixture.Run(milliseconds(100), {1, 2});
  fixture.now += seconds(3);
  CHECK(fixture.monitor.Check(fixture.now) == SilenceFindings{});
  CHECK(fixture.monitor.Check(fixture.now + kSilenceCheckInterval) ==
        SilenceFindings{});
}

}  // namespace
}  // namespace bramleybank
