// Suspects of a fleet whose store is restored from an older copy.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "gateway_fakes.h"
#include "metric_registry.h"
#include "prompt_quarantine.h"
#include "prompt_suspects.h"
#include "suspect_fleet.h"
#include "suspect_tracker.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kFleetSizes[] = {7, 79, 195, 304};
// A quarter of the 400 writes a second that the store takes at the small sites.
constexpr int kMaxWritesPerSecond = 100;
// Spread, one conflict and the delays of rows and writes.
constexpr Duration kRewriteTime = kSuspectRestoreSpread + seconds(2);

PromptSuspectList ListOf(const SuspectFleet& fleet) {
  return PromptSuspectList::Decode(fleet.store.row.value);
}

/// Lets a fleet learn a row.
void SetRow(SuspectFleet* fleet, const PromptSuspectList& list) {
  fleet->store.row = {.value = list.Encode(),
                      .version = {fleet->store.row.version.number + 1,
                                  fleet->store.row.version.era},
                      .exists = true};
  fleet->Run(seconds(1));
}

PromptSuspectList Quarantine(PromptPartHash part) {
  return TwoCrashes({part}, {part});
}

void CheckRewritten(SuspectFleet* fleet, int gateways, Duration time) {
  std::deque<std::pair<TimePoint, int>> writes;
  int most = 0;
  int fewest_blocking = gateways;
  fleet->Run(time, [&] {
    writes.emplace_back(fleet->now, fleet->store.writes);
    while (fleet->now - writes.front().first > seconds(1)) {
      writes.pop_front();
    }
    most = std::max(most, fleet->store.writes - writes.front().second);
    fewest_blocking =
        std::min(fewest_blocking, fleet->CountBlocking({kDeadly}));
  });
  CAPTURE(gateways);
  CAPTURE(fleet->store.writes);
  CHECK(fewest_blocking == gateways);
  CHECK(most <= kMaxWritesPerSecond);
  CHECK_FALSE(ListOf(*fleet).FindBlocking(Parts{kDeadly}).empty());
  const int before = fleet->store.writes;
  fleet->Run(seconds(20));
  CHECK(fleet->store.writes == before);
}

TEST_CASE("a quarantine outlasts a restore that loses its row") {
  for (const int gateways : kFleetSizes) {
    for (const uint32_t seed : {1U, 2U, 3U}) {
      SuspectFleet fleet(gateways, 12, seed);
      SetRow(&fleet, Quarantine(kDeadly));
      fleet.store.Restore({});
      CheckRewritten(&fleet, gateways, kRewriteTime);
    }
  }
}

TEST_CASE("a quarantine outlasts a restore that brings back an older row") {
  for (const int gateways : kFleetSizes) {
    SuspectFleet fleet(gateways, 12, 4);
    PromptSuspectList list = Quarantine(kOther);
    SetRow(&fleet, list);
    const FleetStore::Row copy = fleet.store.row;
    list.Merge(Quarantine(kDeadly));
    SetRow(&fleet, list);
    fleet.store.Restore(copy);
    CheckRewritten(&fleet, gateways, kRewriteTime);
    CHECK(ListOf(fleet) == list);
  }
}

TEST_CASE("a quarantine outlasts a restore that only followers remember") {
  constexpr int kGateways = 79;
  SuspectFleet fleet(kGateways, 12, 5);
  fleet.readers = 0;
  SetRow(&fleet, Quarantine(kDeadly));
  fleet.store.Restore({});
  CheckRewritten(
      &fleet, kGateways,
      kSuspectRestoreSpread * (1 + kSuspectFollowerSpreads) + seconds(2));
}

TEST_CASE("gateways that start after a restore learn the lost quarantine") {
  SuspectFleet fleet(79, 12, 6);
  SetRow(&fleet, Quarantine(kDeadly));
  fleet.store.Restore({});
  fleet.RestartLastGateways(78);
  fleet.Run(kRewriteTime);
  CHECK(fleet.CountBlocking({kDeadly}) == 79);
}

TEST_CASE("two restores in a row lose no quarantine") {
  SuspectFleet fleet(9, 12, 7);
  SetRow(&fleet, Quarantine(kDeadly));
  fleet.store.Restore({});
  fleet.Run(milliseconds(500));
  fleet.store.Restore({});
  CheckRewritten(&fleet, 9, kRewriteTime);
}

TEST_CASE("an era that goes back is followed like one that goes up") {
  SuspectFleet fleet(1, 12, 8);
  SuspectTracker& tracker = fleet.tracker(0);
  tracker.OnRow(
      {.key = "s", .value = Quarantine(kDeadly).Encode(), .version = {9, 3}},
      fleet.now);
  tracker.OnRow(
      {.key = "s", .value = Quarantine(kOther).Encode(), .version = {5, 2}},
      fleet.now);
  CHECK(fleet.IsBlocked(0, {kDeadly}));
  CHECK(fleet.IsBlocked(0, {kOther}));
  const auto write = tracker.NextWrite(fleet.now + kSuspectRestoreSpread);
  REQUIRE(write);
  CHECK(write->expected_version == StoreVersion(5, 2));
}

TEST_CASE("a trial that a restore took back is not granted again") {
  SuspectFleet fleet(9, 12, 9);
  fleet.bad_part = kDeadly;
  PromptSuspectList list = Quarantine(kDeadly);
  SetRow(&fleet, list);
  const FleetStore::Row copy = fleet.store.row;
  REQUIRE(list.ClaimTrial(kDeadly, 0));
  SetRow(&fleet, list);
  fleet.store.Restore(copy);
  fleet.Run(kQuarantineTime + seconds(30), [&] { fleet.Send({kDeadly}); });
  CHECK(fleet.trials == 0);
  CHECK(ListOf(fleet).Find(kDeadly)->trials == 1);
}

TEST_CASE("a trial is not granted twice across a restore") {
  SuspectFleet fleet(9, 12, 10);
  fleet.bad_part = kDeadly;
  SetRow(&fleet, Quarantine(kDeadly));
  const FleetStore::Row copy = fleet.store.row;
  fleet.Run(kQuarantineTime + seconds(2), [&] {
    fleet.Send({kDeadly});
    // As soon as the claim is in the row, before all gateways have seen it.
    if (fleet.trials == 1 && fleet.store.row.version.era == 0) {
      fleet.store.Restore(copy);
    }
  });
  fleet.Run(kQuarantineTime, [&] { fleet.Send({kDeadly}); });
  CHECK(fleet.store.row.version.era == 1);
  CHECK(fleet.trials == 1);
}

TEST_CASE("a quarantine that an answer ended does not return by a restore") {
  for (const int gateways : kFleetSizes) {
    SuspectFleet fleet(gateways, 12, 11);
    PromptSuspectList list = Quarantine(kDeadly);
    SetRow(&fleet, list);
    const FleetStore::Row copy = fleet.store.row;
    list.Clear(kDeadly, 2);
    SetRow(&fleet, list);
    fleet.store.Restore(copy);
    int most_blocking = 0;
    fleet.Run(kRewriteTime, [&] {
      most_blocking = std::max(most_blocking, fleet.CountBlocking({kDeadly}));
    });
    CHECK(most_blocking == 0);
    CHECK(ListOf(fleet).Find(kDeadly)->IsCleared());
  }
}

TEST_CASE("a mark that a part is known does not get lost by a restore") {
  SuspectFleet fleet(9, 12, 12);
  PromptSuspectList list = Quarantine(kDeadly);
  SetRow(&fleet, list);
  const FleetStore::Row copy = fleet.store.row;
  list.MarkKnown(kDeadly);
  SetRow(&fleet, list);
  REQUIRE(fleet.CountBlocking({kDeadly}) == 0);
  fleet.store.Restore(copy);
  fleet.Run(kRewriteTime);
  CHECK(fleet.CountBlocking({kDeadly}) == 0);
  CHECK(ListOf(fleet).Find(kDeadly)->is_known);
}

TEST_CASE(
    "a quarantine that an operator deleted does not return by a restore") {
  SuspectFleet fleet(9, 12, 13);
  SetRow(&fleet, Quarantine(kDeadly));
  const FleetStore::Row copy = fleet.store.row;
  fleet.store.row = {.value = {}, .version = 9, .exists = false};
  fleet.Run(seconds(1));
  fleet.store.Restore(copy);
  fleet.Run(kRewriteTime);
  CHECK(fleet.CountBlocking({kDeadly}) == 0);
  CHECK(ListOf(fleet).FindBlocking(Parts{kDeadly}).empty());
}

TEST_CASE("a quarantine that is deleted after a restore is not written again") {
  SuspectFleet fleet(1, 12, 14);
  SuspectTracker& tracker = fleet.tracker(0);
  PromptSuspectList list = Quarantine(kDeadly);
  list.Merge(Quarantine(kOther));
  tracker.OnRow({.key = "s", .value = list.Encode(), .version = 9}, fleet.now);
  tracker.OnRow(
      {.key = "s", .value = Quarantine(kOther).Encode(), .version = {5, 1}},
      fleet.now);
  tracker.OnRow({.key = "s", .value = {}, .version = {6, 1}, .deleted = true},
                fleet.now);
  CHECK_FALSE(fleet.IsBlocked(0, {kDeadly}));
  CHECK_FALSE(tracker.NextWrite(fleet.now + kSuspectRestoreSpread));
}

TEST_CASE("a clear in the new era is not undone by an older memory") {
  SuspectFleet fleet(2, 12, 15);
  PromptSuspectList list = Quarantine(kDeadly);
  SetRow(&fleet, list);
  fleet.store.Restore(fleet.store.row);
  list.Clear(kDeadly, 2);
  SetRow(&fleet, list);
  fleet.Run(kRewriteTime);
  CHECK(fleet.CountBlocking({kDeadly}) == 0);
  CHECK(ListOf(fleet) == list);
}

/// Makes one gateway charge a crash, and returns its write.
std::optional<SuspectTracker::Write> WriteCrash(SuspectFleet* fleet) {
  SuspectTracker& tracker = fleet->tracker(0);
  tracker.OnCrash(Parts{kDeadly}, "e1", /*has_head=*/true, fleet->now);
  fleet->now += seconds(1);
  tracker.Advance(fleet->now);
  return tracker.NextWrite(fleet->now);
}

TEST_CASE("a restore that loses an accepted write ends the wait for its row") {
  SuspectFleet fleet(1, 12, 16);
  SuspectTracker& tracker = fleet.tracker(0);
  for (const bool had_read : {false, true}) {
    if (had_read) {
      tracker.OnAllRows("s", {8, 1}, fleet.now);
    }
    const auto write = WriteCrash(&fleet);
    REQUIRE(write);
    tracker.OnWritten(StoreResult::kOk, fleet.now);
    CHECK_FALSE(tracker.NextWrite(fleet.now));
    tracker.OnAllRows("s", {7, had_read ? 2U : 1U}, fleet.now);
    const auto again = tracker.NextWrite(fleet.now);
    REQUIRE(again);
    CHECK(again->value == write->value);
    CHECK(again->expected_version == StoreVersion());
    tracker.OnWritten(StoreResult::kUnavailable, fleet.now);
    fleet.now += seconds(2);
  }
}

TEST_CASE("the answer to a write of an earlier era is not trusted") {
  for (const StoreResult result :
       {StoreResult::kOk, StoreResult::kConflict, StoreResult::kUnavailable}) {
    SuspectFleet fleet(1, 12, 17);
    SuspectTracker& tracker = fleet.tracker(0);
    tracker.OnRow({.key = "s", .value = "", .version = 9}, fleet.now);
    const auto write = WriteCrash(&fleet);
    REQUIRE(write);
    tracker.OnRow({.key = "s", .value = "", .version = {4, 1}}, fleet.now);
    tracker.OnWritten(result, fleet.now);
    CHECK(tracker.view().Find(kDeadly) != nullptr);
    const auto again = tracker.NextWrite(fleet.now);
    REQUIRE(again);
    CHECK(again->value == write->value);
    CHECK(again->expected_version == StoreVersion(4, 1));
  }
}

TEST_CASE("a row that a restored store lacks is written again") {
  EventLoop loop;
  FakeStore store;
  MetricRegistry metrics;
  PromptQuarantine quarantine(&loop, &store, &metrics,
                              {.wait = seconds(1), .pause = Duration{0}},
                              {.random = [] { return 0; },
                               .is_reader = [] { return true; },
                               .on_quarantined = [] {}});
  quarantine.Start();
  const std::string value = Quarantine(kDeadly).Encode();
  store.Answer(kSuspectTable,
               {.result = StoreResult::kOk,
                .rows = {{.key = "s", .value = value, .version = 4}},
                .version = 5});
  store.Answer(kSuspectTable, {.result = StoreResult::kHistoryGone});
  store.Answer(kSuspectTable,
               {.result = StoreResult::kOk, .rows = {}, .version = {3, 1}});
  CHECK_FALSE(quarantine.FindBlocking("s", Parts{kDeadly}).empty());
  for (int i = 0; i < 100 && store.writes.empty(); ++i) {
    loop.RunOnce(milliseconds(5));
  }
  REQUIRE(store.writes.size() == 1);
  CHECK(store.writes[0].value == value);
  CHECK(store.writes[0].expected_version == StoreVersion());
}

TEST_CASE("evidence of both eras is merged part by part") {
  PromptSuspectList newer = Quarantine(kDeadly);
  const PromptSuspectList older = newer;
  newer.AddCrash(Crash("e3", {kDeadly}, 2));
  REQUIRE(newer.ClaimTrial(kDeadly, 0));
  SUBCASE("more crashes of one quarantine win, and so do more trials") {
    PromptSuspectList list = older;
    REQUIRE(list.ClaimTrial(kDeadly, 0));
    REQUIRE(list.ClaimTrial(kDeadly, 1));
    list.Merge(newer);
    CHECK(list.Find(kDeadly)->crashes == 3);
    CHECK(list.Find(kDeadly)->trials == 2);
  }
  SUBCASE("a merge is complete and can be repeated") {
    PromptSuspectList list = older;
    list.Merge(newer);
    CHECK(list == newer);
    list.Merge(older);
    CHECK(list == newer);
  }
  SUBCASE("a crash after the last answer outlasts an older clear") {
    PromptSuspectList list = older;
    list.Clear(kDeadly, 2);
    list.Merge(newer);
    CHECK(list.Find(kDeadly)->IsQuarantined());
    CHECK(list.Find(kDeadly)->is_known);
  }
  SUBCASE("trials of an ended quarantine do not count for the next one") {
    PromptSuspectList list = older;
    list.Clear(kDeadly, 2);
    list.AddCrash(Crash("e1", {kDeadly}, 2));
    list.AddCrash(Crash("e2", {kDeadly}, 3));
    list.AddCrash(Crash("e3", {kDeadly}, 4));
    list.Merge(newer);
    CHECK(list.Find(kDeadly)->trials == 0);
  }
  SUBCASE("a full list takes quarantined parts only") {
    PromptSuspectList list;
    for (PromptPartHash part = 0; part < kMaxPromptSuspects; ++part) {
      list.AddCrash(Crash("e", {1000 + part}, 0));
    }
    PromptSuspectList other = newer;
    other.AddCrash(Crash("e", {kOther}, 0));
    list.Merge(other);
    CHECK(list.suspects().size() == kMaxPromptSuspects);
    CHECK(list.Find(kDeadly) != nullptr);
    CHECK(list.Find(kOther) == nullptr);
    const PromptSuspectList merged = list;
    list.Merge(other);
    CHECK(list == merged);
  }
}

}  // namespace
}  // namespace bramleybank
