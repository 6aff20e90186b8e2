// Times of a graceful shutdown.
#include "gateway_drain.h"

#include <algorithm>

#include "bramleybank/limits.h"

namespace bramleybank {

GatewayDrain::GatewayDrain(Duration grace, TimePoint now)
    : m_close_idle_at(now + std::min<Duration>(kDrainNoticeTime, grace / 2)),
      m_stop_at(now + std::max(grace - kDrainMargin, grace / 2)) {}

GatewayDrainStep GatewayDrain::Next(TimePoint now,
                                    const GatewayDrainLoad& load) const {
  if (now >= m_stop_at) {
    return {.close_idle_callers = true, .stop = true};
  }
  const bool close_idle = now >= m_close_idle_at;
  // One more check interval covers requests that were in flight when their idle
  // connection was closed.
  const bool is_settled = now >= m_close_idle_at + 2 * kDrainCheckInterval &&
                          now - load.last_accept >= kDrainQuietTime;
  const bool is_empty = load.open_requests == 0 && load.open_connections == 0;
  return {.close_idle_callers = close_idle, .stop = is_settled && is_empty};
}

}  // namespace bramleybank
