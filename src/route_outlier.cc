// Triggers, limits and recovery of outlier ejection.
#include "route_outlier.h"

#include <algorithm>

namespace bramleybank {
namespace {

constexpr int kFailurePoints = 1;
// A failed connect is rarely caused by the request itself.
constexpr int kConnectFailurePoints = 2;
constexpr int kEjectionPoints = 3;
// Without polls a probe costs a caller's request, so the probe is delayed by
// this factor.
constexpr int kUnpolledFactor = 4;
// An endpoint that fails intermittently is detected by its failure rate.
constexpr double kEjectionFailureRate = 0.5;
constexpr double kMinFailureRateSamples = 8;
constexpr uint8_t kMaxEjectionExponent = 6;
// The state of an endpoint without observations is kept for this long, so that
// an endpoint that fails only under load is ejected for longer each time.
constexpr std::chrono::minutes kIdleStateLifetime{10};

}  // namespace

OutlierDetector::OutlierDetector(ClockHook now, GroupSizeHook group_size)
    : m_now(std::move(now)), m_group_size(std::move(group_size)) {}

const OutlierDetector::State* OutlierDetector::Find(
    NameId group,
    EndpointHandle endpoint) const {
  const auto it = m_groups.find(group);
  if (it == m_groups.end()) {
    return nullptr;
  }
  const auto found = it->second.find(endpoint.value());
  return found == it->second.end() ? nullptr : &found->second;
}

EndpointHealth OutlierDetector::HealthOf(NameId group,
                                         EndpointHandle endpoint) const {
  const State* state = Find(group, endpoint);
  if (state == nullptr || !state->is_ejected) {
    return EndpointHealth::kUsable;
  }
  const TimePoint now = m_now();
  const bool is_polled = state->failed_poll_at > now - kOutlierWindow;
  const bool is_over = now >= state->ejected_until &&
                       (state->answered_poll_at > state->ejected_at ||
                        (!is_polled && now >= state->probe_unpolled_at));
  return is_over && !state->probe_in_flight ? EndpointHealth::kProbe
                                            : EndpointHealth::kEjected;
}

void OutlierDetector::OnStarted(NameId group, EndpointHandle endpoint) {
  if (HealthOf(group, endpoint) == EndpointHealth::kProbe) {
    m_groups[group][endpoint.value()].probe_in_flight = true;
  }
}

void OutlierDetector::OnFirstToken(NameId group, EndpointHandle endpoint) {
  State& state = m_groups[group][endpoint.value()];
  state.last_observation = m_now();
  state.last_progress = m_now();
  if (state.is_ejected && state.probe_in_flight) {
    state.is_ejected = false;
    state.failure_rate = {};
    state.probe_in_flight = false;
  }
}

void OutlierDetector::OnEnded(NameId group_id,
                              EndpointHandle endpoint,
                              EndOutcome outcome) {
  Group& group = m_groups[group_id];
  State& state = group[endpoint.value()];
  state.last_observation = m_now();
  if (outcome == EndOutcome::kSuccess) {
    OnSuccess(&state);
  } else if (IsFailure(outcome)) {
    OnFailure(group_id, &group, &state,
              outcome == EndOutcome::kConnectFailed ? kConnectFailurePoints
                                                    : kFailurePoints);
  } else {
    state.probe_in_flight = false;
  }
}

void OutlierDetector::OnPoll(NameId group_id,
                             EndpointHandle endpoint,
                             bool is_answered) {
  Group& group = m_groups[group_id];
  State& state = group[endpoint.value()];
  state.last_observation = m_now();
  if (is_answered) {
    state.answered_poll_at = m_now();
    return;
  }
  state.failed_poll_at = m_now();
  if (!state.is_ejected) {
    OnFailure(group_id, &group, &state, kConnectFailurePoints);
  }
}

void OutlierDetector::OnSuccess(State* state) {
  state->last_progress = m_now();
  state->failure_rate.Add(0, m_now());
  state->failure_points = 0;
  // Streams that were opened before the ejection may still succeed; only the
  // probe shows that the endpoint accepts new work.
  if (state->is_ejected && state->probe_in_flight) {
    state->is_ejected = false;
    state->failure_rate = {};
  } else if (!state->is_ejected && state->ejection_exponent > 0 &&
             m_now() - state->ejected_until > kMaxEjection) {
    state->ejection_exponent = 0;
  }
  state->probe_in_flight = false;
}

void OutlierDetector::OnFailure(NameId group_id,
                                Group* group,
                                State* state,
                                int points) {
  const TimePoint now = m_now();
  state->last_failure = now;
  state->failure_rate.Add(1, now);
  state->failure_points = static_cast<uint16_t>(
      std::min<int>(state->failure_points + points, UINT16_MAX));
  if (state->is_ejected) {
    if (state->probe_in_flight) {
      state->probe_in_flight = false;
      Eject(state);
    }
    return;
  }
  const bool exceeds_threshold =
      state->failure_points >= kEjectionPoints ||
      (state->failure_rate.Weight(now) >= kMinFailureRateSamples &&
       state->failure_rate.Get() >= kEjectionFailureRate);
  if (IsObserverFault(*group)) {
    m_observer_faults += exceeds_threshold ? 1 : 0;
    RevertRecentEjections(group);
    return;
  }
  if (exceeds_threshold &&
      (ejected_count(group_id) + 1) * 3 <= m_group_size(group_id)) {
    Eject(state);
  }
}

bool OutlierDetector::IsObserverFault(const Group& group) const {
  const TimePoint since = m_now() - kOutlierWindow;
  size_t used = 0;
  size_t failing = 0;
  for (const auto& [endpoint, state] : group) {
    if (state.last_observation > since) {
      ++used;
      failing += state.failure_points > 0 && state.last_failure > since &&
                         state.last_failure >= state.last_progress
                     ? 1
                     : 0;
    }
  }
  return failing * 2 > used;
}

void OutlierDetector::RevertRecentEjections(Group* group) {
  const TimePoint since = m_now() - kOutlierWindow;
  for (auto& [endpoint, state] : *group) {
    if (state.is_ejected && state.ejected_at > since) {
      state.is_ejected = false;
      state.probe_in_flight = false;
      state.ejection_exponent -= state.ejection_exponent > 0 ? 1 : 0;
    }
  }
}

void OutlierDetector::Eject(State* state) {
  const TimePoint now = m_now();
  const Duration length = std::min<Duration>(
      kMinEjection * (1U << state->ejection_exponent), kMaxEjection);
  state->is_ejected = true;
  state->ejected_at = now;
  state->ejected_until = now + length;
  state->probe_unpolled_at = now + (length * kUnpolledFactor);
  state->ejection_exponent =
      std::min<uint8_t>(state->ejection_exponent + 1, kMaxEjectionExponent);
  ++m_total_ejections;
}

void OutlierDetector::Sweep() {
  const TimePoint since = m_now() - kIdleStateLifetime;
  for (auto& [id, group] : m_groups) {
    std::erase_if(group, [since](const auto& entry) {
      return entry.second.last_observation < since &&
             entry.second.ejected_until < since;
    });
  }
  std::erase_if(m_groups,
                [](const auto& entry) { return entry.second.empty(); });
}

size_t OutlierDetector::ejected_count(NameId group) const {
  const auto it = m_groups.find(group);
  return it == m_groups.end() ? 0
                              : static_cast<size_t>(std::ranges::count_if(
                                    it->second, [](const auto& entry) {
                                      return entry.second.is_ejected;
                                    }));
}

size_t OutlierDetector::tracked_count() const {
  size_t count = 0;
  for (const auto& [id, group] : m_groups) {
    count += group.size();
  }
  return count;
}

}  // namespace bramleybank
