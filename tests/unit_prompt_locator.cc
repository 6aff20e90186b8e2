// Locations of prefilled prompts: the entries of one gateway, and the table
// through which gateways share them.
#include "prompt_locator.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "gateway_fakes.h"
#include "prompt_locations.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTurn = milliseconds(5);

const TimePoint kStart{seconds(100)};

// Guards against sending a stream back to the engine that it was moved from.
TEST_CASE("the engine that last prefilled a prompt is found") {
  PromptLocations locations;
  const PromptHash prompt = HashPrompt("a:200,b:5000");
  CHECK(locations.Find(prompt).empty());
  locations.Add(prompt, "e1", kStart);
  locations.Add(prompt, "e2", kStart + seconds(1));
  CHECK(locations.Find(prompt) == "e2");
  CHECK(locations.Find(HashPrompt("a:200,b:5001")).empty());
}

// Guards against rows that grow without bound, with every stream.
TEST_CASE("old entries and entries over the limit are evicted") {
  PromptLocations locations;
  locations.Add(1, "e1", kStart);
  locations.Add(2, "e2", kStart + seconds(1));
  locations.Add(1, "e3", kStart + seconds(2));
  locations.EvictOld(kStart + seconds(1) + kPromptLocationLifetime +
                     milliseconds(1));
  CHECK(locations.Find(1) == "e3");
  CHECK(locations.Find(2).empty());
  for (size_t i = 0; i < 2 * kMaxPromptLocations; ++i) {
    locations.Add(1000 + i, "e1", kStart + seconds(3));
  }
  CHECK(locations.size() <= kMaxPromptLocations);
}

TEST_CASE("an encoded row can be merged into another table") {
  PromptLocations locations;
  locations.Add(HashPrompt("a:1"), "e1", kStart);
  locations.Add(HashPrompt("b:1"), "e2", kStart);
  PromptLocations other;
  other.Add(HashPrompt("b:1"), "e3", kStart);
  other.Merge(locations.Encode(), kStart);
  CHECK(other.Find(HashPrompt("a:1")) == "e1");
  CHECK(other.Find(HashPrompt("b:1")) == "e3");
}

// Guards against a crash of the process on a malformed row.
TEST_CASE("malformed lines are skipped") {
  for (const std::string row :
       {"", "\n", " ", "zz e1", "1", "1 ", "123456789012345678901 e1", "-1 e1",
        "\n\n1\n \n"}) {
    PromptLocations locations;
    locations.Merge(row, kStart);
    CHECK(locations.size() == 0);
  }
  PromptLocations locations;
  locations.Merge("bad\n1f e1\n20 e2", kStart);
  CHECK(locations.Find(0x1f) == "e1");
  CHECK(locations.Find(0x20) == "e2");
}

/// Fixture with a locator of gateway g1 that may write without delay.
struct Fixture {
  void Find(const std::string& prompt_parts) {
    locator.Find(prompt_parts,
                 [this](const std::string& id) { found.push_back(id); });
  }
  void Answer(const std::vector<StoreRow>& rows, uint64_t era = 0) {
    store.Answer(
        kPromptTable,
        {.result = StoreResult::kOk, .rows = rows, .version = {9, era}});
  }
  void RunFor(Duration time) {
    const TimePoint end = loop.Now() + time;
    while (loop.Now() < end) {
      loop.RunOnce(kTurn);
    }
  }

  EventLoop loop;
  FakeStore store;
  std::vector<std::string> found;
  bool is_reader = true;
  bool takes_rows = true;
  std::vector<std::string> handed_over;
  std::vector<PromptHash> asked;
  PromptLocator locator{
      &loop,
      &store,
      "g1",
      {.random = [] { return 0; },
       .interval = [] { return Duration{0}; },
       .is_reader = [this] { return is_reader; },
       .hand_over =
           [this](std::string row, std::function<void(bool)> callback) {
             handed_over.push_back(std::move(row));
             callback(takes_rows);
           },
       .query_reader =
           [this](PromptHash prompt,
                  std::function<void(const std::string&)> callback) {
             asked.push_back(prompt);
             callback("e9");
           }}};
};

std::string RowOf(const std::string& prompt_parts, const std::string& id) {
  PromptLocations locations;
  locations.Add(HashPrompt(prompt_parts), id, kStart);
  return locations.Encode();
}

// Guards against repeated prefills after a loss of all gateways. Also guards
// against a restarted gateway that overwrites its row before it has read it, so
// that its entries are lost for the other gateways.
TEST_CASE("the entries of an earlier process are found and kept") {
  Fixture fixture;
  fixture.locator.Start();
  fixture.locator.OnStreamStarted("c:1", "e3");
  fixture.RunFor(kTurn);
  CHECK(fixture.store.writes.empty());
  fixture.Find("a:1");
  CHECK(fixture.found.empty());
  fixture.Answer({{.key = "g1", .value = RowOf("a:1", "e1")},
                  {.key = "g2", .value = RowOf("b:1", "e2")}});
  CHECK(fixture.found == std::vector<std::string>{"e1"});
  fixture.Find("b:1");
  CHECK(fixture.found == std::vector<std::string>{"e1", "e2"});
  fixture.RunFor(2 * kTurn);
  REQUIRE(fixture.store.writes.size() == 1);
  CHECK(fixture.store.writes[0].key == "g1");
  PromptLocations written;
  written.Merge(fixture.store.writes[0].value, kStart);
  CHECK(written.Find(HashPrompt("a:1")) == "e1");
  CHECK(written.Find(HashPrompt("c:1")) == "e3");
  CHECK(written.size() == 2);
}

// Guards against one call to the store for each caller when many callers return
// at once.
TEST_CASE("lookups share one read") {
  Fixture fixture;
  fixture.locator.Start();
  fixture.Answer({});
  fixture.RunFor(kPromptTableFreshness + kTurn);
  for (int i = 0; i < 20; ++i) {
    fixture.Find("b:1");
  }
  CHECK(fixture.store.calls.size() == 1);
  fixture.Answer({{.key = "g2", .value = RowOf("b:1", "e2")}});
  CHECK(fixture.found == std::vector<std::string>(20, "e2"));
  fixture.Find("d:1");
  CHECK(fixture.found.back().empty());
  CHECK(fixture.store.calls.empty());
}

// Guards against callers that wait without limit when the store does not
// answer.
TEST_CASE("a lookup times out if the store does not answer") {
  Fixture fixture;
  fixture.locator.Start();
  fixture.Find("a:1");
  fixture.RunFor(kPromptLookupTimeout + 4 * kTurn);
  CHECK(fixture.found == std::vector<std::string>{""});
  fixture.store.Answer(kPromptTable, {.result = StoreResult::kUnavailable});
  CHECK(fixture.found.size() == 1);
}

// Guards against a number of store calls that grows with the gateways of a
// failure domain, and against losing prompt locations in a failed hand-over.
TEST_CASE("a gateway that does not read the store uses one that does") {
  Fixture fixture;
  fixture.is_reader = false;
  fixture.takes_rows = false;
  fixture.locator.OnStreamStarted("a:1", "e1");
  fixture.RunFor(kTurn);
  fixture.takes_rows = true;
  fixture.RunFor(4 * kTurn);
  REQUIRE(fixture.handed_over.size() >= 2);
  CHECK(fixture.handed_over.back() == RowOf("a:1", "e1"));
  const size_t taken = fixture.handed_over.size();
  fixture.RunFor(2 * kTurn);
  CHECK(fixture.handed_over.size() == taken);
  fixture.Find("a:1");
  fixture.Find("b:1");
  CHECK(fixture.found == std::vector<std::string>{"e1", "e9"});
  CHECK(fixture.asked == std::vector<PromptHash>{HashPrompt("b:1")});
  CHECK(fixture.store.calls.empty());
  CHECK(fixture.store.writes.empty());
}

TEST_CASE("a reader writes a row again that a restore has taken back") {
  Fixture fixture;
  fixture.locator.Start();
  fixture.Answer({});
  fixture.locator.OnStoreRestored();
  fixture.RunFor(2 * kTurn);
  CHECK(fixture.store.writes.empty());
  fixture.locator.OnStreamStarted("a:1", "e1");
  fixture.RunFor(2 * kTurn);
  REQUIRE(fixture.store.writes.size() == 1);
  fixture.locator.OnStoreRestored();
  fixture.locator.OnStoreRestored();
  fixture.RunFor(2 * kTurn);
  REQUIRE(fixture.store.writes.size() == 2);
  CHECK(fixture.store.writes[1].value == RowOf("a:1", "e1"));
  fixture.is_reader = false;
  fixture.locator.OnStoreRestored();
  fixture.RunFor(2 * kTurn);
  CHECK(fixture.store.writes.size() == 2);
  CHECK(fixture.handed_over.empty());
}

TEST_CASE("an own row that a restore has brought back renews no old entry") {
  Fixture fixture;
  fixture.locator.Start();
  fixture.Answer({});
  fixture.locator.OnStreamStarted("a:1", "e2");
  fixture.RunFor(kPromptTableFreshness + kTurn);
  fixture.Find("b:1");
  fixture.Answer(
      {{.key = "g1", .value = RowOf("a:1", "e1") + RowOf("old:1", "e3")}}, 1);
  fixture.Find("a:1");
  fixture.Find("old:1");
  CHECK(fixture.found == std::vector<std::string>{"", "e2", ""});
  fixture.RunFor(2 * kTurn);
  CHECK(fixture.store.writes.back().value == RowOf("a:1", "e2"));
}

TEST_CASE("entries of other gateways that a restore has lost are still found") {
  Fixture fixture;
  fixture.locator.Start();
  fixture.Answer({{.key = "g2", .value = RowOf("a:1", "e1")},
                  {.key = "g3", .value = RowOf("b:1", "e2")}});
  fixture.RunFor(kPromptTableFreshness + kTurn);
  fixture.Find("c:1");
  fixture.Answer({{.key = "g3", .value = RowOf("b:1", "e3")}}, 1);
  fixture.Find("a:1");
  fixture.Find("b:1");
  CHECK(fixture.found == std::vector<std::string>{"", "e1", "e3"});
}

// Guards against a relay that keeps a stale location after a stream has moved
// to another engine.
TEST_CASE("handed-over entries replace known ones") {
  Fixture fixture;
  fixture.locator.Start();
  fixture.Answer({});
  fixture.locator.OnHandedOver(RowOf("a:1", "e1"));
  fixture.locator.OnHandedOver(RowOf("a:1", "e2"));
  fixture.Find("a:1");
  CHECK(fixture.found == std::vector<std::string>{"e2"});
}

}  // namespace
}  // namespace bramleybank
