// Chooses the endpoint for an attempt and the one that holds a copy of a run.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_PICKER_H_
#define BRAMLEYBANK_SRC_ENDPOINT_PICKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"
#include "rollout_rule.h"

namespace bramleybank {

class EndpointDirectory;
class EndpointLimiter;
class EngineLoads;
struct EndpointRecord;
struct PlacementRequest;

/// Location of this gateway, and the region of each failure domain.
struct GatewayLocation {
  std::string failure_domain;
  std::string region;
  std::map<std::string, std::string, std::less<>> regions;

  /// @returns whether the domain is in the same region.
  bool IsSameRegion(std::string_view domain) const {
    const auto it = regions.find(domain);
    return domain == failure_domain ||
           (it != regions.end() && it->second == region);
  }
  friend bool operator==(const GatewayLocation&,
                         const GatewayLocation&) = default;
};

/// What a request needs from its endpoint.
struct EndpointPickQuery {
  std::string_view service;
  /// Ids of the endpoints that this request has already tried.
  const std::vector<std::string>* avoid = nullptr;
  bool is_stream = false;
  /// Versions of the endpoint software that the request may go to.
  RolloutRule versions;
  /// What the choice of an engine depends on; null for other endpoints, and
  /// when gateways do not share the loads of engines.
  const PlacementRequest* placement = nullptr;
};

/// Outcome of a choice.
struct EndpointChoice {
  /// The endpoint for an attempt, or null if none is usable.
  const EndpointRecord* endpoint = nullptr;
  /// An endpoint that would be better but has a rate limit and no permit, for
  /// which one may be requested; or null.
  const EndpointRecord* needs_permit = nullptr;

  friend bool operator==(const EndpointChoice&,
                         const EndpointChoice&) = default;
};

/// Picks the endpoint with the lowest cost: its load plus the cost of its
/// distance. The load of an engine is that of all gateways, if they share it;
/// an engine without room for the request is picked only when none has room.
/// The load of any other endpoint is the requests of this gateway. Requests
/// leave the gateway's domain once its load exceeds that of another by the cost
/// of the distance.
class EndpointPicker {
 public:
  /// @param limiter null when no endpoint limits its rate.
  /// @param loads null when gateways do not share the loads of engines.
  EndpointPicker(const EndpointDirectory* directory,
                 const EndpointLimiter* limiter,
                 GatewayLocation location,
                 RandomHook random,
                 const EngineLoads* loads = nullptr);

  EndpointChoice PickForAttempt(const EndpointPickQuery& query) const;
  /// @returns an engine for the copy of a run at `primary`, or null if there is
  /// none, or none with memory to spare. It is never in the failure domain of
  /// `primary`, since domains fail as a whole.
  /// @param versions on which the run may be resumed.
  /// @param placement see EndpointPickQuery.
  const EndpointRecord* PickForBackup(
      const EndpointRecord& primary,
      const RolloutRule& versions = {},
      const PlacementRequest* placement = nullptr) const;

 private:
  /// Cost of an endpoint, and whether it has room for the request.
  struct Offer {
    double cost = 0;
    bool has_room = true;
  };

  Offer Evaluate(const EndpointPickQuery& query,
                 const EndpointRecord& record) const;
  Offer EvaluateEngine(const EndpointPickQuery& query,
                       const EndpointRecord& record) const;
  Offer EvaluateCopy(const EndpointRecord& record,
                     const PlacementRequest* placement) const;
  EndpointChoice PickCheapest(const EndpointPickQuery& query) const;
  /// @returns how many endpoints of the preferred version may get requests.
  size_t PreferredLimit(const EndpointPickQuery& query) const;
  /// @returns whether no endpoint of the service has another version.
  bool IsOnlyVersion(const EndpointPickQuery& query) const;
  enum class Distance : uint8_t { kSameDomain, kSameRegion, kOtherRegion };
  Distance DistanceTo(std::string_view domain) const;

  const EndpointDirectory* m_directory;
  const EndpointLimiter* m_limiter;
  const GatewayLocation m_location;
  const RandomHook m_random;
  const EngineLoads* m_loads;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_PICKER_H_
