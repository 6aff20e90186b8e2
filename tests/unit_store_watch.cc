// Watching a table of the store, and counting the other gateways by their rows.
#include "store_watch.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "gateway_fakes.h"
#include "gateway_peers.h"

namespace bramleybank {
namespace {

StoreRow MakeRow(const std::string& key, const StoreVersion& version) {
  return {.key = key, .value = "v", .version = version};
}

struct Fixture {
  Fixture()
      : watch(&loop,
              &store,
              "t",
              {.wait = std::chrono::seconds(1), .pause = Duration{0}},
              {.on_row =
                   [this](const StoreRow& row) {
                     seen.push_back((row.deleted ? "-" : "+") + row.key);
                   },
               .on_restored = [this] { seen.emplace_back("restored"); },
               .on_complete = [this] { ++completed; },
               .on_reachable =
                   [this](bool reachable, const std::string&) {
                     seen.emplace_back(reachable ? "up" : "down");
                   },
               .random = [] { return 0; }}) {
    watch.Start();
  }

  /// Runs the event loop until the watch has a call in flight.
  const FakeStore::Call& NextCall() {
    while (store.Open("t") == nullptr) {
      loop.RunOnce(std::chrono::milliseconds(5));
    }
    return *store.Open("t");
  }

  EventLoop loop;
  FakeStore store;
  std::vector<std::string> seen;
  int completed = 0;
  StoreWatch watch;
};

TEST_CASE("a table is read by pages, then watched from the first page on") {
  Fixture fixture;
  fixture.store.Answer("t", {.result = StoreResult::kOk,
                             .rows = {MakeRow("a", 1)},
                             .version = 5,
                             .has_more = true});
  CHECK(fixture.NextCall().after == "a");
  fixture.store.Answer(
      "t",
      {.result = StoreResult::kOk, .rows = {MakeRow("b", 7)}, .version = 7});
  CHECK(fixture.completed == 1);
  CHECK(fixture.NextCall().is_wait);
  CHECK(fixture.NextCall().version == 5);
}

// Guards against rows that stay known forever because the watch missed their
// deletion.
TEST_CASE("rows missing after a loss of history are reported as deleted") {
  Fixture fixture;
  fixture.store.Answer("t", {.result = StoreResult::kOk,
                             .rows = {MakeRow("a", 1), MakeRow("b", 2)},
                             .version = 5});
  fixture.store.Answer("t", {.result = StoreResult::kHistoryGone});
  CHECK_FALSE(fixture.NextCall().is_wait);
  fixture.store.Answer(
      "t",
      {.result = StoreResult::kOk, .rows = {MakeRow("b", 2)}, .version = 9});
  CHECK(fixture.seen == std::vector<std::string>{"+a", "+b", "+b", "-a"});
  CHECK(fixture.NextCall().version == 9);
}

/// The answer of a store in era `era` whose only rows are `rows`.
StoreRows MakeRows(uint64_t number, uint64_t era, std::vector<StoreRow> rows) {
  return {.result = StoreResult::kOk,
          .rows = std::move(rows),
          .version = {number, era}};
}

TEST_CASE("rows of a restored store replace those with higher numbers") {
  for (const bool is_history_gone : {true, false}) {
    CAPTURE(is_history_gone);
    Fixture fixture;
    fixture.store.Answer("t",
                         MakeRows(9, 0, {MakeRow("a", 8), MakeRow("lost", 9)}));
    if (is_history_gone) {
      fixture.store.Answer("t", {.result = StoreResult::kHistoryGone});
    } else {
      // The store has counted past the old version, so it has changes to tell.
      fixture.store.Answer("t", MakeRows(10, 1, {MakeRow("b", {10, 1})}));
    }
    REQUIRE_FALSE(fixture.NextCall().is_wait);
    fixture.store.Answer(
        "t", MakeRows(10, 1, {MakeRow("a", {3, 1}), MakeRow("b", {10, 1})}));
    CHECK(fixture.seen == std::vector<std::string>{"+a", "+lost", "restored",
                                                   "+a", "+b", "-lost"});
    CHECK(fixture.NextCall().version == StoreVersion(10, 1));
    fixture.store.Answer("t", MakeRows(11, 1, {MakeRow("a", {11, 1})}));
    CHECK(fixture.seen.back() == "+a");
  }
}

TEST_CASE("a read that spans a restore starts again") {
  Fixture fixture;
  StoreRows page = MakeRows(9, 0, {MakeRow("a", 8)});
  page.has_more = true;
  fixture.store.Answer("t", page);
  fixture.store.Answer("t", MakeRows(4, 1, {MakeRow("b", {4, 1})}));
  CHECK(fixture.NextCall().after.empty());
  CHECK(fixture.completed == 0);
  fixture.store.Answer("t", MakeRows(4, 1, {MakeRow("b", {4, 1})}));
  CHECK(fixture.seen == std::vector<std::string>{"+a", "restored", "+b", "-a"});
}

// Guards against a store that states no era.
TEST_CASE("a read of lower versions than before means a restore") {
  Fixture fixture;
  fixture.store.Answer("t", MakeRows(9, 0, {MakeRow("a", 9)}));
  fixture.store.Answer("t", {.result = StoreResult::kHistoryGone});
  fixture.store.Answer("t", MakeRows(7, 0, {MakeRow("a", 7)}));
  CHECK(fixture.seen == std::vector<std::string>{"+a", "restored", "+a"});
  CHECK(fixture.NextCall().version == 7);
}

TEST_CASE("a store whose era goes back is read again") {
  Fixture fixture;
  fixture.store.Answer("t", MakeRows(9, 2, {MakeRow("a", {9, 2})}));
  fixture.store.Answer("t", MakeRows(9, 1, {}));
  fixture.store.Answer("t", MakeRows(7, 1, {MakeRow("a", {7, 1})}));
  CHECK(fixture.seen == std::vector<std::string>{"+a", "restored", "+a"});
  CHECK(fixture.NextCall().version == StoreVersion(7, 1));
}

// Guards against a watch that stops after the first failed call.
TEST_CASE("a failed call is retried, and the return of the store is reported") {
  Fixture fixture;
  fixture.store.Answer("t", {.result = StoreResult::kUnavailable});
  fixture.NextCall();
  fixture.store.Answer("t", {.result = StoreResult::kUnavailable});
  fixture.NextCall();
  fixture.store.Answer("t", {.result = StoreResult::kOk, .version = 1});
  CHECK(fixture.seen == std::vector<std::string>{"down", "up"});
}

// Guards against reading a configuration too late after the store has returned.
// A fault search found this: lianhua-rounds-grown, cuts-and-reuse, seed
// 197288286595.
TEST_CASE("a call to a store that hangs ends within the allowed silence") {
  for (const Duration silence :
       {Duration(std::chrono::seconds(4)), Duration(std::chrono::seconds(5))}) {
    const Duration wait = MaxStoreWait(silence);
    CHECK(wait > std::chrono::seconds(1));
    CHECK(wait + kStoreWaitTimeout + kMaxStoreRetryDelay < silence);
  }
}

// Guards against sharing the retry budget with gateways that no longer exist.
TEST_CASE("gateways are counted while their rows change") {
  EventLoop loop;
  FakeStore store;
  GatewayPeers peers(&loop, &store, {.name = "me", .failure_domain = "d"},
                     [] { return 0; });
  CHECK(peers.count() == 1);
  // Guards against a configuration reload before the first list of gateways,
  // which would give this gateway the whole budget.
  CHECK(peers.budget_divisor() == kAssumedPeerCount);
  for (uint64_t version = 1; version <= 3; ++version) {
    peers.OnRows({.result = StoreResult::kOk,
                  .rows = {MakeRow("me", version), MakeRow("other", version),
                           MakeRow("gone", 1)},
                  .version = version});
    CHECK(peers.count() == 3);
  }
  peers.OnRows({.result = StoreResult::kUnavailable});
  CHECK(peers.count() == 3);
  peers.OnRows(
      {.result = StoreResult::kOk,
       .rows = {MakeRow("me", 4), MakeRow("other", 4), MakeRow("gone", 1)},
       .version = 4});
  CHECK(peers.count() == 2);
  CHECK(peers.budget_divisor() == 2);
}

}  // namespace
}  // namespace bramleybank
