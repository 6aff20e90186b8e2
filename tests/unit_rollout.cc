// Rollouts: the judgement of a version, the shares of both versions, and
// several gateways that coordinate through a store in memory.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "endpoint_picker.h"
#include "rollout_fleet.h"
#include "rollout_judge.h"
#include "rollout_records.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRounds = 1000;

/// Answers of a version that fails with probability `rate`.
VersionTally DrawAnswers(std::mt19937* random, int answers, double rate) {
  std::bernoulli_distribution fails(rate);
  VersionTally tally;
  for (int i = 0; i < answers; ++i) {
    ++(fails(*random) ? tally.bad : tally.good);
  }
  return tally;
}

/// Fraction of the rounds in which a version is found bad within `answers`
/// answers.
double FractionFoundBad(double old_rate, double new_rate, int answers) {
  std::mt19937 random(7);
  int found = 0;
  for (int round = 0; round < kRounds; ++round) {
    RolloutEvidence evidence;
    RouteTally& tally = evidence["r"];
    tally.old_version = DrawAnswers(&random, 200, old_rate);
    bool is_bad = false;
    // Judged after each answer, as gateways do.
    for (int i = 0; i < answers && !is_bad; ++i) {
      tally.new_version += DrawAnswers(&random, 1, new_rate);
      is_bad = JudgeRollout(evidence) == RolloutVerdict::kBad;
    }
    found += is_bad ? 1 : 0;
  }
  return static_cast<double>(found) / kRounds;
}

// Guards against good versions that are rolled back. The statistical test is
// designed for one false alarm in a hundred rollouts.
TEST_CASE("a version as good as the old one is rarely found bad") {
  CHECK(FractionFoundBad(0.0, 0.0, 200) == 0);
  CHECK(FractionFoundBad(0.02, 0.02, 200) < 0.02);
  CHECK(FractionFoundBad(0.14, 0.14, 200) < 0.02);
}

// Guards against a bad version that is not rolled back. The operator's bound is
// 50 bad answers.
TEST_CASE("a version that fails is found before its fiftieth bad answer") {
  CHECK(FractionFoundBad(0.02, 0.5, 50) > 0.99);
  CHECK(FractionFoundBad(0.02, 0.3, 100) > 0.99);
  CHECK(FractionFoundBad(0.14, 0.5, 100) > 0.99);
}

// Guards against a bad route that is hidden by many good answers of other
// routes.
TEST_CASE("a version that fails on one route only is found") {
  RolloutEvidence evidence;
  evidence["good"] = {.old_version = {.good = 500, .bad = 5},
                      .new_version = {.good = 300, .bad = 3}};
  CHECK(JudgeRollout(evidence) == RolloutVerdict::kUndecided);
  evidence["bad"] = {.old_version = {.good = 50, .bad = 1},
                     .new_version = {.good = 2, .bad = 6}};
  CHECK(JudgeRollout(evidence) == RolloutVerdict::kBad);
}

TEST_CASE("phases follow the evidence and the time") {
  using enum RolloutPhase;
  const RolloutEvidence none;
  const RolloutEvidence good = {
      {"r",
       {.old_version = {.good = 50, .bad = 1}, .new_version = {.good = 20}}}};
  const RolloutEvidence bad = {{"r",
                                {.old_version = {.good = 50, .bad = 1},
                                 .new_version = {.good = 2, .bad = 9}}}};
  const auto next = [](RolloutPhase phase, const RolloutEvidence& evidence,
                       int elapsed_s) {
    return NextPhase(phase, evidence, seconds(elapsed_s), seconds(100));
  };
  CHECK(next(kProbing, good, 10) == kProbing);
  CHECK(next(kProbing, good, 60) == kShifting);
  CHECK(next(kProbing, bad, 10) == kRolledBack);
  // A version without evidence must not be completed.
  CHECK(next(kProbing, none, 60) == kRolledBack);
  CHECK(next(kShifting, good, 70) == kShifting);
  CHECK(next(kShifting, bad, 70) == kRolledBack);
  CHECK(next(kShifting, good, 85) == kCompleted);
  CHECK(next(kCompleted, bad, 90) == kCompleted);
  // Guards against a good version that is completed too late. A short rollout
  // must leave time for the last exchange of evidence.
  CHECK(NextPhase(kShifting, good, seconds(5), seconds(8)) == kShifting);
  CHECK(NextPhase(kShifting, good, seconds(6), seconds(8)) == kCompleted);
  CHECK(next(kRolledBack, good, 90) == kRolledBack);
}

TEST_CASE("decisions and reports survive encoding and decoding") {
  const RolloutDecision decision{
      .order = {.id = {9, 2}, .version = "v2", .duration = seconds(8)},
      .earlier_ids = {{7, 0}, {8, 1}},
      .phase = RolloutPhase::kShifting,
      .driver = "g1",
      .started = seconds(3),
      .published = true};
  CHECK(DecodeDecision(EncodeDecision(decision)) == decision);
  const RolloutReport report{
      .order = {.id = {9, 2}, .version = "v2", .duration = seconds(8)},
      .evidence = {{"r", {.old_version = {1, 2}, .new_version = {3, 4}}}}};
  CHECK(DecodeReport(EncodeReport(report)) == report);
  CHECK_FALSE(DecodeDecision("{}").has_value());
  CHECK_FALSE(DecodeReport("x").has_value());
}

// Guards against undefined conversions and sums of numbers in odd rows.
TEST_CASE("reports and decisions with odd numbers are refused") {
  for (const std::string number :
       {"-1", "1e300", "1.5", "\"1\"", "null", "18446744073709551615"}) {
    CAPTURE(number);
    CHECK_FALSE(DecodeReport(R"({"order":1,"routes":{"r":{"old":[0,)" + number +
                             R"(],"new":[0,0]}}})"));
    CHECK_FALSE(DecodeDecision(R"({"order":1,"phase":"probing","driver":"g",)"
                               R"("published":false,"started_us":)" +
                               number + "}"));
  }
}

// Guards against a bad version that gets more than its share, and against a
// version that gets requests before the shared decision is known.
TEST_CASE("a gateway enforces the share of the new version by itself") {
  RolloutSplitter splitter("v2", {}, [] { return 0; });
  using Kind = RolloutRule::Kind;
  CHECK(splitter.RuleForRequest("r", 8).kind == Kind::kAllBut);
  splitter.SetPhase(RolloutPhase::kProbing);
  int probes = 0;
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    probes += splitter.RuleForRequest("r", 8).kind == Kind::kPreferred ? 1 : 0;
  }
  CHECK(probes >= kRequests * kRolloutProbeShare);
  CHECK(probes <= (kRequests * kRolloutProbeShare) + 3);
  CHECK(splitter.RuleForRetry().kind == Kind::kAllBut);
  splitter.Stop();
  CHECK(splitter.RuleForRequest("r", 8).kind == Kind::kAllBut);
  splitter.SetPhase(RolloutPhase::kRolledBack);
  // A final phase does not change, even if an old row has another one.
  splitter.SetPhase(RolloutPhase::kCompleted);
  CHECK(splitter.RuleForRequest("r", 8).kind == Kind::kAllBut);
}

// Guards against a version that is slow and never fails.
TEST_CASE("answers several times slower than usual count as bad") {
  RolloutSplitter splitter("v2", {}, [] { return 0; });
  splitter.SetPhase(RolloutPhase::kProbing);
  for (int i = 0; i < 20; ++i) {
    splitter.Observe("r", "v1", false, milliseconds(30));
  }
  splitter.Observe("r", "v2", false, milliseconds(40));
  splitter.Observe("r", "v2", false, milliseconds(200));
  CHECK(splitter.Evidence().at("r").new_version == VersionTally{1, 1});
}

TEST_CASE("a good version is completed in time") {
  RolloutFleet fleet;
  fleet.Run(seconds(2));
  CHECK(fleet.AllIn(RolloutPhase::kProbing));
  CHECK(fleet.new_requests < fleet.requests / 10);
  fleet.Run(milliseconds(1900));
  CHECK(fleet.AllIn(RolloutPhase::kCompleted));
  CHECK(fleet.store.Statuses() ==
        std::vector{RolloutPhase::kProbing, RolloutPhase::kCompleted});
}

// Guards against rows of evidence that grow with the number of gateways, and
// against evidence that is lost or counted twice when it passes through a
// relay.
TEST_CASE("a relay writes the evidence of its followers") {
  for (const double rate : {0.02, 0.5}) {
    RolloutFleet fleet(seconds(4), /*relayed=*/true);
    fleet.new_rate = rate;
    fleet.Run(milliseconds(3900));
    CHECK(fleet.AllIn(rate < 0.1 ? RolloutPhase::kCompleted
                                 : RolloutPhase::kRolledBack));
    CHECK(fleet.new_requests <=
          (rate < 0.1 ? fleet.requests : fleet.requests / 10));
    std::optional<RolloutReport> last;
    for (const StoreWrite& write : fleet.store.history) {
      CHECK(write.key != "s/g1");
      CHECK(write.key != "s/g2");
      if (write.key == "s/g0") {
        last = DecodeReport(write.value);
      }
    }
    REQUIRE(last.has_value());
    const RouteTally total = TotalOf(last->evidence);
    const int64_t counted =
        total.old_version.total() + total.new_version.total();
    CHECK(counted <= fleet.requests);
    if (rate < 0.1) {
      CHECK(counted > fleet.requests / 2);
    } else {
      CHECK(total.new_version.bad > 0);
    }
  }
}

// Guards against evidence that is counted twice, in a gateway's own row and
// again at a relay, when the gateway becomes a follower.
TEST_CASE("evidence that is already written is not handed over") {
  RolloutFleet fleet;
  fleet.Run(milliseconds(500));
  fleet.has_relay = true;
  fleet.Run(milliseconds(500));
  int64_t counted = 0;
  std::map<std::string, RouteTally> rows;
  for (const StoreWrite& write : fleet.store.history) {
    if (const auto report = DecodeReport(write.value)) {
      rows[write.key] = TotalOf(report->evidence);
    }
  }
  for (const auto& [key, tally] : rows) {
    counted += tally.old_version.total() + tally.new_version.total();
  }
  CHECK(rows.size() == 3);
  CHECK(counted <= fleet.requests);
  CHECK(counted >= fleet.requests * 9 / 10);
}

// Guards against a bad version that gets more than a tenth of the requests.
TEST_CASE("a bad version is rolled back by all gateways") {
  RolloutFleet fleet;
  fleet.new_rate = 0.5;
  fleet.Run(seconds(4));
  CHECK(fleet.AllIn(RolloutPhase::kRolledBack));
  CHECK(fleet.new_requests <= fleet.requests / 10);
  CHECK(fleet.store.Statuses().back() == RolloutPhase::kRolledBack);
  const int before = fleet.new_requests;
  fleet.Run(seconds(1));
  CHECK(fleet.new_requests == before);
}

// Guards against a version that is judged good and then fails under load.
TEST_CASE(
    "a version that turns bad while traffic shifts to it is rolled back") {
  RolloutFleet fleet(seconds(12));
  fleet.Run(milliseconds(7800));
  fleet.new_rate = 0.6;
  fleet.Run(milliseconds(1300));
  CHECK(fleet.AllIn(RolloutPhase::kRolledBack));
  CHECK(fleet.store.Statuses().back() == RolloutPhase::kRolledBack);
}

// Guards against a rollout that stops when its driver is lost.
TEST_CASE("another gateway carries on the rollout when the driver is gone") {
  RolloutFleet fleet;
  fleet.Run(seconds(1));
  const auto decision = std::ranges::find_if(
      fleet.store.history,
      [](const StoreWrite& write) { return write.key == "s"; });
  REQUIRE(decision != fleet.store.history.end());
  const std::string driver = DecodeDecision(decision->value)->driver;
  fleet.controllers[driver.back() - '0'].reset();
  fleet.Run(milliseconds(2900));
  CHECK(fleet.AllIn(RolloutPhase::kCompleted));
  CHECK(fleet.store.Statuses().back() == RolloutPhase::kCompleted);
}

// Guards against a late write of a driver that was paused. It arrives after the
// other gateways have published the final phase to the operator.
TEST_CASE("a late write changes neither a decision nor a status") {
  RolloutFleet fleet;
  int writes = 0;
  fleet.store.should_hold = [&writes](const StoreWrite& write) {
    return write.key == "s" && ++writes == 20;
  };
  fleet.Run(milliseconds(3900));
  REQUIRE(fleet.store.held.size() == 1);
  const auto statuses = fleet.store.Statuses();
  CHECK(statuses.back() == RolloutPhase::kCompleted);
  CHECK(fleet.store.Apply(fleet.store.held[0]) == StoreResult::kConflict);
  fleet.Run(milliseconds(200));
  CHECK(fleet.store.Statuses() == statuses);
}

// Guards against a gateway that starts during or after a rollout and sends
// requests to a version that was rolled back.
TEST_CASE("a restarted gateway follows the decision") {
  RolloutFleet fleet;
  fleet.new_rate = 0.5;
  fleet.Run(seconds(4));
  REQUIRE(fleet.AllIn(RolloutPhase::kRolledBack));
  fleet.Start(1);
  CHECK(fleet.controllers[1]->RuleForRequest("s", "r").kind ==
        RolloutRule::Kind::kAllBut);
  const int before = fleet.new_requests;
  fleet.Run(seconds(1));
  CHECK(fleet.AllIn(RolloutPhase::kRolledBack));
  CHECK(fleet.new_requests == before);
}

// Guards against a bad version that stays in use because the store does not
// answer. Each gateway must stop on its own evidence.
TEST_CASE("a gateway stops by itself while the store is unavailable") {
  RolloutFleet fleet;
  fleet.Run(milliseconds(200));
  fleet.store.is_down = true;
  fleet.new_rate = 0.9;
  fleet.Run(seconds(3));
  const int before = fleet.new_requests;
  CHECK(fleet.new_requests <= fleet.requests / 10);
  fleet.Run(seconds(1));
  CHECK(fleet.new_requests == before);
  fleet.store.is_down = false;
  fleet.Run(seconds(1));
  CHECK(fleet.AllIn(RolloutPhase::kRolledBack));
}

struct VersionFixture {
  VersionFixture() {
    for (int i = 0; i < 20; ++i) {
      Add("old" + std::to_string(i), "v1");
      Add("new" + std::to_string(i), "v2");
    }
  }
  void Add(const std::string& id, const std::string& version) {
    EndpointEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.version = version;
    entry.failure_domain = id.back() % 2 == 0 ? "a" : "b";
    entry.address = id + ":1";
    directory.Update(entry);
  }
  EndpointDirectory directory{&SteadyNow};
  EndpointPicker picker{&directory, nullptr, {}, [this] { return random(); }};
  std::mt19937 random{1};
};

// Guards against probes that are spread over so many endpoints that a version
// which fails under load looks good.
TEST_CASE("probes go to an equally small share of the endpoints") {
  VersionFixture fixture;
  std::vector<std::string> used;
  for (int i = 0; i < 200; ++i) {
    const EndpointRecord* picked =
        fixture.picker
            .PickForAttempt({.service = "s",
                             .versions = {.kind = RolloutRule::Kind::kPreferred,
                                          .version = "v2",
                                          .endpoint_share = 0.1}})
            .endpoint;
    REQUIRE(picked != nullptr);
    CHECK(picked->entry.version == "v2");
    used.push_back(picked->entry.id);
  }
  std::ranges::sort(used);
  used.erase(std::unique(used.begin(), used.end()), used.end());
  CHECK(used.size() == 2);
}

// Guards against a copy of a run at an endpoint whose version must not get
// requests.
TEST_CASE("a run and its copy stay within the allowed versions") {
  VersionFixture fixture;
  const RolloutRule rule{.kind = RolloutRule::Kind::kAllBut, .version = "v2"};
  for (int i = 0; i < 50; ++i) {
    const EndpointRecord* primary =
        fixture.picker.PickForAttempt({.service = "s", .versions = rule})
            .endpoint;
    REQUIRE(primary != nullptr);
    CHECK(primary->entry.version == "v1");
    CHECK(fixture.picker.PickForBackup(*primary, rule)->entry.version == "v1");
  }
}

// Guards against a service without usable endpoints. After a completed rollout,
// a gateway that has just started must use the only version that exists.
TEST_CASE("a service that has only the excluded version is served by it") {
  VersionFixture fixture;
  const RolloutRule rule{.kind = RolloutRule::Kind::kAllBut, .version = "v3"};
  CHECK(fixture.picker.PickForAttempt({.service = "s", .versions = rule})
            .endpoint != nullptr);
  EndpointDirectory only(&SteadyNow);
  EndpointEntry entry;
  entry.id = "n";
  entry.service = "s";
  entry.version = "v2";
  only.Update(entry);
  const EndpointPicker picker(&only, nullptr, {}, [] { return 0; });
  const RolloutRule excluded{.kind = RolloutRule::Kind::kAllBut,
                             .version = "v2"};
  CHECK(
      picker.PickForAttempt({.service = "s", .versions = excluded}).endpoint !=
      nullptr);
}

}  // namespace
}  // namespace bramleybank
