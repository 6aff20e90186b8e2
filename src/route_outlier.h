// Outlier ejection: endpoints that fail while the rest of their group works
// get no requests for a time.
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

/// Ejects endpoints after 3 failures or 2 failed connects without a success
/// between, or when half of the recent requests fail; each time for twice as
/// long. At
/// most a third of a group is ejected. When more than half of the endpoints
/// that were used lately fail at once, the fault is likely on the observer's
/// side: nothing is ejected, and ejections of the same window are taken back.
class OutlierDetector {
 public:
  /// @returns the number of endpoints of a group that this daemon may use.
  using GroupSizeHook = std::function<size_t(NameId group)>;

  OutlierDetector(ClockHook now, GroupSizeHook group_size);

  EndpointHealth HealthOf(NameId group, EndpointHandle endpoint) const;

  /// Reports a started attempt; needed so that a probe stays single.
  void OnStarted(NameId group, EndpointHandle endpoint);
  /// Shows that the endpoint is reached and works, long before its streams end.
  /// It ends a probe, but a failure after it ejects at once.
  void OnFirstToken(NameId group, EndpointHandle endpoint);
  void OnEnded(NameId group, EndpointHandle endpoint, EndOutcome outcome);
  /// Result of `GET /load`. A failed poll counts like a failed connect, so that
  /// a lost endpoint is found without a caller's request; an answered one
  /// allows the probe after an ejection, but doesn't make up for failures.
  void OnPoll(NameId group, EndpointHandle endpoint, bool is_answered);
  /// Forgets endpoints without news and without an ejection; call it now and
  /// then.
  void Sweep();

  size_t ejected_count(NameId group) const;
  uint64_t total_ejections() const { return m_total_ejections; }
  /// How often an ejection was left out or taken back as an observer's fault.
  uint64_t observer_faults() const { return m_observer_faults; }
  size_t tracked_count() const;

 private:
  struct State {
    TimePoint last_news;
    TimePoint last_failure;
    // Last first token or success.
    TimePoint last_working;
    TimePoint ejected_at;
    TimePoint ejected_until;
    // Probes start here when the endpoint is not polled.
    TimePoint probe_unpolled_at;
    TimePoint answered_poll_at;
    TimePoint failed_poll_at;
    // Successes and failures of the recent past.
    DecayingMean errors;
    // Exponent of the next ejection's length.
    uint8_t ejections = 0;
    // Points of the failures since the last success.
    uint16_t failure_points = 0;
    bool is_ejected = false;
    bool probe_in_flight = false;
  };
  using Group = std::unordered_map<uint64_t, State>;

  void OnSuccess(State* state);
  void OnFailure(NameId group_id, Group* group, State* state, int points);
  bool IsObserverFault(const Group& group) const;
  void TakeBack(Group* group);
  void Eject(State* state);
  const State* Find(NameId group, EndpointHandle endpoint) const;

  ClockHook m_now;
  GroupSizeHook m_group_size;
  // Only endpoints with outcomes are kept; Sweep() drops the idle ones.
  std::unordered_map<NameId, Group> m_groups;
  uint64_t m_total_ejections = 0;
  uint64_t m_observer_faults = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_OUTLIER_H_
