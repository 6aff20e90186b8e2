// Costs are in units of an endpoint's slots in use.
#include "endpoint_picker.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "endpoint_directory.h"

namespace bramleybank {
namespace {

// A request leaves its failure domain when that saves this share of the slots.
constexpr double kOtherDomainCost = 0.1;
// Bytes between regions are paid for, and a round trip takes 40 ms.
constexpr double kOtherRegionCost = 0.35;
// A copy takes memory but no steps of the engine.
constexpr double kBackupWeight = 0.5;
// An endpoint that fails all its requests costs as much as two full ones.
constexpr double kFailureCost = 2;

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

double EndpointPicker::DistanceCost(std::string_view domain) const {
  if (domain == m_place.failure_domain) {
    return 0;
  }
  const auto region = m_place.regions.find(domain);
  const bool same_region =
      region != m_place.regions.end() && region->second == m_place.region;
  return same_region ? kOtherDomainCost : kOtherRegionCost;
}

double EndpointPicker::AttemptCost(const EndpointRecord& record) const {
  const double work =
      record.open_attempts + (kBackupWeight * record.open_backups);
  return (work / std::max(1, record.entry.slots)) +
         DistanceCost(record.entry.failure_domain) +
         (kFailureCost * record.failure_share);
}

const EndpointRecord* EndpointPicker::PickForAttempt(
    const EndpointPickQuery& query) const {
  Cheapest sound(&m_random);
  Cheapest suspect(&m_random);
  for (const EndpointRecord* record : m_directory->OfService(query.service)) {
    if (!m_directory->IsUsable(*record) ||
        Contains(query.avoid, record->entry.id) ||
        record->entry.failure_domain == query.other_than_domain) {
      continue;
    }
    Cheapest& tier = m_directory->IsSuspect(*record) ? suspect : sound;
    tier.Offer(record, AttemptCost(*record));
  }
  return sound.best() != nullptr ? sound.best() : suspect.best();
}

const EndpointRecord* EndpointPicker::PickForBackup(
    const EndpointRecord& primary) const {
  Cheapest sound(&m_random);
  for (const EndpointRecord* record :
       m_directory->OfService(primary.entry.service)) {
    if (!m_directory->IsUsable(*record) || m_directory->IsSuspect(*record) ||
        record->entry.failure_domain == primary.entry.failure_domain) {
      continue;
    }
    // The copy may become the run, so both count alike here. The distance to
    // this gateway matters only for the few runs that move.
    const double work = record->open_attempts + record->open_backups;
    sound.Offer(record, work / std::max(1, record->entry.slots));
  }
  return sound.best();
}

}  // namespace bramleybank
