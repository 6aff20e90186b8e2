// A daemon of the policy model.
#ifndef BRAMLEYBANK_BENCH_MODEL_DAEMON_H_
#define BRAMLEYBANK_BENCH_MODEL_DAEMON_H_

#include <string>

#include "limit_admission.h"
#include "limit_customer.h"
#include "limit_retry_budget.h"
#include "policy_model.h"
#include "route_baselines.h"
#include "route_picker.h"

namespace bramleybank {

/// The routing and limit classes of one daemon.
struct ModelDaemon {
  ModelDaemon(const ModelRun& run,
              const ClockHook& now,
              const RandomHook& random)
      : table(now),
        outliers(
            now,
            [this](NameId id) { return table.FindGroup(id)->preferred_size; }),
        estimate(&table, &outliers, random),
        round_robin(&table),
        least_reported(&table),
        admission(now, random),
        limiter(now, [n = run.daemons] { return n; }),
        retries(now, random, run.policy.retries) {}

  std::string region;
  std::string domain;
  EndpointTable table;
  OutlierDetector outliers;
  RoutePicker estimate;
  RoundRobinPicker round_robin;
  LeastReportedLoadPicker least_reported;
  AdmissionController admission;
  CustomerLimiter limiter;
  RetryBudget retries;
  ChooseHook choose;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_BENCH_MODEL_DAEMON_H_
