// Choice of an endpoint for one attempt.
#ifndef BRAMLEYBANK_SRC_ROUTE_PICKER_H_
#define BRAMLEYBANK_SRC_ROUTE_PICKER_H_

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "bramleybank/result_code.h"
#include "hooks.h"
#include "route_endpoint_table.h"
#include "route_outlier.h"

namespace bramleybank {

enum class RoutePriority : uint8_t {
  /// Never uses a link between regions, whose traffic is billed.
  kBatch,
  kNormal,
  /// Engines serve it before waiting work of lower priority.
  kUrgent,
};

/// Requirements of an attempt. The views must outlive the call.
struct RouteQuery {
  /// Model or service.
  std::string_view group{};
  /// Without a value, any version or adapter is accepted.
  std::optional<std::string_view> version{};
  std::optional<std::string_view> adapter{};
  uint32_t prompt_tokens = 0;
  /// Hashes of successively longer prompt prefixes, one per kPrefixBlockTokens.
  std::span<const uint64_t> prefix_hashes{};
  RoutePriority priority = RoutePriority::kNormal;
  OutputClass output = OutputClass::kShort;
  std::string_view region{};
  std::string_view failure_domain{};
  /// Endpoints that are never chosen, and failure domains that are chosen only
  /// when no other has a usable endpoint. Earlier attempts failed in these.
  std::span<const EndpointHandle> avoid_endpoints{};
  std::span<const std::string_view> avoid_domains{};
};

/// A chosen endpoint with the estimates for the attempt.
struct Pick {
  EndpointHandle endpoint{};
  NameId group = 0;
  /// Estimated time to first token.
  Duration estimate{};
  /// Parts of the estimate: the wait for a slot, and the time on the link.
  Duration queue{};
  Duration link{};
  uint32_t uncached_tokens = 0;
  /// The attempt probes the endpoint after an ejection.
  bool is_probe = false;

  friend bool operator==(const Pick&, const Pick&) = default;
};

/// The interface of a routing policy; see RoutePicker::Choose().
using ChooseHook = std::function<std::optional<Pick>(const RouteQuery&)>;

/// Picks the endpoint with the lowest estimated time to first token among two
/// random candidates per failure domain and the endpoint that likely has the
/// prompt cached. Work stays in its failure domain, then in its region, unless
/// another one saves more than kRegionThreshold or kCrossRegionThreshold.
class RoutePicker {
 public:
  /// @param table must outlive the picker, and so must `outliers`.
  RoutePicker(const EndpointTable* table,
              const OutlierDetector* outliers,
              RandomHook random);

  /// @returns nothing when no endpoint is usable; last_reason() then has
  /// kNoEndpoint, or kOverloaded when only the slots reserved for short work
  /// are free.
  std::optional<Pick> Choose(const RouteQuery& query);
  const Reason& last_reason() const { return m_last_reason; }

 private:
  enum class Distance : uint8_t { kSameDomain, kSameRegion, kOtherRegion };

  /// The query with its names resolved to ids.
  struct ResolvedQuery {
    const RouteQuery* query = nullptr;
    NameId group = 0;
    std::optional<NameId> version;
    std::optional<NameId> adapter;
    // Without a value no endpoint is in that region or domain.
    std::optional<NameId> region;
    std::optional<NameId> domain;
    bool may_use_avoided_domains = false;
  };
  struct Candidate {
    Pick pick;
    /// Cost in milliseconds by which candidates are compared: the estimate plus
    /// penalties that are not waiting time.
    double cost_ms = 0;
    Distance distance = Distance::kSameDomain;
  };

  std::optional<ResolvedQuery> Resolve(const RouteQuery& query);
  std::optional<Candidate> ChooseAmong(
      const ResolvedQuery& resolved,
      const std::vector<DomainEndpoints>& domains);
  void CollectFromDomain(const ResolvedQuery& resolved,
                         const DomainEndpoints& domain,
                         Distance distance);
  void CollectPrefixLocation(const ResolvedQuery& resolved);
  void Collect(const ResolvedQuery& resolved,
               EndpointHandle endpoint,
               Distance distance);
  bool IsUsable(const ResolvedQuery& resolved, EndpointHandle endpoint);
  bool IsAvoided(const ResolvedQuery& resolved, NameId domain) const;
  Distance DistanceOf(const ResolvedQuery& resolved,
                      NameId region,
                      NameId domain) const;
  Candidate Evaluate(const ResolvedQuery& resolved,
                     EndpointHandle endpoint,
                     Distance distance) const;

  const EndpointTable* m_table;
  const OutlierDetector* m_outliers;
  RandomHook m_random;
  // Scratch data of one Choose() call.
  std::vector<Candidate> m_candidates;
  std::vector<EndpointHandle> m_usable;
  bool m_was_blocked_by_long_share = false;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_PICKER_H_
