// A backup is not held by an engine with a rate limit, at which the run could
// not be resumed at once. Costs are in units of one request in flight at the
// endpoint, or, where gateways share the loads of engines, in units of one
// caller whose wait is all that its route accepts.
#include "endpoint_picker.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "endpoint_directory.h"
#include "endpoint_limiter.h"
#include "engine_loads.h"
#include "placement_estimate.h"

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

// The same where gateways share loads. A caller waits little longer for the
// first event of an engine farther away, so its traffic is what counts.
constexpr double kOtherDomainEngineCost = 0.01;
constexpr double kOtherRegionEngineCost = 0.04;
constexpr double kFailingEngineCost = 1;
// Gateways that do not know of each other's latest choices should not all
// choose the same one of several engines that are nearly alike.
constexpr double kMaxCostJitter = 0.004;

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
                               RandomHook random,
                               const EngineLoads* loads)
    : m_directory(directory),
      m_limiter(limiter),
      m_location(std::move(location)),
      m_random(std::move(random)),
      m_loads(loads) {}

EndpointPicker::Distance EndpointPicker::DistanceTo(
    std::string_view domain) const {
  if (domain == m_location.failure_domain) {
    return Distance::kSameDomain;
  }
  return m_location.IsSameRegion(domain) ? Distance::kSameRegion
                                         : Distance::kOtherRegion;
}

EndpointPicker::Offer EndpointPicker::Evaluate(
    const EndpointPickQuery& query,
    const EndpointRecord& record) const {
  if (m_loads != nullptr && query.placement != nullptr) {
    return EvaluateEngine(query, record);
  }
  double cost = record.open_attempts + (kBackupWeight * record.open_backups) +
                (kFailureCost * record.failure_share);
  switch (DistanceTo(record.entry.failure_domain)) {
    case Distance::kSameDomain:
      break;
    case Distance::kSameRegion:
      cost += kOtherDomainCost;
      break;
    case Distance::kOtherRegion:
      cost += query.is_stream ? kOtherRegionStreamCost : kOtherRegionCallCost;
      break;
  }
  return {.cost = cost};
}

EndpointPicker::Offer EndpointPicker::EvaluateEngine(
    const EndpointPickQuery& query,
    const EndpointRecord& record) const {
  const PlacementEstimate estimate = EstimatePlacement(
      *query.placement, m_loads->Describe(record.key, record.entry.slots));
  double cost = estimate.cost + (kFailingEngineCost * record.failure_share) +
                (kMaxCostJitter * UniformFraction(m_random));
  switch (DistanceTo(record.entry.failure_domain)) {
    case Distance::kSameDomain:
      break;
    case Distance::kSameRegion:
      cost += kOtherDomainEngineCost;
      break;
    case Distance::kOtherRegion:
      cost += kOtherRegionEngineCost;
      break;
  }
  return {.cost = cost, .has_room = estimate.has_room};
}

EndpointPicker::Offer EndpointPicker::EvaluateCopy(
    const EndpointRecord& record,
    const PlacementRequest* placement) const {
  if (m_loads == nullptr || placement == nullptr) {
    // The copy may become the run, so both count alike here. The distance to
    // this gateway matters only for the few runs that move to their copy.
    return {.cost = static_cast<double>(record.open_attempts) +
                    record.open_backups};
  }
  const PlacementEstimate estimate = EstimateCopy(
      *placement, m_loads->Describe(record.key, record.entry.slots));
  return {.cost = estimate.cost + (kMaxCostJitter * UniformFraction(m_random)),
          .has_room = estimate.has_room};
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
  CheapestCandidate full(&m_random);
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
    const auto [cost, has_room] = Evaluate(query, *record);
    const bool is_suspect = m_directory->IsSuspect(*record);
    if (m_limiter == nullptr || m_limiter->MaySend(*record)) {
      CheapestCandidate& sound = has_room ? healthy : full;
      (is_suspect ? suspect : sound).Offer(record, cost);
    } else if (!is_suspect && m_limiter->MayAsk(*record)) {
      limited.Offer(record, cost);
    }
  }
  const CheapestCandidate& sound = healthy.best() != nullptr ? healthy : full;
  return {
      .endpoint = sound.best() != nullptr ? sound.best() : suspect.best(),
      .needs_permit = limited.IsCheaperThan(sound) ? limited.best() : nullptr};
}

const EndpointRecord* EndpointPicker::PickForBackup(
    const EndpointRecord& primary,
    const RolloutRule& versions,
    const PlacementRequest* placement) const {
  CheapestCandidate healthy(&m_random);
  for (const EndpointRecord* record :
       m_directory->FindByService(primary.entry.service)) {
    if (!m_directory->IsUsable(*record) || m_directory->IsSuspect(*record) ||
        record->rate_limit ||
        record->entry.failure_domain == primary.entry.failure_domain ||
        !versions.Allows(record->entry.version)) {
      continue;
    }
    const Offer offer = EvaluateCopy(*record, placement);
    if (offer.has_room) {
      healthy.Offer(record, offer.cost);
    }
  }
  return healthy.best();
}

}  // namespace bramleybank
