// Guards against endpoint state that outlives its endpoint, estimates that
// trust stale reports or cache events with gaps, and growth without bound.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "manual_clock.h"
#include "route_endpoint_table.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  ManualClock clock;
  EndpointTable table{clock.hook()};

  explicit Fixture(const std::vector<EndpointConfig>& endpoints) {
    REQUIRE(table.SetConfig(endpoints));
  }
  const EndpointState& State(const char* address) {
    const EndpointState* state = table.Get(table.Find(address));
    REQUIRE(state != nullptr);
    return *state;
  }
};

TEST_CASE("a removed endpoint keeps its streams and gets no new work") {
  Fixture f({MakeEngineConfig("a:1"), MakeEngineConfig("b:1")});
  const EndpointHandle a = f.table.Find("a:1");
  f.table.OnStarted(a, OutputClass::kLong);
  const std::vector<EndpointConfig> rest = {MakeEngineConfig("b:1")};
  REQUIRE(f.table.SetConfig(rest));
  CHECK(f.State("a:1").is_leaving());
  f.table.OnEnded(a, EndOutcome::kSuccess, OutputClass::kLong, 1s);
  CHECK(f.table.Get(a) == nullptr);
  CHECK(f.table.size() == 1);
}

TEST_CASE("a late event of a removed endpoint does not change its successor") {
  Fixture f({MakeEngineConfig("a:1")});
  const EndpointHandle old = f.table.Find("a:1");
  REQUIRE(f.table.SetConfig({}));
  const std::vector<EndpointConfig> next = {MakeEngineConfig("c:1")};
  REQUIRE(f.table.SetConfig(next));
  f.table.OnStarted(old, OutputClass::kShort);
  CHECK(f.State("c:1").in_flight == 0);
}

TEST_CASE("a leaving notice holds until it is withdrawn") {
  Fixture f({MakeEngineConfig("a:1")});
  f.table.SetLeavingNotice("a:1", true);
  const std::vector<EndpointConfig> same = {MakeEngineConfig("a:1")};
  REQUIRE(f.table.SetConfig(same));
  CHECK(f.State("a:1").is_leaving());
  f.table.SetLeavingNotice("a:1", false);
  CHECK_FALSE(f.State("a:1").is_leaving());
}

TEST_CASE("a stale report of an idle endpoint decays to the group's load") {
  Fixture f({MakeEngineConfig("idle:1"), MakeEngineConfig("busy:1")});
  f.table.OnReport(f.table.Find("idle:1"), {.slots = 8});
  for (int i = 0; i < 60; ++i) {
    f.clock.Advance(1s);
    f.table.OnReport(f.table.Find("busy:1"), {.running = 8, .slots = 8});
  }
  CHECK(f.table.EstimateLoad(f.State("idle:1")) > 7);
}

TEST_CASE("own streams are counted at once and not twice") {
  Fixture f({MakeEngineConfig("a:1")});
  const EndpointHandle a = f.table.Find("a:1");
  f.table.OnStarted(a, OutputClass::kShort);
  f.table.OnReport(a, {.running = 4, .slots = 8});
  CHECK(f.table.EstimateLoad(f.State("a:1")) == doctest::Approx(4));
  f.table.OnStarted(a, OutputClass::kShort);
  CHECK(f.table.EstimateLoad(f.State("a:1")) == doctest::Approx(5));
}

TEST_CASE("a late first token of a busy endpoint is no failure") {
  Fixture f({MakeEngineConfig("a:1")});
  const EndpointHandle a = f.table.Find("a:1");
  f.table.OnReport(a, {.running = 2, .slots = 8});
  CHECK(f.table.ClassifyFirstTokenTimeout(a) == EndOutcome::kStalled);
  f.table.OnReport(a, {.running = 8, .waiting = 3, .slots = 8});
  CHECK(f.table.ClassifyFirstTokenTimeout(a) == EndOutcome::kCancelled);
}

TEST_CASE("an older report does not replace a newer one") {
  Fixture f({MakeEngineConfig("a:1")});
  const EndpointHandle a = f.table.Find("a:1");
  f.table.OnReport(a, {.running = 6, .slots = 8});
  f.table.OnReport(a, {.running = 0, .slots = 8, .age = 2s});
  CHECK(f.State("a:1").reported_load == 6);
}

TEST_CASE("connect failures decay with a half-life of 5 s") {
  Fixture f({MakeEngineConfig("a:1")});
  const EndpointHandle a = f.table.Find("a:1");
  f.table.OnStarted(a, OutputClass::kShort);
  f.table.OnEnded(a, EndOutcome::kConnectFailed, OutputClass::kShort, 0s);
  CHECK(f.State("a:1").connect_failures.Get(f.clock.now()) ==
        doctest::Approx(1));
  f.clock.Advance(5s);
  CHECK(f.State("a:1").connect_failures.Get(f.clock.now()) ==
        doctest::Approx(0.5));
}

TEST_CASE("a gap in cache events makes the estimate uncertain") {
  Fixture f({MakeEngineConfig("a:1")});
  const EndpointHandle a = f.table.Find("a:1");
  const std::vector<uint64_t> prefix = {0x1111222233334444, 0x5555666677778888};
  f.table.OnCacheEvent(a, {1, CacheChange::kStored, prefix[0]});
  f.table.OnCacheEvent(a, {2, CacheChange::kStored, prefix[1]});
  const PrefixCache& cache = *f.State("a:1").cache;
  CHECK(cache.CachedBlocks(prefix) == doctest::Approx(2));
  CHECK(f.table.FindPrefixLocation(prefix) == a);
  f.table.OnCacheEvent(a, {9, CacheChange::kStored, 7});
  CHECK(cache.is_uncertain());
  CHECK(cache.CachedBlocks(prefix) == doctest::Approx(1));
  f.table.OnCacheEvent(a, {10, CacheChange::kEvicted, prefix[0]});
  CHECK(cache.CachedBlocks(prefix) == 0);
}

TEST_CASE("replacing all of 12,000 endpoints leaves no state behind") {
  Fixture f({});
  for (int round = 0; round < 3; ++round) {
    std::vector<EndpointConfig> endpoints;
    for (int i = 0; i < 12000; ++i) {
      const std::string address =
          std::to_string(round) + "." + std::to_string(i);
      endpoints.push_back(MakeEngineConfig(address));
      endpoints.back().version = "v" + std::to_string(round);
    }
    REQUIRE(f.table.SetConfig(endpoints));
    for (const EndpointConfig& endpoint : endpoints) {
      f.table.OnCacheEvent(f.table.Find(endpoint.address),
                           {1, CacheChange::kStored, 5});
    }
    CHECK(f.table.size() == 12000);
    CHECK(f.table.names().size() == 5);
    const auto with_cache =
        std::ranges::count_if(endpoints, [&](const EndpointConfig& endpoint) {
          return f.State(endpoint.address.c_str()).cache != nullptr;
        });
    CHECK(with_cache == kMaxPrefixCaches);
  }
}

}  // namespace
}  // namespace bramleybank
