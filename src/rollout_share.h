// Limits of the requests to a version of a service that is probed.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_SHARE_H_
#define BRAMLEYBANK_SRC_ROLLOUT_SHARE_H_

#include "bramleybank/limits.h"

namespace bramleybank {

/// Requests that a version may get while it is probed.
struct RolloutShare {
  /// Fraction of the requests of each route.
  double share = kRolloutProbeShare;
  /// Requests of each route beyond that fraction, summed over all gateways.
  double extra = kRolloutProbeExtra;

  friend bool operator==(const RolloutShare&, const RolloutShare&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_SHARE_H_
