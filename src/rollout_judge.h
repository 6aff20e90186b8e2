// Judges a new version by the answers of both versions, and decides the next
// phase of a rollout. Uses no mutable state, clock or network.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_JUDGE_H_
#define BRAMLEYBANK_SRC_ROLLOUT_JUDGE_H_

#include <cstdint>

#include "rollout_order.h"

namespace bramleybank {

enum class RolloutVerdict : uint8_t {
  kUndecided,
  kBad,
};

/// Sequential probability ratio test, for each route and over all routes, of
/// whether the new version fails as often as the old one or considerably more
/// often. It may be run after each answer without raising the rate of false
/// alarms.
RolloutVerdict JudgeRollout(const RolloutEvidence& evidence);

/// @returns whether there is enough evidence, and it is in favor of the new
/// version.
bool IsLikelyGood(const RolloutEvidence& evidence);

/// @param elapsed time since the rollout started.
/// @returns the next phase; a final phase does not change.
RolloutPhase NextPhase(RolloutPhase phase,
                       const RolloutEvidence& evidence,
                       Duration elapsed,
                       Duration duration);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_JUDGE_H_
