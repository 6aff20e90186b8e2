// Triggers, limits and recovery of outlier ejection.
#include "route_outlier.h"

#include <algorithm>

namespace bramleybank {
namespace {

constexpr uint16_t kConsecutiveFailures = 3;
// An endpoint that fails now and then is caught by its share of failures.
constexpr double kErrorShare = 0.5;
constexpr double kMinErrorSamples = 8;
constexpr uint8_t kMaxExponent = 6;
// An endpoint without news keeps the memory of its ejections this long, so
// that one that fails under load only is ejected for longer each time.
constexpr std::chrono::minutes kForgetAfter{10};

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
  const bool is_over = m_now() >= state->ejected_until;
  return is_over && !state->probe_in_flight ? EndpointHealth::kProbe
                                            : EndpointHealth::kEjected;
}

void OutlierDetector::OnStarted(NameId group, EndpointHandle endpoint) {
  if (HealthOf(group, endpoint) == EndpointHealth::kProbe) {
    m_groups[group][endpoint.value()].probe_in_flight = true;
  }
}

void OutlierDetector::OnEnded(NameId group_id,
                              EndpointHandle endpoint,
                              EndOutcome outcome) {
  Group& group = m_groups[group_id];
  State& state = group[endpoint.value()];
  state.last_news = m_now();
  if (outcome == EndOutcome::kSuccess) {
    OnSuccess(&state);
  } else if (IsFailure(outcome)) {
    OnFailure(group_id, &group, &state);
  } else {
    state.probe_in_flight = false;
  }
}

void OutlierDetector::OnSuccess(State* state) {
  state->errors.Add(0, m_now());
  state->consecutive_failures = 0;
  // Streams opened before the ejection may still end well; only the probe
  // shows that the endpoint takes new work.
  if (state->is_ejected && state->probe_in_flight) {
    state->is_ejected = false;
    state->errors = {};
  } else if (!state->is_ejected && state->ejections > 0 &&
             m_now() - state->ejected_until > kMaxEjection) {
    state->ejections = 0;
  }
  state->probe_in_flight = false;
}

void OutlierDetector::OnFailure(NameId group_id, Group* group, State* state) {
  const TimePoint now = m_now();
  state->last_failure = now;
  state->errors.Add(1, now);
  state->consecutive_failures = static_cast<uint16_t>(
      std::min<int>(state->consecutive_failures + 1, UINT16_MAX));
  if (state->is_ejected) {
    if (state->probe_in_flight) {
      state->probe_in_flight = false;
      Eject(state);
    }
    return;
  }
  const bool triggered = state->consecutive_failures >= kConsecutiveFailures ||
                         (state->errors.Weight(now) >= kMinErrorSamples &&
                          state->errors.Get() >= kErrorShare);
  if (IsObserverFault(*group)) {
    m_observer_faults += triggered ? 1 : 0;
    TakeBack(group);
    return;
  }
  if (triggered &&
      (ejected_count(group_id) + 1) * 3 <= m_group_size(group_id)) {
    Eject(state);
  }
}

bool OutlierDetector::IsObserverFault(const Group& group) const {
  const TimePoint since = m_now() - kOutlierWindow;
  size_t used = 0;
  size_t failing = 0;
  for (const auto& [endpoint, state] : group) {
    if (state.last_news > since) {
      ++used;
      failing += state.consecutive_failures > 0 && state.last_failure > since;
    }
  }
  return failing * 2 > used;
}

void OutlierDetector::TakeBack(Group* group) {
  const TimePoint since = m_now() - kOutlierWindow;
  for (auto& [endpoint, state] : *group) {
    if (state.is_ejected && state.ejected_at > since) {
      state.is_ejected = false;
      state.probe_in_flight = false;
      state.ejections -= state.ejections > 0 ? 1 : 0;
    }
  }
}

void OutlierDetector::Eject(State* state) {
  const TimePoint now = m_now();
  const Duration length =
      std::min<Duration>(kMinEjection * (1U << state->ejections), kMaxEjection);
  state->is_ejected = true;
  state->ejected_at = now;
  state->ejected_until = now + length;
  state->ejections = std::min<uint8_t>(state->ejections + 1, kMaxExponent);
  ++m_total_ejections;
}

void OutlierDetector::Sweep() {
  const TimePoint since = m_now() - kForgetAfter;
  for (auto& [id, group] : m_groups) {
    std::erase_if(group, [since](const auto& entry) {
      return entry.second.last_news < since &&
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
