// The test compares two hypotheses on the new version's rate of bad answers:
// the rate of the old version, and a rate that is higher by a fixed step.
#include "rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

#include "bramleybank/limits.h"
#include "chart_machine.h"
#include "chart_rollout_p.h"

namespace bramleybank {
namespace {

// Smallest rise of the rate of bad answers that must be detected.
constexpr double kHarmfulRise = 0.12;
// Logarithm of the odds at which a version counts as bad: one false alarm in a
// hundred rollouts for each route.
constexpr double kBadLogOdds = 4.6;
// Logarithm of the odds, two to one, at which a version is no longer judged
// good when the probing time is up.
constexpr double kLikelyBadLogOdds = 0.7;
// Prior for the old version: 0.2 bad answers in 10, which is a rate of 2 in
// 100.
constexpr double kPriorAnswers = 10;
constexpr double kPriorBad = 0.2;
constexpr double kMinRate = 0.01;
constexpr double kMaxRate = 0.8;
// With fewer answers a version is unproven.
constexpr int64_t kMinAnswers = 5;
// Fractions of the rollout's duration at which a version is judged, and at
// which the rollout is completed.
constexpr double kJudgementFraction = 0.5;
constexpr double kCompletionFraction = 0.75;
// The margin before the deadline does not complete a rollout before this
// fraction of its duration.
constexpr double kMinCompletionFraction = 0.65;

/// @returns the logarithm of the odds that the new version is worse.
double LogOdds(const RouteTally& tally) {
  const double answers =
      static_cast<double>(tally.old_version.total()) + kPriorAnswers;
  const double mean_rate =
      (static_cast<double>(tally.old_version.bad) + kPriorBad) / answers;
  // One standard error is added, because an underestimated rate would let
  // chance alone count against the new version.
  const double standard_error =
      std::sqrt(mean_rate * (1 - mean_rate) / answers);
  const double baseline_rate =
      std::clamp(mean_rate + standard_error, kMinRate, kMaxRate);
  const double harmful_rate = baseline_rate + kHarmfulRise;
  return (static_cast<double>(tally.new_version.bad) *
          std::log(harmful_rate / baseline_rate)) +
         (static_cast<double>(tally.new_version.good) *
          std::log((1 - harmful_rate) / (1 - baseline_rate)));
}

/// @returns the highest log odds of any route and of all routes together,
/// because some versions fail on one route only.
double WorstLogOdds(const RolloutEvidence& evidence) {
  double worst = LogOdds(TotalOf(evidence));
  for (const auto& [route, tally] : evidence) {
    worst = std::max(worst, LogOdds(tally));
  }
  return worst;
}

/// @returns the phase after `event`; a phase without a transition for it does
/// not change.
RolloutPhase ApplyEvent(RolloutPhase phase, std::string_view event) {
  static const auto chart = LoadEmbeddedChart(kRolloutChart);
  const auto& transitions =
      chart->states.at(std::string(NameOf(phase))).transitions;
  const auto it = transitions.find(event);
  return it == transitions.end()
             ? phase
             : ParseRolloutPhase(it->second).value_or(phase);
}

}  // namespace

RolloutVerdict JudgeRollout(const RolloutEvidence& evidence) {
  return WorstLogOdds(evidence) >= kBadLogOdds ? RolloutVerdict::kBad
                                               : RolloutVerdict::kUndecided;
}

bool IsLikelyGood(const RolloutEvidence& evidence) {
  return TotalOf(evidence).new_version.total() >= kMinAnswers &&
         WorstLogOdds(evidence) < kLikelyBadLogOdds;
}

RolloutPhase NextPhase(RolloutPhase phase,
                       const RolloutEvidence& evidence,
                       Duration elapsed,
                       Duration duration) {
  if (JudgeRollout(evidence) == RolloutVerdict::kBad) {
    return ApplyEvent(phase, "found_bad");
  }
  const double elapsed_fraction =
      static_cast<double>(elapsed.count()) /
      static_cast<double>(std::max<int64_t>(1, duration.count()));
  if (phase == RolloutPhase::kProbing &&
      elapsed_fraction >= kJudgementFraction) {
    return ApplyEvent(
        phase, IsLikelyGood(evidence) ? "judged_good" : "judged_unproven");
  }
  const bool is_time_up = elapsed_fraction >= kCompletionFraction ||
                          (elapsed_fraction >= kMinCompletionFraction &&
                           duration - elapsed <= kRolloutDeadlineMargin);
  return is_time_up ? ApplyEvent(phase, "time_up") : phase;
}

}  // namespace bramleybank
