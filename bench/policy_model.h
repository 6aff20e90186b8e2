// A small discrete-event model of daemons and engines. It drives the routing
// and limit classes with a manual clock to compare policies. It is not a
// cluster simulator.
#ifndef BRAMLEYBANK_BENCH_POLICY_MODEL_H_
#define BRAMLEYBANK_BENCH_POLICY_MODEL_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "limit_retry_budget.h"

namespace bramleybank {

enum class PickerKind { kEstimate, kRoundRobin, kLeastReported };

struct Policy {
  PickerKind picker = PickerKind::kEstimate;
  bool has_admission = true;
  bool has_fair_share = true;
  RetryLimits retries;
};

struct ModelRun {
  Policy policy;
  int daemons = 30;
  uint64_t seed = 1;
  double length_s = 80;
  /// Offered load as a multiple of the capacity, by time in seconds.
  std::function<double(double)> load;
  /// Time at which one failure domain, a quarter of the engines, fails;
  /// negative for never.
  double domain_failure_at_s = -1;
  /// Time that cancelled work keeps its slot or its position in the queue.
  double cancel_lag_s = 0;
  /// Fraction of the requests that the small customer sends.
  double small_share = 0;
};

/// Outcome of one request.
struct RequestOutcome {
  double arrived_s = 0;
  /// Time from arrival to the first token; negative without a first token.
  double first_token_s = -1;
  /// Time that the output occupies a slot.
  double work_s = 0;
  int attempts = 0;
  bool is_refused = false;
  /// Rejected although a live engine had a free slot.
  bool is_wrongly_refused = false;
  bool is_failed = false;
  bool is_small_customer = false;

  bool is_good() const {
    return first_token_s >= 0 && !is_refused && !is_failed;
  }
};

inline constexpr int kModelEngines = 60;
inline constexpr int kModelSlots = 8;
inline constexpr int kModelDomains = 4;

/// @returns the outcomes of all requests in order of arrival.
std::vector<RequestOutcome> RunModel(const ModelRun& run);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_BENCH_POLICY_MODEL_H_
