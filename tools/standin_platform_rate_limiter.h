// Rate limit with a bounded queue in front of the stand-in's stores.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_RATE_LIMITER_H_
#define BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_RATE_LIMITER_H_

#include <cstddef>
#include <functional>
#include <optional>

#include "hooks.h"

namespace bramleybank {

/// Leaky bucket that determines how long each request must wait. Bursts of up
/// to a tenth of a second's worth of requests are not delayed; over longer
/// times the rate holds.
class PlatformRateLimiter {
 public:
  /// @param max_queue number of requests that may wait; further ones are
  /// refused.
  PlatformRateLimiter(double per_s, size_t max_queue, ClockHook clock);

  /// @param cost number of requests that this one counts as.
  /// @returns the delay after which it may run, or nothing when the queue is
  /// full.
  std::optional<Duration> Admit(double cost);

 private:
  double m_per_s;
  size_t m_max_queue;
  ClockHook m_clock;
  // Cost admitted but not yet drained. Drains at m_per_s.
  double m_backlog = 0;
  TimePoint m_last;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_RATE_LIMITER_H_
