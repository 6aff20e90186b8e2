// Outlier ejection: endpoints that fail while the rest of their group works get
// no requests for some time.
#ifndef BRAMLEYBANK_SRC_ROUTE_OUTLIER_H_
#define BRAMLEYBANK_SRC_ROUTE_OUTLIER_H_

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "bramleybank/limits.h"
#include "decaying_mean.h"
#include "hooks.h"
#include "route_endpoint_table.h"

namespace bramleybank {

enum class EndpointHealth : uint8_t {
  kUsable,
  kEjected,
  /// The ejection is over; one request may try the endpoint.
  kProbe,
};

/// Ejects endpoints after 3 failures or 2 failed connects without a success in
/// between, or when half of the recent requests fail. Each ejection lasts twice
/// as long as the previous one. At most a third of a group is ejected. When
/// more than half of the recently used endpoints fail at the same time, the
/// fault is likely on the observer's side, that is, in this daemon or its
/// network: nothing is ejected, and ejections of the same window are reverted.
class OutlierDetector {
 public:
  /// @returns the number of endpoints of a group that this daemon may use.
  using GroupSizeHook = std::function<size_t(NameId group)>;

  OutlierDetector(ClockHook now, GroupSizeHook group_size);

  EndpointHealth HealthOf(NameId group, EndpointHandle endpoint) const;

  /// Reports a started attempt; required so that only one attempt probes an
  /// ejected endpoint.
  void OnStarted(NameId group, EndpointHandle endpoint);
  /// Reports a first token. It shows that the endpoint is reachable and works
  /// long before the stream ends. It ends a probe successfully, but a failure
  /// after it ejects the endpoint at once.
  void OnFirstToken(NameId group, EndpointHandle endpoint);
  void OnEnded(NameId group, EndpointHandle endpoint, EndOutcome outcome);
  /// Reports the result of `GET /load`. A failed poll counts like a failed
  /// connect, so that a lost endpoint is detected without a caller's request.
  /// An answered poll allows the probe after an ejection, but does not offset
  /// earlier failures.
  void OnPoll(NameId group, EndpointHandle endpoint, bool is_answered);
  /// Drops the state of endpoints that have no recent observation or ejection.
  /// Call it periodically.
  void Sweep();

  size_t ejected_count(NameId group) const;
  uint64_t total_ejections() const { return m_total_ejections; }
  /// Number of failures that would have caused an ejection but were attributed
  /// to the observer.
  uint64_t observer_faults() const { return m_observer_faults; }
  size_t tracked_count() const;

 private:
  struct State {
    TimePoint last_observation;
    TimePoint last_failure;
    // Time of the last first token or success.
    TimePoint last_progress;
    TimePoint ejected_at;
    TimePoint ejected_until;
    // Earliest probe when the endpoint is not polled.
    TimePoint probe_unpolled_at;
    TimePoint answered_poll_at;
    TimePoint failed_poll_at;
    // Recent results: 1 for a failure, 0 for a success.
    DecayingMean failure_rate;
    // Exponent of the next ejection's length.
    uint8_t ejection_exponent = 0;
    // Points for the failures since the last success.
    uint16_t failure_points = 0;
    bool is_ejected = false;
    bool probe_in_flight = false;
  };
  using Group = std::unordered_map<uint64_t, State>;

  void OnSuccess(State* state);
  void OnFailure(NameId group_id, Group* group, State* state, int points);
  bool IsObserverFault(const Group& group) const;
  void RevertRecentEjections(Group* group);
  void Eject(State* state);
  const State* Find(NameId group, EndpointHandle endpoint) const;

  ClockHook m_now;
  GroupSizeHook m_group_size;
  // Only endpoints with observations are kept; Sweep() drops the idle ones.
  std::unordered_map<NameId, Group> m_groups;
  uint64_t m_total_ejections = 0;
  uint64_t m_observer_faults = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_OUTLIER_H_
