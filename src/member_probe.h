// Stages of the probe of one member.
#ifndef BRAMLEYBANK_SRC_MEMBER_PROBE_H_
#define BRAMLEYBANK_SRC_MEMBER_PROBE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "hooks.h"

namespace bramleybank {

inline constexpr Duration kProbePeriod = std::chrono::seconds(1);

/// One probe at a time: a direct ping; after 300 ms another one together with
/// pings through other members; after 600 ms a last direct one; after 1 s it
/// has failed. Under 10% loss a probe with one direct and three indirect pings
/// fails 8 times in 1,000 by calculation, with two more direct ones 0.3 times.
class MemberProbe {
 public:
  enum class Step { kWait, kPing, kPingAndIndirect, kFailed };

  /// The first direct ping is sent by the caller.
  void Start(std::string_view peer, uint64_t sequence, TimePoint now);
  void Cancel() { m_stage = 0; }

  /// @param multiplier factor for the timeouts.
  /// @returns what is due; kWait without a probe.
  Step Advance(TimePoint now, int multiplier);

  /// @param about the member that an acknowledgement speaks for.
  /// @returns whether it answers this probe; the probe has then ended.
  bool OnAck(uint64_t sequence, std::string_view about);

  bool is_active() const { return m_stage > 0; }
  const std::string& peer() const { return m_peer; }
  uint64_t sequence() const { return m_sequence; }

 private:
  std::string m_peer;
  uint64_t m_sequence = 0;
  TimePoint m_started;
  // Direct pings sent so far; 0 without a probe.
  int m_stage = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_PROBE_H_
