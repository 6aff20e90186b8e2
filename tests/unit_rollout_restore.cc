// Rollouts when the store is restored from an older copy: rows are missing or
// older, numbers are assigned again, and the operator repeats lost orders.
#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>
#include <string>
#include <vector>

#include "rollout_fleet.h"
#include "rollout_order_history.h"
#include "rollout_records.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = RolloutRule::Kind;

constexpr double kBadRate = 0.5;

bool IsOnNewVersion(const RolloutFleet& fleet) {
  return std::ranges::all_of(fleet.controllers, [](const auto& controller) {
    return controller->RuleForRetry("s").kind == Kind::kPreferred;
  });
}

RolloutDecision Decision(const RolloutFleet& fleet) {
  return DecodeDecision(fleet.store.Value(kRolloutTable, "s").value_or(""))
      .value_or(RolloutDecision{});
}

/// Whether a decision with an earlier phase was written since the restore.
bool HasWrittenEarlierThan(RolloutPhase phase, const RolloutFleet& fleet) {
  return std::ranges::any_of(
      fleet.store.history, [phase](const StoreWrite& write) {
        return write.key == "s" && DecodeDecision(write.value)->phase < phase;
      });
}

/// Phase in the operator's status.
std::optional<RolloutPhase> Status(const RolloutFleet& fleet) {
  const auto value = fleet.store.Value("status", RolloutFleet::kOrderKey);
  return value ? std::optional(platform::DecodeRolloutStatus(*value)->phase)
               : std::nullopt;
}

TEST_CASE("a completed rollout does not start again when it is repeated") {
  RolloutFleet fleet;
  fleet.store.TakeCopy();
  fleet.Run(milliseconds(3900));
  REQUIRE(fleet.AllIn(RolloutPhase::kCompleted));
  fleet.store.Restore();
  fleet.RepeatOrder();
  CHECK(IsOnNewVersion(fleet));
  fleet.Run(seconds(1));
  CHECK(IsOnNewVersion(fleet));
  CHECK(Status(fleet) == RolloutPhase::kCompleted);
  CHECK(fleet.store.Statuses() == std::vector{RolloutPhase::kCompleted});
  CHECK(Decision(fleet).phase == RolloutPhase::kCompleted);
  CHECK(Decision(fleet).published);
}

TEST_CASE("a version that was rolled back gets nothing when it is repeated") {
  RolloutFleet fleet;
  fleet.new_rate = kBadRate;
  fleet.store.TakeCopy();
  fleet.Run(seconds(4));
  REQUIRE(fleet.AllIn(RolloutPhase::kRolledBack));
  const int before = fleet.new_requests;
  fleet.store.Restore();
  fleet.RepeatOrder();
  fleet.Run(seconds(4));
  CHECK(fleet.new_requests == before);
  CHECK(fleet.store.Statuses() == std::vector{RolloutPhase::kRolledBack});
}

TEST_CASE("a rollout is repeated in each of two restores") {
  RolloutFleet fleet;
  fleet.new_rate = kBadRate;
  fleet.store.TakeCopy();
  fleet.Run(seconds(4));
  const int before = fleet.new_requests;
  for (int i = 0; i < 2; ++i) {
    fleet.store.Restore();
    fleet.RepeatOrder();
    fleet.Run(seconds(1));
    CHECK(fleet.new_requests == before);
    CHECK(Status(fleet) == RolloutPhase::kRolledBack);
  }
}

TEST_CASE("a stopped version stays stopped when the evidence is lost") {
  RolloutFleet fleet;
  fleet.new_rate = kBadRate;
  fleet.Run(milliseconds(20));
  fleet.store.TakeCopy();
  // The decision that rolls back does not reach the store.
  fleet.store.should_hold = [](const StoreWrite& write) {
    return write.key == "s" &&
           DecodeDecision(write.value)->phase == RolloutPhase::kRolledBack;
  };
  fleet.Run(milliseconds(1500));
  REQUIRE(fleet.store.held.size() > 0);
  REQUIRE(fleet.AllIn(RolloutPhase::kProbing));
  const int before = fleet.new_requests;
  fleet.Run(milliseconds(100));
  REQUIRE(fleet.new_requests == before);
  fleet.store.Restore();
  fleet.store.should_hold = nullptr;
  fleet.RepeatOrder();
  fleet.Run(milliseconds(200));
  CHECK(fleet.new_requests == before);
  CHECK(fleet.AllIn(RolloutPhase::kRolledBack));
  CHECK(Status(fleet) == RolloutPhase::kRolledBack);
}

TEST_CASE("a gateway that starts after a restore gets the lost evidence") {
  RolloutFleet fleet;
  fleet.new_rate = kBadRate;
  fleet.Run(milliseconds(20));
  fleet.store.TakeCopy();
  // No decision is written, so that the newcomer has the evidence only.
  fleet.store.should_hold = [](const StoreWrite& write) {
    return write.key == "s";
  };
  fleet.Run(milliseconds(1500));
  fleet.store.Restore();
  fleet.RepeatOrder();
  fleet.Start(1);
  fleet.Run(milliseconds(100));
  CHECK(fleet.controllers[1]->PhaseOf("s") == RolloutPhase::kProbing);
  const int before = fleet.new_requests;
  fleet.Run(milliseconds(1500));
  CHECK(fleet.new_requests == before);
}

TEST_CASE("a newcomer's first decision does not restart a rollout") {
  for (const double rate : {0.02, kBadRate}) {
    RolloutFleet fleet;
    fleet.new_rate = rate;
    fleet.store.TakeCopy();
    fleet.Run(milliseconds(3900));
    const RolloutPhase final_phase =
        rate == kBadRate ? RolloutPhase::kRolledBack : RolloutPhase::kCompleted;
    REQUIRE(fleet.AllIn(final_phase));
    fleet.store.Restore();
    // Only the newcomer knows that the order has been repeated.
    fleet.order.id = StoreVersion(fleet.store.AssignNumber(), 1);
    fleet.Start(1);
    fleet.Run(milliseconds(50));
    CHECK(Decision(fleet).phase == RolloutPhase::kProbing);
    fleet.ReportOrder(fleet.order.id.number);
    fleet.Run(milliseconds(200));
    CHECK(fleet.AllIn(final_phase));
    CHECK(Decision(fleet).phase == final_phase);
    CHECK(Status(fleet) == final_phase);
  }
}

TEST_CASE("a phase does not go back with its row") {
  RolloutFleet fleet(seconds(12));
  fleet.Run(seconds(5));
  fleet.store.TakeCopy();
  fleet.Run(milliseconds(1500));
  REQUIRE(fleet.AllIn(RolloutPhase::kShifting));
  fleet.store.Restore();
  fleet.ReportOrder(50);
  for (int i = 0; i < 20; ++i) {
    fleet.Run(milliseconds(10));
    CHECK(fleet.AllIn(RolloutPhase::kShifting));
  }
  CHECK(Decision(fleet).phase == RolloutPhase::kShifting);
  CHECK_FALSE(HasWrittenEarlierThan(RolloutPhase::kShifting, fleet));
  fleet.Run(seconds(5));
  CHECK(fleet.AllIn(RolloutPhase::kCompleted));
  CHECK(Status(fleet) == RolloutPhase::kCompleted);
}

TEST_CASE("the status and decision of a finished rollout are written again") {
  RolloutFleet fleet;
  fleet.Run(seconds(1));
  fleet.store.TakeCopy();
  fleet.Run(milliseconds(2900));
  REQUIRE(fleet.AllIn(RolloutPhase::kCompleted));
  fleet.store.Restore();
  REQUIRE(Status(fleet) == RolloutPhase::kProbing);
  fleet.ReportOrder(50);
  fleet.Run(milliseconds(200));
  CHECK_FALSE(HasWrittenEarlierThan(RolloutPhase::kCompleted, fleet));
  CHECK(Status(fleet) == RolloutPhase::kCompleted);
  CHECK(Decision(fleet).phase == RolloutPhase::kCompleted);
  CHECK(Decision(fleet).published);
  fleet.Start(1);
  fleet.Run(milliseconds(50));
  CHECK(fleet.AllIn(RolloutPhase::kCompleted));
}

TEST_CASE("the start time of a repeated rollout stays") {
  RolloutFleet fleet(seconds(20));
  fleet.store.TakeCopy();
  fleet.Run(seconds(5));
  const Duration started = Decision(fleet).started;
  fleet.store.Restore();
  fleet.RepeatOrder();
  fleet.Run(milliseconds(500));
  CHECK(Decision(fleet).started == started);
  CHECK(Status(fleet) == RolloutPhase::kProbing);
}

TEST_CASE("rows of a finished rollout are written few times after a restore") {
  RolloutFleet fleet;
  fleet.store.TakeCopy();
  fleet.Run(milliseconds(3900));
  fleet.store.Restore();
  fleet.RepeatOrder();
  fleet.Run(seconds(1));
  // Per gateway a report; in all, the decision twice and the status once.
  CHECK(fleet.store.history.size() <= 3 + 3);
}

TEST_CASE("evidence of followers is not lost with the row of their relay") {
  RolloutFleet fleet(seconds(4), /*relayed=*/true);
  fleet.new_rate = kBadRate;
  fleet.Run(milliseconds(20));
  fleet.store.TakeCopy();
  fleet.store.should_hold = [](const StoreWrite& write) {
    return write.key == "s";
  };
  fleet.Run(milliseconds(1500));
  fleet.has_requests = false;
  fleet.Run(milliseconds(100));
  fleet.store.Restore();
  fleet.RepeatOrder();
  fleet.Run(milliseconds(100));
  const auto report =
      DecodeReport(fleet.store.Value(kRolloutTable, "s/g0").value_or(""));
  REQUIRE(report.has_value());
  CHECK(report->order.id == fleet.order.id);
  CHECK(TotalOf(report->evidence).new_version.total() == fleet.new_requests);
  CHECK(std::ranges::none_of(fleet.store.history, [](const StoreWrite& write) {
    return write.key != "s/g0";
  }));
}

TEST_CASE("rows of a release that writes the order's number only are counted") {
  const RolloutOrderHistory history(
      {.service = "s", .version = "v2", .duration = seconds(8), .id = 9});
  const auto decision = DecodeDecision(
      R"({"order":9,"phase":"shifting","driver":"g","started_us":1,)"
      R"("published":false})");
  REQUIRE(decision.has_value());
  CHECK(history.Owns(decision->order));
  const auto report = DecodeReport(R"({"order":8,"routes":{}})");
  REQUIRE(report.has_value());
  CHECK_FALSE(history.Owns(report->order));
}

TEST_CASE("a rollout goes on while its order is missing after a restore") {
  RolloutFleet fleet;
  fleet.new_rate = kBadRate;
  fleet.store.TakeCopy();
  fleet.Run(seconds(4));
  const int before = fleet.new_requests;
  fleet.store.Restore();
  fleet.ReportNoOrder();
  fleet.Run(milliseconds(300));
  for (const auto& controller : fleet.controllers) {
    CHECK(controller->RuleForRetry("s").kind == Kind::kAllBut);
  }
  CHECK(fleet.store.history.empty());
  fleet.RepeatOrder();
  fleet.Run(seconds(1));
  CHECK(fleet.new_requests == before);
  CHECK(Status(fleet) == RolloutPhase::kRolledBack);
}

TEST_CASE("a missing order that is not repeated ends its rollout") {
  RolloutFleet fleet;
  fleet.repeat_time = milliseconds(20);
  for (int i = 0; i < 3; ++i) {
    fleet.Start(i);
  }
  fleet.store.TakeCopy();
  fleet.Run(seconds(1));
  fleet.store.Restore();
  fleet.ReportNoOrder();
  fleet.Run(seconds(1));
  for (const auto& controller : fleet.controllers) {
    CHECK(controller->RuleForRetry("s").kind == Kind::kAnyVersion);
  }
}

TEST_CASE("an order that is removed without a restore ends its rollout") {
  RolloutFleet fleet;
  fleet.Run(milliseconds(100));
  fleet.ReportNoOrder();
  CHECK(fleet.controllers[0]->RuleForRetry("s").kind == Kind::kAnyVersion);
}

TEST_CASE("an order with other content after a restore is a new order") {
  RolloutFleet fleet;
  fleet.new_rate = kBadRate;
  fleet.store.TakeCopy();
  fleet.Run(seconds(4));
  fleet.store.Restore();
  fleet.new_rate = 0.02;
  fleet.order.version = "v2b";
  fleet.RepeatOrder();
  fleet.Run(milliseconds(200));
  CHECK(fleet.AllIn(RolloutPhase::kProbing));
  CHECK(fleet.controllers[0]->RuleForRetry("s").version == "v2b");
}

TEST_CASE("an order that is written again within one era is a new order") {
  RolloutFleet fleet;
  fleet.new_rate = kBadRate;
  fleet.store.TakeCopy();
  fleet.Run(seconds(4));
  fleet.store.Restore();
  fleet.RepeatOrder();
  fleet.Run(seconds(1));
  REQUIRE(fleet.AllIn(RolloutPhase::kRolledBack));
  fleet.new_rate = 0.02;
  fleet.RepeatOrder();
  fleet.Run(milliseconds(3900));
  CHECK(fleet.AllIn(RolloutPhase::kCompleted));
  CHECK(Status(fleet) == RolloutPhase::kCompleted);
}

TEST_CASE("an order retried within one era is not ended by rows of the first") {
  RolloutFleet fleet;
  fleet.new_rate = kBadRate;
  fleet.Run(seconds(4));
  fleet.store.TakeCopy();
  fleet.store.Restore();
  fleet.ReportOrder(50);
  fleet.Run(milliseconds(200));
  fleet.new_rate = 0.02;
  fleet.RepeatOrder();
  fleet.Start(1);
  fleet.Run(milliseconds(3900));
  CHECK(fleet.AllIn(RolloutPhase::kCompleted));
}

TEST_CASE(
    "a newcomer does not count reports of a former order of an older era") {
  RolloutFleet fleet;
  fleet.new_rate = 1;
  fleet.Run(seconds(4));
  REQUIRE(fleet.AllIn(RolloutPhase::kRolledBack));
  fleet.store.TakeCopy();
  fleet.store.Restore();
  // The report of a gateway that has left stays in the store.
  const RolloutReport report{
      .order = RefOf(fleet.order),
      .evidence = {{"r", {.new_version = {.good = 0, .bad = 20}}}}};
  fleet.store.Apply({.table = kRolloutTable,
                     .key = "s/g9",
                     .value = EncodeReport(report),
                     .expected_version = std::nullopt});
  fleet.ReportOrder(50);
  fleet.Run(milliseconds(200));
  fleet.new_rate = 0;
  fleet.RepeatOrder();
  fleet.Run(seconds(1));
  fleet.Start(1);
  fleet.Run(milliseconds(100));
  const auto is_probed = [&fleet] {
    for (int i = 0; i < 200; ++i) {
      if (fleet.controllers[1]->RuleForRequest("s", "r").kind ==
          Kind::kPreferred) {
        return true;
      }
    }
    return false;
  };
  CHECK(is_probed());
}

TEST_CASE("an older order that is back after a restore does not end a newer") {
  RolloutFleet fleet;
  fleet.new_rate = kBadRate;
  fleet.Run(seconds(4));
  fleet.store.TakeCopy();
  const RolloutOrder first = fleet.order;
  fleet.order.version = "v3";
  fleet.RepeatOrder();
  const RolloutOrder second = fleet.order;
  fleet.Run(seconds(4));
  REQUIRE(fleet.AllIn(RolloutPhase::kRolledBack));
  fleet.store.Restore();
  fleet.order = first;
  fleet.ReportOrder(first.id.number);
  fleet.Run(milliseconds(100));
  CHECK(fleet.controllers[0]->RuleForRetry("s").version == "v3");
  const int before = fleet.new_requests;
  fleet.order = second;
  fleet.RepeatOrder();
  fleet.Run(seconds(1));
  CHECK(fleet.new_requests == before);
  CHECK(fleet.AllIn(RolloutPhase::kRolledBack));
}

TEST_CASE("an older order that stays after a restore is taken in the end") {
  RolloutFleet fleet;
  fleet.repeat_time = milliseconds(20);
  for (int i = 0; i < 3; ++i) {
    fleet.Start(i);
  }
  fleet.store.TakeCopy();
  const RolloutOrder first = fleet.order;
  fleet.order.version = "v3";
  fleet.RepeatOrder();
  fleet.Run(milliseconds(100));
  fleet.store.Restore();
  fleet.order = first;
  fleet.ReportOrder(first.id.number);
  fleet.Run(seconds(1));
  CHECK(fleet.controllers[0]->RuleForRetry("s").version == "v2");
  CHECK(fleet.AllIn(RolloutPhase::kProbing));
}

TEST_CASE(
    "a late report of another order with the same number is not counted") {
  RolloutFleet fleet;
  fleet.store.TakeCopy();
  fleet.order.version = "v1b";
  fleet.order.id = 101;
  fleet.new_rate = 1;
  for (int i = 0; i < 3; ++i) {
    fleet.Start(i);
  }
  fleet.Run(seconds(2));
  const auto late = std::ranges::find_if(
      fleet.store.history | std::views::reverse,
      [](const StoreWrite& write) { return write.key == "s/g2"; });
  REQUIRE(late != fleet.store.history.rend());
  const StoreWrite write = *late;
  fleet.new_rate = 0.02;
  fleet.store.Restore();
  fleet.order.version = "v2";
  fleet.RepeatOrder();
  REQUIRE(fleet.order.id.number == 101);
  fleet.controllers[2].reset();
  CHECK(fleet.store.Apply(write) == StoreResult::kOk);
  fleet.Run(seconds(1));
  CHECK(fleet.AllIn(RolloutPhase::kProbing));
  const int before = fleet.new_requests;
  fleet.Run(milliseconds(500));
  CHECK(fleet.new_requests > before);
}

}  // namespace
}  // namespace bramleybank
