// Values of a rollout: what an operator ordered and how far it is.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_ORDER_H_
#define BRAMLEYBANK_SRC_ROLLOUT_ORDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hooks.h"

namespace bramleybank {

/// An operator's order to move a service to another version.
struct RolloutOrder {
  std::string service;
  /// Version that is to serve.
  std::string version;
  /// Time within which it must be completed or rolled back.
  Duration duration{0};
  /// Version of the order's row, which names the order.
  uint64_t id = 0;

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

enum class RolloutPhase : uint8_t {
  /// A small share of the requests goes to the new version.
  kProbing,
  /// The new version was found good: new requests go there, while the old
  /// version finishes what it has.
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

/// The decision on a rollout that all gateways follow. One gateway at a time
/// writes it, under a condition on its row.
struct RolloutDecision {
  uint64_t order_id = 0;
  RolloutPhase phase = RolloutPhase::kProbing;
  /// Name of the gateway that drives the rollout.
  std::string driver;
  /// Clock of the store when the first driver saw the order.
  Duration started{0};
  /// Whether the operator has been told the final phase.
  bool published = false;

  friend bool operator==(const RolloutDecision&,
                         const RolloutDecision&) = default;
};

/// What the operator is told of a rollout.
struct RolloutStatus {
  std::string version;
  RolloutPhase phase = RolloutPhase::kProbing;

  friend bool operator==(const RolloutStatus&, const RolloutStatus&) = default;
};

/// Answers of one version on one route.
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

/// Both versions on one route, over the same time.
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

/// By route.
using RolloutEvidence = std::map<std::string, RouteTally, std::less<>>;

void AddEvidence(const RolloutEvidence& from, RolloutEvidence* to);
/// Takes `part` out of `from`; what is not in it stays.
void SubtractEvidence(const RolloutEvidence& part, RolloutEvidence* from);
/// @returns the sum over all routes.
RouteTally TotalOf(const RolloutEvidence& evidence);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_ORDER_H_
