// What callers get if a request is sent to an engine.
#ifndef BRAMLEYBANK_SRC_PLACEMENT_ESTIMATE_H_
#define BRAMLEYBANK_SRC_PLACEMENT_ESTIMATE_H_

#include <cstdint>

#include "engine_load.h"
#include "hooks.h"
#include "load_ledger.h"

namespace bramleybank {

/// A request as far as its placement depends on it.
struct PlacementRequest {
  RunSize size;
  /// What the route accepts.
  Duration first_event_target{0};
  Duration max_event_gap{0};
  /// Tokens in the memory of each engine; 0 when unknown.
  uint64_t memory_capacity = 0;

  friend bool operator==(const PlacementRequest&,
                         const PlacementRequest&) = default;
};

/// An engine as far as the estimate depends on it.
struct PlacementEngine {
  EngineLoad load;
  /// Requests that it works on at the same time; 0 when unknown.
  int slots = 0;
  /// Tokens per second that it reads, and the average of the known engines; 0
  /// when unknown.
  double speed = 0;
  double average_speed = 0;

  friend bool operator==(const PlacementEngine&,
                         const PlacementEngine&) = default;
};

/// Expected effect of the placement.
struct PlacementEstimate {
  /// Cost for the new caller and those whose runs are there already.
  double cost = 0;
  /// Whether the engine has a slot and memory for the request.
  bool has_room = true;
  Duration first_event{0};

  friend bool operator==(const PlacementEstimate&,
                         const PlacementEstimate&) = default;
};

/// Answers a load of long prompts at engines that read them between the tokens
/// of other requests. The cost adds up, for the new caller and each one that
/// the prompt holds up, the share that a wait takes of what the route accepts:
/// squared for the first event, so that waiting is spread over callers, and to
/// the fourth power for pauses, which callers do not notice far below the
/// limit.
PlacementEstimate EstimatePlacement(const PlacementRequest& request,
                                    const PlacementEngine& engine);

/// @returns the effect of a copy of the run at the engine, by the memory that
/// is left and the runs that it would join. An engine has room for a copy only
/// while that leaves memory for further runs.
PlacementEstimate EstimateCopy(const PlacementRequest& request,
                               const PlacementEngine& engine);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PLACEMENT_ESTIMATE_H_
