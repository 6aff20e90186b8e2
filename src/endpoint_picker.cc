// Costs are in units of requests that an endpoint works on.
#include "endpoint_picker.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "endpoint_directory.h"

namespace bramleybank {
namespace {

// A request leaves its failure domain when that saves this much work.
constexpr double kOtherDomainCost = 0.5;
// Bytes between regions are paid for, and a round trip takes 40 ms. That is
// little for a stream of some seconds and much for a call.
constexpr double kOtherRegionStreamCost = 1;
constexpr double kOtherRegionCallCost = 2;
// A copy takes memory but no steps of the engine; memory binds first.
constexpr double kBackupWeight = 1;
// Work that an endpoint of another gateway is taken to have beyond the mean, so
// that it is used only when the own ones are clearly busier.
constexpr double kForeignPremium = 0.5;
// What an endpoint that fails all its requests costs.
constexpr double kFailureCost = 12;

bool Contains(const std::vector<std::string>* ids, const std::string& id) {
  return ids != nullptr && std::ranges::find(*ids, id) != ids->end();
}

/// Keeps the cheapest candidate; equal ones have equal chances.
class Cheapest {
 public:
  explicit Cheapest(const RandomHook* random) : m_random(random) {}

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

 private:
  const RandomHook* m_random;
  const EndpointRecord* m_best = nullptr;
  double m_cost = 0;
  uint64_t m_equal = 1;
};

}  // namespace

EndpointPicker::EndpointPicker(const EndpointDirectory* directory,
                               GatewayPlace place,
                               RandomHook random)
    : m_directory(directory),
      m_place(std::move(place)),
      m_random(std::move(random)) {}

double EndpointPicker::DistanceCost(const EndpointPickQuery& query,
                                    std::string_view domain) const {
  if (domain == m_place.failure_domain) {
    return 0;
  }
  const auto region = m_place.regions.find(domain);
  const bool same_region =
      region != m_place.regions.end() && region->second == m_place.region;
  if (same_region) {
    return kOtherDomainCost;
  }
  return query.is_stream ? kOtherRegionStreamCost : kOtherRegionCallCost;
}

void EndpointPicker::SetRanks(const PeerRank& in_domain,
                              const PeerRank& in_fleet) {
  m_in_domain = in_domain;
  m_in_fleet = in_fleet;
}

std::vector<EndpointPicker::Candidate> EndpointPicker::Candidates(
    std::string_view service) const {
  std::vector<Candidate> candidates;
  for (const EndpointRecord* record : m_directory->OfService(service)) {
    if (m_directory->IsUsable(*record)) {
      candidates.push_back({.record = record, .is_own = true});
    }
  }
  std::ranges::sort(candidates, {}, [](const Candidate& candidate) {
    return std::tie(candidate.record->entry.failure_domain,
                    candidate.record->entry.address);
  });
  for (auto begin = candidates.begin(); begin != candidates.end();) {
    const std::string& domain = begin->record->entry.failure_domain;
    const auto end =
        std::find_if(begin, candidates.end(), [&](const Candidate& candidate) {
          return candidate.record->entry.failure_domain != domain;
        });
    const PeerRank& peers =
        domain == m_place.failure_domain ? m_in_domain : m_in_fleet;
    // With fewer endpoints than gateways each uses all of them.
    const auto size = static_cast<size_t>(end - begin);
    for (size_t i = 0; size >= peers.count && i < size; ++i) {
      begin[static_cast<ptrdiff_t>(i)].is_own = i % peers.count == peers.rank;
    }
    begin = end;
  }
  return candidates;
}

double EndpointPicker::ForeignWork(
    const std::vector<Candidate>& candidates) const {
  // The other gateways are taken to be as busy as this one.
  double work = 0;
  double own = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.is_own) {
      work += candidate.record->open_attempts + candidate.record->open_backups;
      ++own;
    }
  }
  return own > 0 ? (work / own) + kForeignPremium : 0;
}

const EndpointRecord* EndpointPicker::PickForAttempt(
    const EndpointPickQuery& query) const {
  Cheapest sound(&m_random);
  Cheapest suspect(&m_random);
  const std::vector<Candidate> candidates = Candidates(query.service);
  const double foreign_work = ForeignWork(candidates);
  for (const auto& [record, is_own] : candidates) {
    const EndpointEntry& entry = record->entry;
    if (Contains(query.avoid, entry.id) ||
        entry.failure_domain == query.other_than_domain) {
      continue;
    }
    const double work = record->open_attempts +
                        (kBackupWeight * record->open_backups) +
                        (is_own ? 0 : foreign_work);
    const double cost = work + DistanceCost(query, entry.failure_domain) +
                        (kFailureCost * record->failure_share);
    (m_directory->IsSuspect(*record) ? suspect : sound).Offer(record, cost);
  }
  return sound.best() != nullptr ? sound.best() : suspect.best();
}

const EndpointRecord* EndpointPicker::PickForBackup(
    const EndpointRecord& primary) const {
  Cheapest sound(&m_random);
  const std::vector<Candidate> candidates = Candidates(primary.entry.service);
  const double foreign_work = ForeignWork(candidates);
  for (const auto& [record, is_own] : candidates) {
    if (m_directory->IsSuspect(*record) ||
        record->entry.failure_domain == primary.entry.failure_domain) {
      continue;
    }
    // The copy may become the run, so both count alike here. The distance to
    // this gateway matters only for the few runs that move.
    const double work = record->open_attempts + record->open_backups +
                        (is_own ? 0 : foreign_work);
    sound.Offer(record, work);
  }
  return sound.best();
}

}  // namespace bramleybank
