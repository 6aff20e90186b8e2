// Routing, limit and retry decisions of a daemon for its streams and calls.
#ifndef BRAMLEYBANK_SRC_ROUTE_DIRECTOR_H_
#define BRAMLEYBANK_SRC_ROUTE_DIRECTOR_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hooks.h"
#include "limit_admission.h"
#include "limit_admission_lease.h"
#include "limit_customer.h"
#include "limit_divisor.h"
#include "limit_retry_budget.h"
#include "route_endpoint_table.h"
#include "route_outlier.h"
#include "route_picker.h"
#include "route_subset.h"
#include "stream_environment.h"
#include "stream_runner.h"

namespace bramleybank {

class MetricRegistry;
struct ConfigSnapshot;

/// Owns the endpoint table, the limits and the budgets of one daemon.
class RouteDirector {
 public:
  RouteDirector(SubsetMember self,
                ClockHook clock,
                const RandomHook& random,
                MetricRegistry* metrics);

  /// Sets the engine hooks in `environment`.
  void InstallHooks(StreamEnvironment* environment);

  void SetConfig(const ConfigSnapshot& config);
  /// @param members live daemons, this one included.
  void SetMembers(const std::vector<SubsetMember>& members);
  void SetLeavingNotice(std::string_view address, bool leaving);

  /// Applies the customer's limits.
  AdmissionDecision Admit(std::string_view customer,
                          size_t prompt_bytes,
                          uint64_t max_tokens);

  // Attempts of generations; see the hooks in StreamEnvironment.
  bool TakeRetry(std::string_view model, AttemptLoss loss);
  std::optional<EngineChoice> Choose(const EngineQuery& query,
                                     EngineRefusal* refusal);
  std::optional<EngineChoice> Adopt(std::string_view address);
  void OnFirstToken(EngineTicket ticket);
  void OnToken(EngineTicket ticket);
  void OnEnd(EngineTicket ticket, EndOutcome outcome);
  uint32_t StreamsOn(EngineTicket ticket) const;
  void OnStreamOpened(std::string_view model);
  void OnStreamClosed(std::string_view model);
  std::optional<StreamBinding> FindBinding(std::string_view address) const;

  /// Chooses an endpoint of a plain service.
  /// @param avoid addresses of endpoints that failed this call.
  std::optional<std::string> ChooseService(
      std::string_view service,
      const std::vector<std::string>& avoid);
  /// Takes a retry of a service call from the budget; false when none is left.
  bool AllowServiceRetry(std::string_view service);
  /// Reports the result of one exchange with an endpoint of a service.
  void OnServiceResult(std::string_view address, bool answered);

  /// Reports the result of polling an endpoint's load; nothing when the
  /// endpoint did not answer.
  void OnLoadReport(std::string_view address,
                    const std::optional<LoadReport>& report);
  /// @returns addresses of the engines that this daemon polls.
  const std::vector<std::string>& polled_engines() const {
    return m_polled_engines;
  }

  void UpdateGauges();
  const EndpointTable& table() const { return m_table; }

 private:
  struct Attempt {
    Pick pick;
    OutputClass output = OutputClass::kShort;
    std::vector<uint64_t> prefix_hashes;
    TimePoint started;
    std::optional<TimePoint> first_token;
    // Whether the admission counts the attempt as waiting: from its start until
    // the first token or the end.
    bool is_admitted = false;
  };

  bool TakeBudget(const EngineQuery& query, EngineRefusal* refusal);
  std::optional<Pick> PickEndpoint(const EngineQuery& query,
                                   const std::vector<uint64_t>& prefix_hashes,
                                   EngineRefusal* refusal);
  EngineChoice StartAttempt(Attempt attempt);
  void EndAdmissionWait(Attempt* attempt);
  void ChooseSubsets();
  void CountRetry(std::string_view reason, bool is_granted);

  const SubsetMember m_self;
  const ClockHook m_clock;
  MetricRegistry* m_metrics;
  EndpointTable m_table;
  OutlierDetector m_outliers;
  RoutePicker m_picker;
  SubsetChooser m_subset;
  LimitDivisor m_divisor;
  CustomerLimiter m_customers;
  AdmissionController m_admission;
  RetryBudget m_budget;

  std::vector<SubsetMember> m_members;
  std::vector<EndpointConfig> m_endpoints;
  std::vector<std::string> m_polled_engines;
  std::unordered_map<uint64_t, Attempt> m_attempts;
  uint64_t m_next_ticket = 1;
  // Leases hold a weak pointer to it, so that a lease that outlives this object
  // has no effect when it is released.
  std::shared_ptr<RouteDirector*> m_self_reference;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_DIRECTOR_H_
