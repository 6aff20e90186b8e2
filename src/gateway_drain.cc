// Times of a planned stop.
#include "gateway_drain.h"

#include <algorithm>

#include "bramleybank/limits.h"

namespace bramleybank {

GatewayDrain::GatewayDrain(Duration grace, TimePoint now)
    : m_noticed_at(now + std::min<Duration>(kDrainNoticeTime, grace / 2)),
      m_last_moment(now + std::max(grace - kDrainMargin, grace / 2)) {}

DrainStep GatewayDrain::Next(TimePoint now, size_t open_requests) const {
  if (now >= m_last_moment) {
    return {.close_idle_callers = true, .refuse_requests = true, .stop = true};
  }
  const bool noticed = now >= m_noticed_at;
  // One more check interval lets the closes of idle connections cross with
  // requests that are under way.
  const bool settled = now >= m_noticed_at + 2 * kDrainCheckInterval;
  return {.close_idle_callers = noticed,
          .refuse_requests = now >= m_last_moment - kDrainRefuseTime,
          .stop = settled && open_requests == 0};
}

}  // namespace bramleybank
