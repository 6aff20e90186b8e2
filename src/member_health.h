// Local health of this daemon, from which the protocol's timeouts are scaled.
#ifndef BRAMLEYBANK_SRC_MEMBER_HEALTH_H_
#define BRAMLEYBANK_SRC_MEMBER_HEALTH_H_

#include <array>
#include <cstddef>

namespace bramleybank {

/// Health score of this daemon. When its timers run late, or its probes to most
/// members fail, the fault is more likely its own than that of the other
/// members, so its timeouts are multiplied.
class MemberHealth {
 public:
  /// Records the result of a probe. Members are probed in turn, so recent
  /// results belong to different members.
  void OnProbeResult(bool answered);
  /// Records that a timer ran late by a fraction of a second.
  void OnLateTimer();
  /// Records that this process did not run for a while.
  void OnPause();

  /// @returns the factor for all timeouts, 1 to 4.
  int multiplier() const { return 1 + m_score; }

 private:
  bool MostProbesFail() const;

  static constexpr size_t kWindow = 6;

  // Ring buffer of the most recent probe results.
  std::array<bool, kWindow> m_answered{};
  size_t m_count = 0;
  // 0 means healthy.
  int m_score = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_HEALTH_H_
