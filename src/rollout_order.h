// Data types of a rollout: the operator's order, the decision and the evidence.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_ORDER_H_
#define BRAMLEYBANK_SRC_ROLLOUT_ORDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"
#include "store_version.h"

namespace bramleybank {

/// An operator's order to move a service to another version.
struct RolloutOrder {
  std::string service;
  /// Version to move the service to.
  std::string version;
  /// Time within which the rollout must be completed or rolled back.
  Duration duration{0};
  /// Version of the order's row, which identifies the order within one era.
  StoreVersion id;

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

/// The order to which a decision or a report belongs, as written in its row.
struct RolloutOrderRef {
  StoreVersion id;
  /// Content of the order; empty in rows of releases that write the number
  /// only.
  std::string version;
  Duration duration{0};

  friend bool operator==(const RolloutOrderRef&,
                         const RolloutOrderRef&) = default;
};
RolloutOrderRef RefOf(const RolloutOrder& order);

/// In the order in which they follow each other. If gateways that missed each
/// other's rows know two final phases, all of them apply the last one.
enum class RolloutPhase : uint8_t {
  /// A small share of the requests goes to the new version.
  kProbing,
  /// The new version was judged good: new requests go to it, while the old
  /// version finishes the requests that it has.
  kShifting,
  kCompleted,
  kRolledBack,
};

/// @returns the name of a phase, which is its state in charts/rollout.scxml.
std::string_view NameOf(RolloutPhase phase);
std::optional<RolloutPhase> ParseRolloutPhase(std::string_view name);

inline bool IsFinal(RolloutPhase phase) {
  return phase == RolloutPhase::kCompleted ||
         phase == RolloutPhase::kRolledBack;
}

/// The decision on a rollout that all gateways follow. One gateway at a time,
/// the driver, writes it, with a conditional write on its row.
struct RolloutDecision {
  RolloutOrderRef order;
  /// Ids that the order had in earlier eras of the store.
  std::vector<StoreVersion> earlier_ids = {};
  RolloutPhase phase = RolloutPhase::kProbing;
  /// Name of the driver.
  std::string driver;
  /// Time of the store's clock when the first driver saw the order.
  Duration started{0};
  /// Whether the final phase has been published in the operator's status.
  bool published = false;

  friend bool operator==(const RolloutDecision&,
                         const RolloutDecision&) = default;
};

/// Status of a rollout that is published to the operator.
struct RolloutStatus {
  std::string version;
  RolloutPhase phase = RolloutPhase::kProbing;

  friend bool operator==(const RolloutStatus&, const RolloutStatus&) = default;
};

/// Answer counts of one version on one route.
struct VersionTally {
  int64_t good = 0;
  /// Failures, and answers several times slower than the old version's.
  int64_t bad = 0;

  int64_t total() const { return good + bad; }
  VersionTally& operator+=(const VersionTally& other) {
    good += other.good;
    bad += other.bad;
    return *this;
  }
  VersionTally& operator-=(const VersionTally& other) {
    good -= other.good;
    bad -= other.bad;
    return *this;
  }
  friend bool operator==(const VersionTally&, const VersionTally&) = default;
};

/// Answer counts of both versions on one route, over the same time.
struct RouteTally {
  VersionTally old_version;
  VersionTally new_version;

  RouteTally& operator+=(const RouteTally& other) {
    old_version += other.old_version;
    new_version += other.new_version;
    return *this;
  }
  RouteTally& operator-=(const RouteTally& other) {
    old_version -= other.old_version;
    new_version -= other.new_version;
    return *this;
  }
  friend bool operator==(const RouteTally&, const RouteTally&) = default;
};

/// Answer counts by route.
using RolloutEvidence = std::map<std::string, RouteTally, std::less<>>;

void AddEvidence(const RolloutEvidence& from, RolloutEvidence* to);
/// Subtracts `part` from `from`. Routes that are not in `part` do not change.
void SubtractEvidence(const RolloutEvidence& part, RolloutEvidence* from);
/// @returns the sum over all routes.
RouteTally TotalOf(const RolloutEvidence& evidence);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_ORDER_H_
