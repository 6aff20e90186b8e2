// Judges a new version by the answers of both versions, and decides the next
// phase of a rollout. No state, no clock, no network.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_JUDGE_H_
#define BRAMLEYBANK_SRC_ROLLOUT_JUDGE_H_

#include <cstdint>

#include "rollout_order.h"

namespace bramleybank {

enum class RolloutVerdict : uint8_t {
  kUndecided,
  kBad,
};

/// Sequential probability ratio test per route and over all routes: whether the
/// new version fails as often as the old one or considerably more often. It may
/// be asked after each answer without raising the rate of false alarms.
RolloutVerdict JudgeRollout(const RolloutEvidence& evidence);

/// @returns whether the evidence, as far as it goes, speaks for the new
/// version.
bool IsLikelyGood(const RolloutEvidence& evidence);

/// @param elapsed since the rollout started.
/// @returns the phase that follows; a final phase stays.
RolloutPhase NextPhase(RolloutPhase phase,
                       const RolloutEvidence& evidence,
                       Duration elapsed,
                       Duration duration);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_JUDGE_H_
