// Adds up the loads that other gateways report.
#ifndef BRAMLEYBANK_SRC_LOAD_AGGREGATOR_H_
#define BRAMLEYBANK_SRC_LOAD_AGGREGATOR_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine_load.h"
#include "hooks.h"

namespace bramleybank {

/// The latest report of each gateway of this failure domain, and the totals of
/// each other domain. A report replaces the last one of its source, so lost and
/// repeated reports do no harm. It counts in full for kFullLoadAge, then less,
/// and no longer after kMaxLoadAge.
class LoadAggregator {
 public:
  explicit LoadAggregator(ClockHook clock);

  void OnGatewayReport(std::string_view gateway,
                       std::vector<EngineLoadEntry> entries);
  void OnDomainReport(std::string_view domain,
                      std::vector<EngineLoadEntry> entries);

  /// Gateways have lost engines.
  /// @param is_own_domain whether they are in this failure domain.
  void OnLosses(const std::vector<EngineKey>& engines, bool is_own_domain);
  /// @returns the engines lost within kLossReportAge.
  /// @param only_own_domain leaves out what other domains have told.
  std::vector<EngineKey> RecentLosses(bool only_own_domain) const;

  /// @returns the load of all gateways but `except`, with `own` added.
  std::vector<EngineLoadEntry> Totals(
      std::string_view except,
      const std::vector<EngineLoadEntry>& own) const;
  /// @returns the load of the gateways of this domain, with `own` added.
  std::vector<EngineLoadEntry> DomainTotals(
      const std::vector<EngineLoadEntry>& own) const;

 private:
  struct Report {
    std::vector<EngineLoadEntry> entries;
    TimePoint received_at;
  };
  struct Loss {
    TimePoint reported_at;
    bool is_own_domain = false;
  };
  using Reports = std::map<std::string, Report, std::less<>>;
  using Sums = std::map<EngineKey, EngineLoad>;

  void Set(Reports* reports,
           std::string_view source,
           std::vector<EngineLoadEntry> entries) const;
  void Add(const Reports& reports, std::string_view except, Sums* sums) const;

  const ClockHook m_clock;
  // By gateway and by failure domain. Expired ones are removed when another
  // report arrives.
  Reports m_gateways;
  Reports m_domains;
  std::unordered_map<EngineKey, Loss> m_losses;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LOAD_AGGREGATOR_H_
