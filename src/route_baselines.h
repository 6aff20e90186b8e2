// Baseline policies to which the policies of the daemon are compared. They have
// the same interfaces; the daemon does not use them.
#ifndef BRAMLEYBANK_SRC_ROUTE_BASELINES_H_
#define BRAMLEYBANK_SRC_ROUTE_BASELINES_H_

#include <limits>
#include <optional>

#include "bramleybank/result_code.h"
#include "limit_customer.h"
#include "limit_retry_budget.h"
#include "route_endpoint_table.h"
#include "route_picker.h"

namespace bramleybank {

/// Chooses the usable endpoints of a group in turn.
class RoundRobinPicker {
 public:
  explicit RoundRobinPicker(const EndpointTable* table) : m_table(table) {}
  std::optional<Pick> Choose(const RouteQuery& query);
  const Reason& last_reason() const { return m_last_reason; }

 private:
  const EndpointTable* m_table;
  size_t m_next = 0;
  Reason m_last_reason;
};

/// Chooses the usable endpoint with the lowest load in its last report,
/// whatever the report's age.
class LeastReportedLoadPicker {
 public:
  explicit LeastReportedLoadPicker(const EndpointTable* table)
      : m_table(table) {}
  std::optional<Pick> Choose(const RouteQuery& query);
  const Reason& last_reason() const { return m_last_reason; }

 private:
  const EndpointTable* m_table;
  Reason m_last_reason;
};

/// Limits of a RetryBudget that never refuses.
inline constexpr RetryLimits kUnlimitedRetries{
    .share = 0,
    .extra = std::numeric_limits<double>::infinity(),
    .resume_extra = std::numeric_limits<double>::infinity()};

/// @returns a divisor for CustomerLimiter that ignores the membership.
inline CustomerLimiter::DivisorHook FixedDivisor(int daemons) {
  return [daemons] { return daemons; };
}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_BASELINES_H_
