// Rate limit with a bounded queue in front of the stand-in's stores.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_RATE_LIMITER_H_
#define BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_RATE_LIMITER_H_

#include <cstddef>
#include <functional>
#include <optional>

#include "hooks.h"

namespace bramleybank {

/// Gives each request the time at which it may run. The rate holds over any
/// longer time; a burst of up to a tenth of a second's requests passes at once.
class PlatformRateLimiter {
 public:
  /// @param max_queue requests that may wait; further ones are refused.
  PlatformRateLimiter(double per_s, size_t max_queue, ClockHook clock);

  /// @param cost requests that this one counts for.
  /// @returns the delay after which it may run, or nothing when the queue is
  /// full.
  std::optional<Duration> Admit(double cost);

 private:
  double m_per_s;
  size_t m_max_queue;
  ClockHook m_clock;
  // Requests not yet covered by the rate; falls by m_per_s each second.
  double m_backlog = 0;
  TimePoint m_last;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_RATE_LIMITER_H_
