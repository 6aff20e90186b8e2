// Guards against daemons that all choose the same endpoint because of stale
// reports, work on leaving or failed endpoints, needless use of slow links, and
// long work that starves short work.
#include <doctest/doctest.h>

#include <map>
#include <vector>

#include "manual_clock.h"
#include "route_picker.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  ManualClock clock;
  EndpointTable table{clock.hook()};
  OutlierDetector outliers{clock.hook(), [](NameId) { return 9; }};
  RoutePicker picker{&table, &outliers, SeededRandom(7)};
  RouteQuery query{.group = "m",
                   .prompt_tokens = 256,
                   .region = "r1",
                   .failure_domain = "d1"};

  explicit Fixture(const std::vector<EndpointConfig>& endpoints) {
    REQUIRE(table.SetConfig(endpoints));
  }
  std::string AddressOf(const std::optional<Pick>& pick) {
    return pick ? table.Get(pick->endpoint)->address : "none";
  }
  std::map<std::string, int> ChooseMany(int count) {
    std::map<std::string, int> picks;
    for (int i = 0; i < count; ++i) {
      ++picks[AddressOf(picker.Choose(query))];
    }
    return picks;
  }
  void Report(const char* address, uint32_t running, uint32_t waiting) {
    table.OnReport(table.Find(address),
                   {.running = running, .waiting = waiting, .slots = 8});
  }
};

std::vector<EndpointConfig> Engines(int count) {
  std::vector<EndpointConfig> endpoints;
  for (int i = 0; i < count; ++i) {
    endpoints.push_back(MakeEngineConfig("e" + std::to_string(i) + ":1"));
  }
  return endpoints;
}

TEST_CASE(
    "daemons that share a stale report don't all pick the same endpoint") {
  Fixture f(Engines(10));
  for (int i = 0; i < 10; ++i) {
    f.Report(("e" + std::to_string(i) + ":1").c_str(), i == 0 ? 0 : 8, 2);
  }
  // Choices without OnStarted() are those of daemons that do not see each
  // other's attempts.
  CHECK(f.ChooseMany(1000)["e0:1"] < 300);
}

TEST_CASE("a leaving endpoint is never picked, not even as the last one") {
  Fixture f(Engines(2));
  f.table.SetLeavingNotice("e0:1", true);
  CHECK(f.ChooseMany(100)["e0:1"] == 0);
  f.table.SetLeavingNotice("e1:1", true);
  CHECK_FALSE(f.picker.Choose(f.query));
  CHECK(f.picker.last_reason().code == ResultCode::kNoEndpoint);
}

TEST_CASE(
    "work leaves its domain or region only to save more than the threshold") {
  Fixture f({MakeEngineConfig("own:1"), MakeEngineConfig("near:1", "d2"),
             MakeEngineConfig("far:1", "d3", "r2")});
  for (const char* address : {"own:1", "near:1", "far:1"}) {
    f.Report(address, 0, 0);
  }
  CHECK(f.ChooseMany(50)["own:1"] == 50);
  // 8 + 1 - 8 = 1 waiting at 2 s a slot: 250 ms.
  f.Report("own:1", 8, 0);
  CHECK(f.ChooseMany(50)["near:1"] == 50);
  f.Report("near:1", 8, 0);
  CHECK(f.ChooseMany(50)["own:1"] == 50);
  f.Report("own:1", 8, 4);
  f.Report("near:1", 8, 4);
  CHECK(f.ChooseMany(50)["far:1"] == 50);
  f.query.priority = RoutePriority::kBatch;
  CHECK(f.ChooseMany(50)["far:1"] == 0);
}

TEST_CASE("other endpoints are used when no preferred one is usable") {
  Fixture f(Engines(3));
  const std::vector<std::string> preferred = {"e1:1"};
  f.table.SetPreferred("m", preferred);
  CHECK(f.ChooseMany(50)["e1:1"] == 50);
  f.table.SetLeavingNotice("e1:1", true);
  CHECK(f.picker.Choose(f.query));
}

TEST_CASE("a resume avoids the failed endpoint and, if possible, its domain") {
  Fixture f({MakeEngineConfig("a:1"), MakeEngineConfig("b:1"),
             MakeEngineConfig("c:1", "d2")});
  const std::vector<EndpointHandle> failed = {f.table.Find("a:1")};
  const std::vector<std::string_view> domains = {"d1"};
  f.query.avoid_endpoints = failed;
  f.query.avoid_domains = domains;
  CHECK(f.ChooseMany(50)["c:1"] == 50);
  f.table.SetLeavingNotice("c:1", true);
  CHECK(f.ChooseMany(50)["b:1"] == 50);
}

TEST_CASE("only the requested version and adapter are picked") {
  std::vector<EndpointConfig> endpoints = Engines(3);
  endpoints[1].version = "v2";
  endpoints[2].adapter = "x";
  Fixture f(endpoints);
  f.query.version = "v1";
  f.query.adapter = "";
  CHECK(f.ChooseMany(50)["e0:1"] == 50);
  f.query.version = "v9";
  CHECK_FALSE(f.picker.Choose(f.query));
}

TEST_CASE("long work leaves a fifth of the slots to short work") {
  Fixture f(Engines(1));
  f.Report("e0:1", 0, 0);
  const EndpointHandle endpoint = f.table.Find("e0:1");
  f.query.output = OutputClass::kLong;
  int started = 0;
  for (; started < 20 && f.picker.Choose(f.query); ++started) {
    f.table.OnStarted(endpoint, OutputClass::kLong);
  }
  CHECK(started == 6);
  CHECK(f.picker.last_reason().code == ResultCode::kOverloaded);
  f.query.output = OutputClass::kShort;
  CHECK(f.picker.Choose(f.query));
}

TEST_CASE("a cached prefix attracts the request until its endpoint is busy") {
  Fixture f(Engines(40));
  f.query.prompt_tokens = 4096;
  std::vector<uint64_t> prefix;
  for (uint64_t i = 0; i < 60; ++i) {
    prefix.push_back((i + 1) * 0x9e3779b97f4a7c15ULL);
    f.table.OnCacheEvent(f.table.Find("e9:1"),
                         {i + 1, CacheChange::kStored, prefix.back()});
  }
  f.query.prefix_hashes = prefix;
  CHECK(f.ChooseMany(50)["e9:1"] == 50);
  for (int i = 0; i < 40; ++i) {
    f.Report(("e" + std::to_string(i) + ":1").c_str(), i == 9 ? 8 : 0, 8);
  }
  CHECK(f.ChooseMany(50)["e9:1"] == 0);
}

TEST_CASE(
    "an endpoint slower than its estimate gets less work until it recovers") {
  Fixture f(Engines(2));
  const EndpointHandle slow = f.table.Find("e0:1");
  for (int i = 0; i < 10; ++i) {
    f.table.OnFirstToken(slow, {.wait = 900ms, .estimated_wait = 50ms});
  }
  CHECK(f.ChooseMany(100)["e0:1"] < 20);
  f.clock.Advance(60s);
  f.table.OnStarted(f.table.Find("e1:1"), OutputClass::kShort);
  CHECK(f.ChooseMany(100)["e0:1"] > 80);
}

}  // namespace
}  // namespace bramleybank
