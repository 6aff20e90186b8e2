// Orders that follow each other: what belongs to the former order must not act
// on the next one.
#include <doctest/doctest.h>

#include <string>

#include "rollout_fleet.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The status that operators read.
RolloutStatus StatusOf(const RolloutFleet& fleet) {
  const auto value = fleet.store.Value("status", RolloutFleet::kOrderKey);
  return platform::DecodeRolloutStatus(value.value_or(""))
      .value_or(RolloutStatus{});
}

/// The next order, of a bad version.
void OrderBadVersion(RolloutFleet* fleet, const std::string& version) {
  fleet->order.version = version;
  fleet->new_rate = 0.5;
  fleet->new_requests = 0;
  fleet->requests = 0;
  fleet->RepeatOrder();
}

void CheckRolledBack(const RolloutFleet& fleet) {
  CHECK(fleet.AllIn(RolloutPhase::kRolledBack));
  CHECK(fleet.new_requests > 0);
  CHECK(fleet.new_requests <= fleet.requests / 10);
  CHECK(StatusOf(fleet) ==
        RolloutStatus{fleet.order.version, RolloutPhase::kRolledBack});
}

// Guards against a bad version that gets all requests without being probed.
TEST_CASE("a late status of the former order is not written") {
  // The operator may order the same version again.
  for (const std::string next : {"v3", "v2"}) {
    CAPTURE(next);
    RolloutFleet fleet;
    fleet.store.should_hold = [](const StoreWrite& write) {
      return write.table == "status" &&
             platform::DecodeRolloutStatus(write.value)->phase ==
                 RolloutPhase::kCompleted;
    };
    fleet.Run(milliseconds(3100));
    REQUIRE(fleet.store.held.size() > 0);
    fleet.store.should_hold = nullptr;
    OrderBadVersion(&fleet, next);
    CHECK(fleet.store.Apply(fleet.store.held[0]) == StoreResult::kConflict);
    fleet.Run(seconds(4));
    CheckRolledBack(fleet);
  }
}

// Guards against a status of another version that a gateway of an earlier
// release, whose writes have no condition on the order, wrote late.
TEST_CASE("a status of another version does not end a rollout") {
  RolloutFleet fleet;
  fleet.Run(milliseconds(3900));
  OrderBadVersion(&fleet, "v3");
  REQUIRE(fleet.store.Apply({.table = "status",
                             .key = RolloutFleet::kOrderKey,
                             .value = fleet.rows.encode_rollout_status(
                                 {"v2", RolloutPhase::kCompleted}),
                             .expected_version = std::nullopt}) ==
          StoreResult::kOk);
  fleet.Run(seconds(4));
  CheckRolledBack(fleet);
}

}  // namespace
}  // namespace bramleybank
