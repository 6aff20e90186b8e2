// Issues the permits for requests to endpoints that limit their rate.
#ifndef BRAMLEYBANK_SRC_PERMIT_ISSUER_H_
#define BRAMLEYBANK_SRC_PERMIT_ISSUER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "endpoint_permit.h"
#include "hooks.h"

namespace bramleybank {

/// @returns the permits per second that all gateways together get for an
/// endpoint with this rate limit. Less than the limit, because for a moment two
/// gateways may issue permits of one endpoint; above zero, because only an
/// answer tells that a limit has ended.
double PermitRate(double rate_limit);

/// Token buckets of the endpoints whose permits this gateway issues. Gateways
/// ask for permits when they have requests, so the split follows the load of
/// each gateway, and permits that one does not need are not set aside for it.
class PermitIssuer {
 public:
  PermitIssuer(ClockHook clock, RandomHook random);

  PermitAnswer Issue(const PermitQuery& query);
  size_t size() const { return m_buckets.size(); }

 private:
  struct Bucket {
    int64_t endpoint_start_ms = 0;
    // The latest statement of the endpoint that any gateway has passed on.
    std::optional<double> rate_limit;
    // When the endpoint stated it; empty before the first statement.
    std::optional<TimePoint> stated_at;
    double permits = 1;
    TimePoint refilled_at;
    // Queries that were refused since the last grant.
    int refusals = 0;
  };

  Bucket& FindOrAdd(const PermitQuery& query);
  void EvictOldest();
  /// Takes over the statement in the query unless a newer one is known.
  void Merge(const PermitQuery& query, Bucket* bucket) const;
  void Refill(Bucket* bucket) const;
  Duration RetryAfter(const Bucket& bucket) const;

  const ClockHook m_clock;
  const RandomHook m_random;
  // By endpoint id.
  std::map<std::string, Bucket, std::less<>> m_buckets;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PERMIT_ISSUER_H_
