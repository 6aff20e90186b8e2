// Leaky bucket that delays excess requests.
#include "standin_platform_rate_limiter.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace bramleybank {
namespace {

constexpr double kBurstSeconds = 0.1;

}  // namespace

PlatformRateLimiter::PlatformRateLimiter(double per_s,
                                         size_t max_queue,
                                         ClockHook clock)
    : m_per_s(per_s),
      m_max_queue(max_queue),
      m_clock(std::move(clock)),
      m_last(m_clock()) {
  assert(per_s > 0);
}

std::optional<Duration> PlatformRateLimiter::Admit(double cost) {
  const TimePoint now = m_clock();
  const std::chrono::duration<double> passed = now - m_last;
  m_last = now;
  m_backlog = std::max(0.0, m_backlog - passed.count() * m_per_s);
  const double burst = std::max(1.0, m_per_s * kBurstSeconds);
  const double waiting = m_backlog + cost - burst;
  if (waiting > static_cast<double>(m_max_queue)) {
    return std::nullopt;
  }
  m_backlog += cost;
  const std::chrono::duration<double> delay(std::max(0.0, waiting) / m_per_s);
  return std::chrono::duration_cast<Duration>(delay);
}

}  // namespace bramleybank
