// Model of an engine that reads all its prompts side by side in chunks.
#include "placement_estimate.h"

#include <algorithm>
#include <chrono>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// Until a speed is known, a prompt that is read alone is expected to take this
// share of the time that the route accepts.
constexpr double kUnknownFirstEventShare = 0.25;
// Prompts that an engine of average speed reads side by side before the pauses
// of its other runs reach what their routes accept.
constexpr double kPrefillsPerGap = 3;
// Cost of one more run at an engine, whose steps get a little longer. It
// decides only between engines that are otherwise alike.
constexpr double kRunCost = 0.001;
// Copies may fill the memory of an engine up to this share. Beyond it they
// would lead to refusals and preemptions of runs, which cost callers more than
// a copy saves when an engine is lost.
constexpr double kMaxCopyMemoryShare = 0.75;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

double Square(double value) {
  return value * value;
}

double FourthPower(double value) {
  return Square(Square(value));
}

double MemoryShare(const PlacementRequest& request,
                   const PlacementEngine& engine) {
  if (request.memory_capacity == 0) {
    return 0;
  }
  return static_cast<double>(engine.load.memory_tokens + request.size.total()) /
         static_cast<double>(request.memory_capacity);
}

/// Cost of the preemptions that follow when memory runs out.
double MemoryCost(double share) {
  return FourthPower(share) * FourthPower(share);
}

}  // namespace

PlacementEstimate EstimatePlacement(const PlacementRequest& request,
                                    const PlacementEngine& engine) {
  const EngineLoad& load = engine.load;
  const double target = Milliseconds(request.first_event_target > Duration{0}
                                         ? request.first_event_target
                                         : Duration(kDefaultFirstEventTarget));
  const double max_gap = Milliseconds(request.max_event_gap > Duration{0}
                                          ? request.max_event_gap
                                          : Duration(kDefaultEventGap));
  const auto prompt = static_cast<double>(request.size.prompt_tokens);
  const double speed = engine.speed > 0 ? engine.speed : engine.average_speed;
  const double ms_per_token =
      speed > 0 ? 1000 / speed
                : target * kUnknownFirstEventShare / std::max(prompt, 1.0);
  const double slowness =
      speed > 0 && engine.average_speed > 0 ? engine.average_speed / speed : 1;

  // While prompts are read side by side, each one is held up by at most its own
  // length of every other one.
  const auto prefills = static_cast<double>(load.prefills);
  const double others =
      std::min(static_cast<double>(load.prefill_tokens), prefills * prompt);
  const double alone = prompt * ms_per_token;
  const double first_event = alone + (others * ms_per_token);
  const double gap_per_prefill = max_gap / kPrefillsPerGap * slowness;
  const double gap = (prefills + 1) * gap_per_prefill;

  const double first_cost = Square(first_event / target);
  const double held_up_cost =
      prefills * (first_cost - Square((first_event - alone) / target));
  const auto decodes = static_cast<double>(load.runs) - prefills;
  const double gap_cost = std::max(decodes, 0.0) *
                          (FourthPower(gap / max_gap) -
                           FourthPower(prefills * gap_per_prefill / max_gap));
  const double memory_share = MemoryShare(request, engine);
  const bool has_slot =
      engine.slots == 0 || static_cast<int>(load.runs) < engine.slots;
  return {.cost = first_cost + held_up_cost + gap_cost +
                  MemoryCost(memory_share) + (load.runs * kRunCost),
          .has_room = has_slot && memory_share <= 1,
          .first_event = FromMilliseconds(first_event)};
}

PlacementEstimate EstimateCopy(const PlacementRequest& request,
                               const PlacementEngine& engine) {
  const double memory_share = MemoryShare(request, engine);
  return {.cost = MemoryCost(memory_share) + (engine.load.runs * kRunCost),
          .has_room = memory_share <= kMaxCopyMemoryShare};
}

}  // namespace bramleybank
