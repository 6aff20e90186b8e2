// A small discrete-event model of daemons and engines. It drives the decision
// classes with a manual clock to compare policies; it is no cluster simulator.
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
  /// When a quarter of the engines, one failure domain, is lost; below 0 never.
  double domain_lost_at_s = -1;
  /// Time that cancelled work goes on to hold its slot or place in the queue.
  double cancel_lag_s = 0;
  /// Part of the requests that the small customer sends.
  double small_share = 0;
};

/// What became of one request.
struct RequestOutcome {
  double arrived_s = 0;
  /// Below 0 without a first token.
  double first_token_s = -1;
  /// Seconds of a slot that its output takes.
  double work_s = 0;
  int attempts = 0;
  bool is_refused = false;
  /// Refused although a live engine had a free slot.
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

/// @returns all requests in the order of their arrival.
std::vector<RequestOutcome> RunModel(const ModelRun& run);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_BENCH_POLICY_MODEL_H_
