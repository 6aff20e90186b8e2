// Chooses the endpoint of an attempt, and the one that keeps a copy of a run.
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
struct EndpointRecord;

/// Place of this gateway, and the region of each failure domain.
struct GatewayLocation {
  std::string failure_domain;
  std::string region;
  std::map<std::string, std::string, std::less<>> regions;

  friend bool operator==(const GatewayLocation&,
                         const GatewayLocation&) = default;
};

/// What is asked of an endpoint.
struct EndpointPickQuery {
  std::string_view service;
  /// Ids that this request has tried.
  const std::vector<std::string>* avoid = nullptr;
  bool is_stream = false;
  /// Versions that the request may go to.
  RolloutRule versions;
};

/// Least loaded first, near before far. Answers the load of bursts and of lost
/// failure domains: requests spread by the open work that this gateway knows
/// of, and leave their domain once it is busier by the price of the distance.
class EndpointPicker {
 public:
  EndpointPicker(const EndpointDirectory* directory,
                 GatewayLocation place,
                 RandomHook random);

  /// @returns the endpoint for an attempt, or null when none is usable.
  const EndpointRecord* PickForAttempt(const EndpointPickQuery& query) const;
  /// @returns an engine for the copy of a run at `primary`: never in its
  /// failure domain, since domains fail as a whole. Null when there is none.
  /// @param versions that the run may go on with.
  const EndpointRecord* PickForBackup(const EndpointRecord& primary,
                                      const RolloutRule& versions = {}) const;

 private:
  const EndpointRecord* PickAmong(const EndpointPickQuery& query) const;
  /// @returns how many endpoints of the preferred version may be used.
  size_t PreferredCount(const EndpointPickQuery& query) const;
  /// @returns whether no endpoint of another version is known.
  bool IsOnlyVersion(const EndpointPickQuery& query) const;
  double DistanceCost(const EndpointPickQuery& query,
                      std::string_view domain) const;

  const EndpointDirectory* m_directory;
  const GatewayLocation m_place;
  const RandomHook m_random;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_PICKER_H_
