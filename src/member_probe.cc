// Timeouts and steps of a probe.
#include "member_probe.h"

namespace bramleybank {
namespace {

// The latency between regions is 20 ms; the remainder allows for a busy event
// loop.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);

}  // namespace

void MemberProbe::Start(std::string_view peer,
                        uint64_t sequence,
                        TimePoint now) {
  m_peer = peer;
  m_sequence = sequence;
  m_started = now;
  m_stage = 1;
}

MemberProbe::Step MemberProbe::Advance(TimePoint now, int multiplier) {
  const Duration passed = (now - m_started) / multiplier;
  if (m_stage == 0) {
    return Step::kWait;
  }
  if (passed >= kProbePeriod) {
    m_stage = 0;
    return Step::kFailed;
  }
  if (m_stage == 2 && passed >= 2 * kProbeTimeout) {
    m_stage = 3;
    return Step::kPing;
  }
  if (m_stage == 1 && passed >= kProbeTimeout) {
    m_stage = 2;
    return Step::kPingAndIndirect;
  }
  return Step::kWait;
}

bool MemberProbe::OnAck(uint64_t sequence, std::string_view target) {
  if (m_stage == 0 || sequence != m_sequence || target != m_peer) {
    return false;
  }
  m_stage = 0;
  return true;
}

}  // namespace bramleybank
