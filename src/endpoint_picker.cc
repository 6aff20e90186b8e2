// Costs are in units of requests that an endpoint works on.
#include "endpoint_picker.h"

#include <algorithm>
#include <cmath>
#include <functional>
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
                               GatewayLocation place,
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

const EndpointRecord* EndpointPicker::PickForAttempt(
    const EndpointPickQuery& query) const {
  const EndpointRecord* picked = PickAmong(query);
  if (picked != nullptr || query.versions == RolloutRule{}) {
    return picked;
  }
  const bool may_use_others =
      query.versions.kind == RolloutRule::Kind::kPreferred ||
      IsOnlyVersion(query);
  if (!may_use_others) {
    return nullptr;
  }
  EndpointPickQuery any = query;
  any.versions = {};
  return PickAmong(any);
}

size_t EndpointPicker::PreferredCount(const EndpointPickQuery& query) const {
  const auto count = std::ranges::count_if(
      m_directory->OfService(query.service), [&](const EndpointRecord* record) {
        return m_directory->IsUsable(*record) &&
               query.versions.Allows(record->entry.version);
      });
  return static_cast<size_t>(
      std::ceil(static_cast<double>(count) * query.versions.endpoint_share));
}

bool EndpointPicker::IsOnlyVersion(const EndpointPickQuery& query) const {
  return std::ranges::all_of(
      m_directory->OfService(query.service), [&](const EndpointRecord* record) {
        return record->entry.version == query.versions.version;
      });
}

const EndpointRecord* EndpointPicker::PickAmong(
    const EndpointPickQuery& query) const {
  Cheapest sound(&m_random);
  Cheapest suspect(&m_random);
  const bool is_limited = query.versions.endpoint_share < 1;
  size_t left = is_limited ? PreferredCount(query) : 0;
  for (const EndpointRecord* record : m_directory->OfService(query.service)) {
    const EndpointEntry& entry = record->entry;
    if (!m_directory->IsUsable(*record) ||
        !query.versions.Allows(entry.version)) {
      continue;
    }
    if (is_limited && left-- == 0) {
      break;
    }
    if (Contains(query.avoid, entry.id)) {
      continue;
    }
    const double work =
        record->open_attempts + (kBackupWeight * record->open_backups);
    const double cost = work + DistanceCost(query, entry.failure_domain) +
                        (kFailureCost * record->failure_share);
    (m_directory->IsSuspect(*record) ? suspect : sound).Offer(record, cost);
  }
  return sound.best() != nullptr ? sound.best() : suspect.best();
}

const EndpointRecord* EndpointPicker::PickForBackup(
    const EndpointRecord& primary,
    const RolloutRule& versions) const {
  Cheapest sound(&m_random);
  for (const EndpointRecord* record :
       m_directory->OfService(primary.entry.service)) {
    if (!m_directory->IsUsable(*record) || m_directory->IsSuspect(*record) ||
        record->entry.failure_domain == primary.entry.failure_domain ||
        !versions.Allows(record->entry.version)) {
      continue;
    }
    // The copy may become the run, so both count alike here. The distance to
    // this gateway matters only for the few runs that move.
    sound.Offer(record, record->open_attempts + record->open_backups);
  }
  return sound.best();
}

}  // namespace bramleybank
