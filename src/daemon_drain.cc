// Time-based steps of a planned stop.
#include "daemon_drain.h"

#include <cassert>
#include <utility>

namespace bramleybank {
namespace {

// Streams that are still open after this share of the drain time are handed
// over. The rest of the time is for requests that only this daemon can finish.
constexpr int kHandOverPercent = 80;

}  // namespace

DaemonDrain::DaemonDrain(Duration drain_time, ClockHook clock)
    : m_drain_time(drain_time), m_clock(std::move(clock)) {
  assert(m_clock && drain_time.count() > 0);
}

void DaemonDrain::Begin() {
  if (!m_started) {
    m_started = m_clock();
  }
}

DrainStep DaemonDrain::NextStep(const OpenWork& open) const {
  if (!m_started) {
    return DrainStep::kServe;
  }
  const Duration elapsed = m_clock() - *m_started;
  if (open == OpenWork{} || elapsed >= m_drain_time) {
    return DrainStep::kExit;
  }
  return elapsed * 100 >= m_drain_time * kHandOverPercent ? DrainStep::kHandOver
                                                          : DrainStep::kWait;
}

}  // namespace bramleybank
