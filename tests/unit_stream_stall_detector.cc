// Guards against stalls that are detected too late to resume within 3 s, and
// against false positives when an engine slows down under more streams.
#include <doctest/doctest.h>

#include "manual_clock.h"
#include "stream_stall_detector.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  ManualClock clock;
  StallDetector detector{clock.now(), 200ms, 0s};

  void Tokens(int count, Duration gap, uint32_t streams) {
    for (; count > 0; --count) {
      clock.Advance(gap);
      detector.OnToken(clock.now(), streams);
    }
  }
  Duration Limit() { return detector.Deadline() - clock.now(); }
};

TEST_CASE("the first token gets 3 times the estimate plus the queue wait") {
  const TimePoint start{};
  const auto limit = [start](Duration estimate, Duration queue) {
    return StallDetector(start, estimate, queue).Deadline() - start;
  };
  CHECK(limit(300ms, 0s) == 900ms);
  CHECK(limit(10ms, 0s) == 500ms);
  CHECK(limit(2s, 0s) == 1500ms);
  CHECK(limit(300ms, 2s) == 2900ms);
}

TEST_CASE("a regular stream that stops counts as stalled after 250 ms") {
  Fixture f;
  f.Tokens(50, 20ms, 4);
  CHECK(f.Limit() == 250ms);
}

TEST_CASE("the limit is at most 1.5 s for irregular and for new streams") {
  Fixture f;
  f.Tokens(2, 20ms, 4);
  CHECK(f.Limit() == 1500ms);
  f.Tokens(20, 20ms, 4);
  f.Tokens(1, 1s, 4);
  CHECK(f.Limit() == 1500ms);
}

TEST_CASE("gaps that grow with the load do not count as a stall") {
  Fixture f;
  f.Tokens(50, 60ms, 2);
  // The engine gets many streams at once, and its gaps grow proportionally.
  f.detector.SetEndpointStreams(16);
  CHECK(f.Limit() >= 480ms);
  f.Tokens(1, 480ms, 16);
  for (int i = 0; i < 30; ++i) {
    CHECK(f.Limit() > 480ms);
    f.Tokens(1, 480ms, 16);
  }
}

TEST_CASE("gradually rising load does not count as a stall") {
  Fixture f;
  f.Tokens(50, 30ms, 2);
  for (uint32_t streams = 3; streams <= 40; ++streams) {
    const Duration gap = 15ms * streams;
    f.detector.SetEndpointStreams(streams);
    CAPTURE(streams);
    CHECK(f.Limit() > gap);
    f.Tokens(2, gap, streams);
  }
}

TEST_CASE("tokens that arrive in batches do not count as a stall") {
  Fixture f;
  for (int i = 0; i < 40; ++i) {
    f.Tokens(4, 0ms, 4);
    CHECK(f.Limit() > 120ms);
    f.Tokens(1, 120ms, 4);
  }
}

}  // namespace
}  // namespace bramleybank
