// Chooses the endpoint for an attempt and the one that holds a copy of a run.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_PICKER_H_
#define BRAMLEYBANK_SRC_ENDPOINT_PICKER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"
#include "rollout_rule.h"

namespace bramleybank {

class EndpointDirectory;
class EndpointLimiter;
struct EndpointRecord;

/// Location of this gateway, and the region of each failure domain.
struct GatewayLocation {
  std::string failure_domain;
  std::string region;
  std::map<std::string, std::string, std::less<>> regions;

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
/// distance. This spreads bursts and the load of lost failure domains by the
/// requests in flight that this gateway knows of. Requests leave the gateway's
/// domain once its load exceeds that of another by the cost of the distance.
class EndpointPicker {
 public:
  /// @param limiter null when no endpoint limits its rate.
  EndpointPicker(const EndpointDirectory* directory,
                 const EndpointLimiter* limiter,
                 GatewayLocation location,
                 RandomHook random);

  EndpointChoice PickForAttempt(const EndpointPickQuery& query) const;
  /// @returns an engine for the copy of a run at `primary`, or null if there is
  /// none. It is never in the failure domain of `primary`, since domains fail
  /// as a whole.
  /// @param versions on which the run may be resumed.
  const EndpointRecord* PickForBackup(const EndpointRecord& primary,
                                      const RolloutRule& versions = {}) const;

 private:
  EndpointChoice PickCheapest(const EndpointPickQuery& query) const;
  /// @returns how many endpoints of the preferred version may get requests.
  size_t PreferredLimit(const EndpointPickQuery& query) const;
  /// @returns whether no endpoint of the service has another version.
  bool IsOnlyVersion(const EndpointPickQuery& query) const;
  double DistanceCost(const EndpointPickQuery& query,
                      std::string_view domain) const;

  const EndpointDirectory* m_directory;
  const EndpointLimiter* m_limiter;
  const GatewayLocation m_location;
  const RandomHook m_random;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_PICKER_H_
