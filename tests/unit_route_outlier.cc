// Guards against a fault of the observer that ejects all endpoints, and against
// ejected endpoints that are never used again or get the full load at once.
#include <doctest/doctest.h>

#include "manual_clock.h"
#include "route_outlier.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;

constexpr NameId kGroup = 3;

struct Fixture {
  ManualClock clock;
  OutlierDetector outliers{clock.hook(), [](NameId) { return 9; }};

  static EndpointHandle At(int i) {
    return EndpointHandle(static_cast<uint64_t>(i) + 1);
  }
  EndpointHealth Health(int i) { return outliers.HealthOf(kGroup, At(i)); }
  void End(int i, EndOutcome outcome, int times = 1) {
    for (; times > 0; --times) {
      outliers.OnStarted(kGroup, At(i));
      outliers.OnEnded(kGroup, At(i), outcome);
    }
  }
  void PollAll() {
    for (int i = 0; i < 9; ++i) {
      outliers.OnPoll(kGroup, At(i), true);
    }
  }
  void SucceedAll() {
    for (int i = 0; i < 9; ++i) {
      End(i, EndOutcome::kSuccess);
    }
  }
};

TEST_CASE("one failing endpoint is ejected, twice as long each time") {
  Fixture f;
  f.SucceedAll();
  f.End(0, EndOutcome::kErrorEvent, 3);
  CHECK(f.Health(0) == EndpointHealth::kEjected);
  f.clock.Advance(kMinEjection);
  f.PollAll();
  CHECK(f.Health(0) == EndpointHealth::kProbe);
  f.SucceedAll();
  CHECK(f.Health(0) == EndpointHealth::kUsable);
  f.End(0, EndOutcome::kErrorEvent, 3);
  f.clock.Advance(kMinEjection);
  f.PollAll();
  CHECK(f.Health(0) == EndpointHealth::kEjected);
  f.clock.Advance(kMinEjection);
  CHECK(f.Health(0) == EndpointHealth::kProbe);
}

TEST_CASE("only one request probes, and its failure ejects again") {
  Fixture f;
  f.SucceedAll();
  f.End(0, EndOutcome::kConnectFailed, 3);
  f.clock.Advance(kMinEjection);
  f.PollAll();
  REQUIRE(f.Health(0) == EndpointHealth::kProbe);
  f.outliers.OnStarted(kGroup, Fixture::At(0));
  CHECK(f.Health(0) == EndpointHealth::kEjected);
  f.outliers.OnEnded(kGroup, Fixture::At(0), EndOutcome::kConnectFailed);
  f.clock.Advance(kMinEjection);
  f.PollAll();
  CHECK(f.Health(0) == EndpointHealth::kEjected);
}

TEST_CASE("at most a third of a group is ejected") {
  Fixture f;
  f.SucceedAll();
  for (int i = 0; i < 4; ++i) {
    f.End(i, EndOutcome::kErrorEvent, 5);
  }
  CHECK(f.outliers.ejected_count(kGroup) == 3);
}

TEST_CASE("a fault of the observer's link ejects no endpoint") {
  Fixture f;
  f.SucceedAll();
  // The first endpoints reach the ejection threshold before the others fail at
  // all.
  for (int i = 0; i < 9; ++i) {
    f.End(i, EndOutcome::kConnectFailed, 3);
  }
  CHECK(f.outliers.ejected_count(kGroup) == 0);
  CHECK(f.outliers.observer_faults() > 0);
}

TEST_CASE(
    "a lost domain is ejected when few other endpoints were used recently") {
  Fixture f;
  f.PollAll();
  f.End(8, EndOutcome::kSuccess);
  for (int i = 0; i < 3; ++i) {
    f.outliers.OnPoll(kGroup, Fixture::At(i), false);
    f.outliers.OnPoll(kGroup, Fixture::At(i), false);
    CHECK(f.Health(i) == EndpointHealth::kEjected);
  }
}

TEST_CASE("an endpoint without an answered poll is probed late or not at all") {
  Fixture f;
  f.SucceedAll();
  f.End(0, EndOutcome::kConnectFailed, 2);
  f.clock.Advance(kMinEjection);
  CHECK(f.Health(0) == EndpointHealth::kEjected);
  f.clock.Advance(kMinEjection * 3);
  CHECK(f.Health(0) == EndpointHealth::kProbe);
  f.outliers.OnPoll(kGroup, Fixture::At(0), false);
  CHECK(f.Health(0) == EndpointHealth::kEjected);
}

TEST_CASE("a failure after a probe's first token ejects at once") {
  Fixture f;
  f.SucceedAll();
  f.End(0, EndOutcome::kErrorEvent, 3);
  f.clock.Advance(kMinEjection);
  f.PollAll();
  f.outliers.OnStarted(kGroup, Fixture::At(0));
  f.outliers.OnFirstToken(kGroup, Fixture::At(0));
  CHECK(f.Health(0) == EndpointHealth::kUsable);
  f.outliers.OnEnded(kGroup, Fixture::At(0), EndOutcome::kEarlyEnd);
  CHECK(f.Health(0) == EndpointHealth::kEjected);
}

TEST_CASE("an endpoint that fails intermittently is ejected") {
  Fixture f;
  f.SucceedAll();
  for (int i = 0; i < 12; ++i) {
    f.End(0, i % 3 == 0 ? EndOutcome::kSuccess : EndOutcome::kErrorEvent);
  }
  CHECK(f.Health(0) == EndpointHealth::kEjected);
}

TEST_CASE("the state of endpoints without observations is dropped") {
  Fixture f;
  f.SucceedAll();
  CHECK(f.outliers.tracked_count() == 9);
  f.clock.Advance(11min);
  f.outliers.Sweep();
  CHECK(f.outliers.tracked_count() == 0);
}

}  // namespace
}  // namespace bramleybank
