// Whether this daemon's own view of the others can be trusted.
#ifndef BRAMLEYBANK_SRC_MEMBER_HEALTH_H_
#define BRAMLEYBANK_SRC_MEMBER_HEALTH_H_

#include <array>
#include <cstddef>

namespace bramleybank {

/// Score of the local health. A daemon whose timers run late, or whose probes
/// to most members fail, more likely has a fault of its own; its timeouts are
/// multiplied.
class MemberHealth {
 public:
  /// One probe of a member ended. Probes go to the members in turn, so recent
  /// results belong to different members.
  void OnProbe(bool answered);
  /// A timer ran late by a part of a second.
  void OnLateTimer();
  /// This process did not run for a while.
  void OnPause();

  /// @returns the factor for all timeouts, 1 to 4.
  int multiplier() const { return 1 + m_score; }

 private:
  bool MostProbesFail() const;

  static constexpr size_t kWindow = 6;

  // Ring of the last results.
  std::array<bool, kWindow> m_answered{};
  size_t m_count = 0;
  // 0 is healthy.
  int m_score = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_HEALTH_H_
