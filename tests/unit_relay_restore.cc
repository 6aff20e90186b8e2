// Gateways that follow a store through relays while the store is restored from
// an older copy.
#include <doctest/doctest.h>

#include "relay_fleet.h"
#include "relay_message.h"

namespace bramleybank {
namespace {

constexpr uint64_t kCopyNumber = 11;

/// Two domains with relays, whose gateways have rows that the copy lacks.
struct RestoredRelayFleet : RelayFleet {
  RestoredRelayFleet() : RelayFleet(2, 12) {
    REQUIRE(AllReceive("old", kCopyNumber));
    copy = store.rows();
    store.Put("lost", "1");
    REQUIRE(AllReceive("new", store.Put("new", "1")));
  }

  MemoryStore::Rows copy;
};

TEST_CASE("a row written after a restore reaches all followers") {
  RestoredRelayFleet fleet;
  for (int restores = 1; restores <= 2; ++restores) {
    fleet.store.Restore(fleet.copy, kCopyNumber);
    const StoreVersion version = fleet.store.Put("new", "2");
    CHECK(version.era == static_cast<uint64_t>(restores));
    CHECK(fleet.AllReceive("new", version));
    CHECK(fleet.AllReceive("old", {kCopyNumber, version.era}));
  }
  CHECK_FALSE(fleet.HasRegressed());
}

TEST_CASE("a relay that slept through a restore does not bring old rows back") {
  RestoredRelayFleet fleet;
  RelayNode* relay = fleet.Readers("d0").front();
  relay->is_frozen = true;
  fleet.store.Restore(fleet.copy, kCopyNumber);
  const StoreVersion version = fleet.store.Put("new", "2");
  CHECK(fleet.AllReceive("new", version, {relay}));
  relay->is_frozen = false;
  CHECK(fleet.AllReceive("new", version));
  CHECK(fleet.AllReceive("new", fleet.store.Put("new", "3")));
  CHECK_FALSE(fleet.HasRegressed());
}

TEST_CASE("a relay that dies after a restore leaves no follower behind") {
  RestoredRelayFleet fleet;
  fleet.store.Restore(fleet.copy, kCopyNumber);
  RelayNode* relay = fleet.Readers("d0").front();
  relay->is_dead = true;
  const StoreVersion version = fleet.store.Put("new", "2");
  CHECK(fleet.AllReceive("new", version, {relay}));
}

TEST_CASE("followers read a restored store at their relays") {
  RestoredRelayFleet fleet;
  fleet.Run(milliseconds(300));
  std::vector<int> before;
  for (const auto& node : fleet.nodes) {
    before.push_back(node->link.calls);
  }
  fleet.store.Restore(fleet.copy, kCopyNumber);
  CHECK(fleet.AllReceive("new", fleet.store.Put("new", "2")));
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (!fleet.nodes[i]->selector.IsReader()) {
      CHECK(fleet.nodes[i]->link.calls == before[i]);
    }
  }
}

TEST_CASE("a relay answers followers of releases that send no era") {
  RestoredRelayFleet fleet;
  fleet.store.Restore(fleet.copy, kCopyNumber);
  const StoreVersion version = fleet.store.Put("new", "2");
  REQUIRE(fleet.AllReceive("new", version));
  REQUIRE(fleet.AllReceive("new", fleet.store.Put("new", "3")));
  RelayNode* relay = fleet.Readers("d0").front();
  const auto serve = [&](RelayQuery query) {
    query.sender = fleet.nodes.front()->self.name;
    query.table = "t";
    RelayStatus status = RelayStatus::kUnknownSender;
    relay->store.Serve(EncodeRelayMessage(query),
                       [&](int, const std::string& body) {
                         status = DecodeRelayMessage<RelayAnswer>(body)->status;
                       });
    return status;
  };
  CHECK(serve({.wait_ms = 5, .version = version.number}) == RelayStatus::kOk);
  CHECK(serve({.wait_ms = 5, .version = version.number, .era = 1}) ==
        RelayStatus::kOk);
  CHECK(serve({.wait_ms = 5, .version = version.number, .era = 0}) ==
        RelayStatus::kHistoryGone);
  // A relay that is behind is left out for a while.
  CHECK(serve({.wait_ms = 5, .version = version.number, .era = 2}) ==
        RelayStatus::kNotReader);
}

}  // namespace
}  // namespace bramleybank
