// Which gateways count as alive after the store was restored from an older
// copy.
#include "gateway_peers.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "gateway_fakes.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Numbers = std::vector<std::pair<std::string, uint64_t>>;

struct Fixture {
  Fixture()
      : peers(&loop, &store, {.name = "me", .failure_domain = "d"}, [this] {
          return random;
        }) {}

  /// Reads the rows of an era, with the number of each.
  void Read(uint64_t era, const Numbers& numbers, bool is_heartbeat = true) {
    StoreRows rows{.result = StoreResult::kOk, .version = {1000, era}};
    for (const auto& [key, number] : numbers) {
      rows.rows.push_back({.key = key, .value = "d", .version = {number, era}});
    }
    peers.OnRows(rows, is_heartbeat);
  }

  /// @returns the names of the other gateways that count as alive.
  std::string Alive() const {
    std::string names;
    for (const GatewayMember& member : peers.members()) {
      names += member.name == "me" ? "" : member.name;
    }
    return names;
  }

  void Run(Duration time) {
    for (const TimePoint end = loop.Now() + time; loop.Now() < end;) {
      loop.RunOnce(milliseconds(1));
    }
  }

  EventLoop loop;
  FakeStore store;
  uint64_t random = 0;
  GatewayPeers peers;
};

/// Reads rows until gateway b, which has ended, counts as dead.
void EndB(Fixture* fixture) {
  for (uint64_t n = 1; n <= 4; ++n) {
    fixture->Read(0, {{"a", 100 + n}, {"b", 50}});
  }
  REQUIRE(fixture->Alive() == "a");
}

TEST_CASE("a dead gateway does not come alive by a restore of the store") {
  Fixture fixture;
  EndB(&fixture);
  fixture.Read(1, {{"a", 90}, {"b", 50}});
  CHECK(fixture.Alive() == "a");
  fixture.Read(1, {{"a", 95}, {"b", 50}});
  CHECK(fixture.Alive() == "a");
  SUBCASE("again") {
    fixture.Read(2, {{"a", 91}, {"b", 50}});
    CHECK(fixture.Alive() == "a");
  }
  SUBCASE("and back to the era before") {
    fixture.Read(0, {{"a", 104}, {"b", 50}});
    fixture.Read(1, {{"a", 95}, {"b", 50}});
    CHECK(fixture.Alive() == "a");
  }
}

TEST_CASE("a dead gateway whose last heartbeats are lost stays dead") {
  Fixture fixture;
  EndB(&fixture);
  for (uint64_t n = 0; n < 4; ++n) {
    fixture.Read(1, {{"a", 90 + n}, {"b", 40}});
    CHECK(fixture.Alive() == "a");
  }
  fixture.Read(0, {{"a", 104}, {"b", 50}});
  CHECK(fixture.Alive() == "a");
}

TEST_CASE("a gateway that ended just before a restore is given up in time") {
  Fixture fixture;
  fixture.Read(0, {{"a", 101}, {"b", 50}});
  for (int i = 0; i < 4; ++i) {
    fixture.Read(1, {{"a", 90}, {"b", 40}});
  }
  CHECK(fixture.Alive().empty());
}

TEST_CASE("a live gateway whose row has gone back is not given up") {
  Fixture fixture;
  // Its heartbeat failed during the outage, so that it is near the limit.
  for (int i = 0; i < 3; ++i) {
    fixture.Read(0, {{"a", 100}});
  }
  REQUIRE(fixture.Alive() == "a");
  SUBCASE("its row went back") {
    fixture.Read(1, {{"a", 90}});
  }
  SUBCASE("its row is unchanged") {
    fixture.Read(1, {{"a", 100}});
  }
  SUBCASE("its row is lost") {
    fixture.Read(1, {});
  }
  CHECK(fixture.Alive() == "a");
  fixture.Read(1, {{"a", 95}});
  fixture.Read(1, {{"a", 95}});
  fixture.Read(1, {{"a", 95}});
  CHECK(fixture.Alive() == "a");
  fixture.Read(1, {{"a", 96}});
  CHECK(fixture.Alive() == "a");
}

TEST_CASE("a gateway whose row is lost for good is given up") {
  Fixture fixture;
  fixture.Read(0, {{"a", 100}, {"b", 50}});
  fixture.Read(1, {{"a", 90}});
  fixture.Read(1, {{"a", 91}}, /*is_heartbeat=*/false);
  fixture.Read(1, {{"a", 92}});
  fixture.Read(1, {{"a", 93}});
  CHECK(fixture.Alive() == "ab");
  fixture.Read(1, {{"a", 94}});
  CHECK(fixture.Alive() == "a");
}

TEST_CASE("a row that is removed without a restore ends its gateway at once") {
  Fixture fixture;
  fixture.Read(1, {{"a", 100}, {"b", 50}});
  fixture.Read(1, {{"a", 101}});
  CHECK(fixture.Alive() == "a");
}

TEST_CASE("a gateway whose row is lost writes it long before its heartbeat") {
  Fixture fixture;
  SUBCASE("a watch has seen the restore") {
    fixture.peers.OnStoreRestored();
  }
  SUBCASE("its own read shows it") {
    fixture.Read(0, {{"me", 5}, {"a", 4}});
    fixture.Read(1, {{"a", 4}});
  }
  fixture.Run(milliseconds(20));
  REQUIRE(fixture.store.writes.size() == 1);
  CHECK(fixture.store.writes[0].key == "me");
  fixture.peers.OnStoreRestored();
  fixture.peers.OnStoreRestored();
  fixture.Run(milliseconds(20));
  CHECK(fixture.store.writes.size() == 2);
}

TEST_CASE("rows that are written again after a restore are spread in time") {
  Fixture fixture;
  fixture.random = 3000000;
  fixture.peers.OnStoreRestored();
  fixture.Run(milliseconds(50));
  CHECK(fixture.store.writes.empty());
  constexpr int kGateways = 304;
  // A quarter of the 400 writes a second that the store takes at the small
  // sites.
  CHECK(kGateways * seconds(1) <= 100 * kPeerRestoreSpread);
}

}  // namespace
}  // namespace bramleybank
