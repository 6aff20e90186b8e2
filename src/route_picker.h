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
  /// Never pays for a link between regions.
  kBatch,
  kNormal,
  /// Engines serve it before waiting work of lower priority.
  kUrgent,
};

/// What an attempt needs. The views must outlive the call.
struct RouteQuery {
  /// Model or service.
  std::string_view group{};
  /// Without a value, any version or adapter will do.
  std::optional<std::string_view> version{};
  std::optional<std::string_view> adapter{};
  uint32_t prompt_tokens = 0;
  /// Hashes of the growing prompt prefix, one per kPrefixBlockTokens.
  std::span<const uint64_t> prefix_hashes{};
  RoutePriority priority = RoutePriority::kNormal;
  OutputClass output = OutputClass::kShort;
  std::string_view region{};
  std::string_view failure_domain{};
  /// Endpoints never to take, and failure domains to take only when no other
  /// has a usable endpoint (where earlier attempts failed).
  std::span<const EndpointHandle> avoid_endpoints{};
  std::span<const std::string_view> avoid_domains{};
};

/// A chosen endpoint with what is expected of it.
struct Pick {
  EndpointHandle endpoint{};
  NameId group = 0;
  /// Estimated time to first token.
  Duration estimate{};
  /// Part of the estimate that is spent waiting for a slot, and on the link.
  Duration queue{};
  Duration link{};
  uint32_t uncached_tokens = 0;
  /// The endpoint is tried again after an ejection.
  bool is_probe = false;

  friend bool operator==(const Pick&, const Pick&) = default;
};

/// The interface of a routing policy; see RoutePicker::Choose().
using ChooseHook = std::function<std::optional<Pick>(const RouteQuery&)>;

/// Picks the endpoint with the lowest estimated time to first token among two
/// random candidates per failure domain and the one that likely has the prompt
/// cached. Work stays in its failure domain, then its region, unless another
/// saves more than kRegionThreshold or kCrossRegionThreshold.
class RoutePicker {
 public:
  /// @param table and `outliers` must outlive the picker.
  RoutePicker(const EndpointTable* table,
              const OutlierDetector* outliers,
              RandomHook random);

  /// @returns nothing when no endpoint is usable: kNoEndpoint, or kOverloaded
  /// when only the slots reserved for short work are free.
  std::optional<Pick> Choose(const RouteQuery& query);
  const Reason& last_reason() const { return m_last_reason; }

 private:
  enum class Distance : uint8_t { kDomain, kRegion, kFar };

  /// The query with its names resolved.
  struct Wanted {
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
    /// Milliseconds to compare by: the estimate and what is not waiting.
    double cost_ms = 0;
    Distance distance = Distance::kDomain;
  };

  std::optional<Wanted> Resolve(const RouteQuery& query);
  std::optional<Candidate> ChooseAmong(
      const Wanted& wanted,
      const std::vector<DomainEndpoints>& domains);
  void CollectFromDomain(const Wanted& wanted,
                         const DomainEndpoints& domain,
                         Distance distance);
  void CollectPrefixHome(const Wanted& wanted);
  void Collect(const Wanted& wanted,
               EndpointHandle endpoint,
               Distance distance);
  bool IsUsable(const Wanted& wanted, EndpointHandle endpoint);
  bool IsAvoided(const Wanted& wanted, NameId domain) const;
  Distance DistanceOf(const Wanted& wanted, NameId region, NameId domain) const;
  Candidate Evaluate(const Wanted& wanted,
                     EndpointHandle endpoint,
                     Distance distance) const;

  const EndpointTable* m_table;
  const OutlierDetector* m_outliers;
  RandomHook m_random;
  // Scratch of one call.
  std::vector<Candidate> m_candidates;
  std::vector<EndpointHandle> m_usable;
  bool m_was_blocked_by_long_share = false;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_PICKER_H_
