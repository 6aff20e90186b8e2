// A backup is not held by an engine with a rate limit, at which the run could
// not be resumed at once. All costs are in units of one request in flight at
// the endpoint.
#include "endpoint_picker.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "endpoint_directory.h"
#include "endpoint_limiter.h"

namespace bramleybank {
namespace {

// A request leaves the gateway's failure domain if that saves more load than
// this.
constexpr double kOtherDomainCost = 0.5;
// Traffic between regions is billed, and a round trip takes 40 ms. That is
// little for a stream of several seconds and much for a call.
constexpr double kOtherRegionStreamCost = 1;
constexpr double kOtherRegionCallCost = 2;
// A copy takes memory of the engine but no compute steps. Memory runs out
// first.
constexpr double kBackupWeight = 1;
// Added cost of an endpoint that fails all its requests.
constexpr double kFailureCost = 12;

bool Contains(const std::vector<std::string>* ids, const std::string& id) {
  return ids != nullptr && std::ranges::find(*ids, id) != ids->end();
}

/// Keeps the cheapest candidate. Ties are broken at random with equal chances.
class CheapestCandidate {
 public:
  explicit CheapestCandidate(const RandomHook* random) : m_random(random) {}

  void Offer(const EndpointRecord* record, double cost) {
    if (m_best == nullptr || cost < m_cost) {
      m_best = record;
      m_cost = cost;
      m_equal = 1;
    } else if (cost == m_cost && (*m_random)() % ++m_equal == 0) {
      m_best = record;
    }
  }
  const EndpointRecord* best() const { return m_best; }
  bool IsCheaperThan(const CheapestCandidate& other) const {
    return m_best != nullptr &&
           (other.m_best == nullptr || m_cost < other.m_cost);
  }

 private:
  const RandomHook* m_random;
  const EndpointRecord* m_best = nullptr;
  double m_cost = 0;
  uint64_t m_equal = 1;
};

}  // namespace

EndpointPicker::EndpointPicker(const EndpointDirectory* directory,
                               const EndpointLimiter* limiter,
                               GatewayLocation location,
                               RandomHook random)
    : m_directory(directory),
      m_limiter(limiter),
      m_location(std::move(location)),
      m_random(std::move(random)) {}

double EndpointPicker::DistanceCost(const EndpointPickQuery& query,
                                    std::string_view domain) const {
  if (domain == m_location.failure_domain) {
    return 0;
  }
  const auto region = m_location.regions.find(domain);
  const bool same_region =
      region != m_location.regions.end() && region->second == m_location.region;
  if (same_region) {
    return kOtherDomainCost;
  }
  return query.is_stream ? kOtherRegionStreamCost : kOtherRegionCallCost;
}

EndpointChoice EndpointPicker::PickForAttempt(
    const EndpointPickQuery& query) const {
  const EndpointChoice picked = PickCheapest(query);
  if (picked.endpoint != nullptr || query.versions == RolloutRule{}) {
    return picked;
  }
  const bool may_use_others =
      query.versions.kind == RolloutRule::Kind::kPreferred ||
      IsOnlyVersion(query);
  if (!may_use_others) {
    return picked;
  }
  EndpointPickQuery any = query;
  any.versions = {};
  return PickCheapest(any);
}

size_t EndpointPicker::PreferredLimit(const EndpointPickQuery& query) const {
  const auto count = std::ranges::count_if(
      m_directory->FindByService(query.service),
      [&](const EndpointRecord* record) {
        return m_directory->IsUsable(*record) &&
               query.versions.Allows(record->entry.version);
      });
  return static_cast<size_t>(
      std::ceil(static_cast<double>(count) * query.versions.endpoint_share));
}

bool EndpointPicker::IsOnlyVersion(const EndpointPickQuery& query) const {
  return std::ranges::all_of(m_directory->FindByService(query.service),
                             [&](const EndpointRecord* record) {
                               return record->entry.version ==
                                      query.versions.version;
                             });
}

EndpointChoice EndpointPicker::PickCheapest(
    const EndpointPickQuery& query) const {
  CheapestCandidate healthy(&m_random);
  CheapestCandidate suspect(&m_random);
  CheapestCandidate limited(&m_random);
  const bool is_limited = query.versions.endpoint_share < 1;
  size_t remaining = is_limited ? PreferredLimit(query) : 0;
  for (const EndpointRecord* record :
       m_directory->FindByService(query.service)) {
    const EndpointEntry& entry = record->entry;
    if (!m_directory->IsUsable(*record) ||
        !query.versions.Allows(entry.version)) {
      continue;
    }
    if (is_limited && remaining-- == 0) {
      break;
    }
    if (Contains(query.avoid, entry.id)) {
      continue;
    }
    const double load =
        record->open_attempts + (kBackupWeight * record->open_backups);
    const double cost = load + DistanceCost(query, entry.failure_domain) +
                        (kFailureCost * record->failure_share);
    const bool is_suspect = m_directory->IsSuspect(*record);
    if (m_limiter == nullptr || m_limiter->MaySend(*record)) {
      (is_suspect ? suspect : healthy).Offer(record, cost);
    } else if (!is_suspect && m_limiter->MayAsk(*record)) {
      limited.Offer(record, cost);
    }
  }
  return {
      .endpoint = healthy.best() != nullptr ? healthy.best() : suspect.best(),
      .needs_permit =
          limited.IsCheaperThan(healthy) ? limited.best() : nullptr};
}

const EndpointRecord* EndpointPicker::PickForBackup(
    const EndpointRecord& primary,
    const RolloutRule& versions) const {
  CheapestCandidate healthy(&m_random);
  for (const EndpointRecord* record :
       m_directory->FindByService(primary.entry.service)) {
    if (!m_directory->IsUsable(*record) || m_directory->IsSuspect(*record) ||
        record->rate_limit ||
        record->entry.failure_domain == primary.entry.failure_domain ||
        !versions.Allows(record->entry.version)) {
      continue;
    }
    // The copy may become the run, so both count alike here. The distance to
    // this gateway matters only for the few runs that move to their copy.
    healthy.Offer(record, record->open_attempts + record->open_backups);
  }
  return healthy.best();
}

}  // namespace bramleybank
