// Conditions under which streams and failure domains count as silent.
#include <doctest/doctest.h>

#include "bramleybank/limits.h"
#include "stream_silence_monitor.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  void Add(uint64_t id, const std::string& domain) {
    monitor.Add(id,
                {.service = "writers",
                 .failure_domain = domain,
                 .endpoint_id = domain + std::to_string(id)},
                now);
  }

  /// Runs checks at their interval for `time` or until one finds a silent
  /// stream. The streams in `alive` have an event before each check.
  SilenceFindings Run(Duration time, const std::vector<uint64_t>& alive) {
    SilenceFindings findings;
    for (const TimePoint end = now + time; now < end;) {
      now += kSilenceCheckInterval;
      for (const uint64_t id : alive) {
        monitor.OnEvent(id, now);
      }
      findings = monitor.Check(now);
      if (!findings.silent_streams.empty()) {
        break;
      }
    }
    return findings;
  }

  TimePoint now{seconds(100)};
  StreamSilenceMonitor monitor;
};

// Guards against moving streams away from an engine that prefills another
// prompt.
TEST_CASE("a single silent stream is moved only after the longer timeout") {
  Fixture fixture;
  fixture.Add(1, "a");
  fixture.Add(2, "a");
  fixture.Run(milliseconds(100), {1, 2});
  CHECK(fixture.Run(kMaxEventSilence - kSilenceCheckInterval, {2})
            .silent_streams.empty());
  CHECK(fixture.Run(milliseconds(200), {2}).silent_streams ==
        std::vector<uint64_t>{1});
}

// Guards against waiting too long before streams are moved when a whole failure
// domain is lost.
TEST_CASE("a domain whose streams all fall silent has a shorter timeout") {
  Fixture fixture;
  fixture.Add(1, "a");
  fixture.Add(2, "a");
  fixture.Add(3, "a");
  fixture.Add(4, "b");
  fixture.Run(milliseconds(100), {1, 2, 4});
  const SilenceFindings findings =
      fixture.Run(kMaxDomainSilence + kSilenceCheckInterval, {4});
  // The third stream has no event yet, but it runs in the lost domain.
  CHECK(findings.silent_streams == std::vector<uint64_t>{1, 2, 3});
  REQUIRE(findings.silent_domains.size() == 1);
  CHECK(findings.silent_domains[0].failure_domain == "a");
}

// Guards against moving a stream, and so another prefill, because the engine
// has a queue.
TEST_CASE("a stream may wait longer for its first event") {
  Fixture fixture;
  fixture.Add(1, "a");
  CHECK(fixture.Run(kFirstEventTimeout - kSilenceCheckInterval, {})
            .silent_streams.empty());
  CHECK(fixture.Run(milliseconds(200), {}).silent_streams ==
        std::vector<uint64_t>{1});
}

// Guards against a gateway that was suspended and then takes its own pause for
// a loss of engines.
TEST_CASE("a late check does not count as silence") {
  Fixture fixture;
  fixture.Add(1, "a");
  fixture.Add(2, "a");
  fixture.Run(milliseconds(100), {1, 2});
  fixture.now += seconds(3);
  CHECK(fixture.monitor.Check(fixture.now).silent_streams.empty());
  CHECK(fixture.monitor.Check(fixture.now + kSilenceCheckInterval)
            .silent_streams.empty());
}

}  // namespace
}  // namespace bramleybank
