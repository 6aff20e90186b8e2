// How much an unproven version of a service may get.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_SHARE_H_
#define BRAMLEYBANK_SRC_ROLLOUT_SHARE_H_

#include "bramleybank/limits.h"

namespace bramleybank {

/// Requests to a version that is probed.
struct RolloutShare {
  /// Part of the requests of each route.
  double share = kRolloutProbeShare;
  /// Requests of each route, of all gateways together, beyond that part.
  double extra = kRolloutProbeExtra;

  friend bool operator==(const RolloutShare&, const RolloutShare&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_SHARE_H_
