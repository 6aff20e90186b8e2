// Answer counts of a rollout as fields of a log line.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_TALLIES_H_
#define BRAMLEYBANK_SRC_ROLLOUT_TALLIES_H_

#include "log_event.h"
#include "rollout_order.h"

namespace bramleybank {

/// Adds the answer counts of both versions, summed over all routes.
inline void AddTallies(const RolloutEvidence& evidence, LogLine* line) {
  const RouteTally total = TotalOf(evidence);
  line->Field("old_good", static_cast<long long>(total.old_version.good))
      .Field("old_bad", static_cast<long long>(total.old_version.bad))
      .Field("new_good", static_cast<long long>(total.new_version.good))
      .Field("new_bad", static_cast<long long>(total.new_version.bad));
}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_TALLIES_H_
