// Names of phases, and sums of evidence.
#include "rollout_order.h"

#include <algorithm>
#include <array>

namespace bramleybank {
namespace {

struct PhaseName {
  RolloutPhase phase;
  std::string_view name;
};
constexpr std::array<PhaseName, 4> kPhaseNames = {
    {{RolloutPhase::kProbing, "probing"},
     {RolloutPhase::kShifting, "shifting"},
     {RolloutPhase::kCompleted, "completed"},
     {RolloutPhase::kRolledBack, "rolled_back"}}};

}  // namespace

RolloutOrderRef RefOf(const RolloutOrder& order) {
  return {.id = order.id, .version = order.version, .duration = order.duration};
}

std::string_view NameOf(RolloutPhase phase) {
  return std::ranges::find(kPhaseNames, phase, &PhaseName::phase)->name;
}

std::optional<RolloutPhase> ParseRolloutPhase(std::string_view name) {
  const auto* it = std::ranges::find(kPhaseNames, name, &PhaseName::name);
  return it == kPhaseNames.end() ? std::nullopt : std::optional(it->phase);
}

void AddEvidence(const RolloutEvidence& from, RolloutEvidence* to) {
  for (const auto& [route, tally] : from) {
    (*to)[route] += tally;
  }
}

void SubtractEvidence(const RolloutEvidence& part, RolloutEvidence* from) {
  for (const auto& [route, tally] : part) {
    (*from)[route] -= tally;
  }
}

RouteTally TotalOf(const RolloutEvidence& evidence) {
  RouteTally total;
  for (const auto& [route, tally] : evidence) {
    total += tally;
  }
  return total;
}

}  // namespace bramleybank
