// State machine for the probe of one member.
#ifndef BRAMLEYBANK_SRC_MEMBER_PROBE_H_
#define BRAMLEYBANK_SRC_MEMBER_PROBE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "hooks.h"

namespace bramleybank {

inline constexpr Duration kProbePeriod = std::chrono::seconds(1);

/// Runs one probe at a time. It starts with a direct ping. After 300 ms a
/// second direct ping and pings through other members follow, after 600 ms a
/// third direct ping, and after 1 s the probe has failed. With 10% packet loss,
/// a probe with one direct and three indirect pings fails 8 times in 1,000 by
/// calculation; with two more direct pings it fails 0.3 times in 1,000.
class MemberProbe {
 public:
  enum class Step { kWait, kPing, kPingAndIndirect, kFailed };

  /// Starts a probe. The first direct ping is sent by the calling code.
  void Start(std::string_view peer, uint64_t sequence, TimePoint now);
  void Cancel() { m_stage = 0; }

  /// @param multiplier factor by which the timeouts are extended.
  /// @returns the step that is due; kWait when no probe is active.
  Step Advance(TimePoint now, int multiplier);

  /// @param target the member that the acknowledgement reports as alive.
  /// @returns whether it answers the active probe, which then has ended.
  bool OnAck(uint64_t sequence, std::string_view target);

  bool is_active() const { return m_stage > 0; }
  const std::string& peer() const { return m_peer; }
  uint64_t sequence() const { return m_sequence; }

 private:
  std::string m_peer;
  uint64_t m_sequence = 0;
  TimePoint m_started;
  // Number of direct pings sent so far; 0 when no probe is active.
  int m_stage = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_PROBE_H_
