// Hooks through which decision code gets time and randomness, so that tests
// can run it with a manual clock and a fixed seed.
#ifndef BRAMLEYBANK_SRC_HOOKS_H_
#define BRAMLEYBANK_SRC_HOOKS_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace bramleybank {

using Duration = std::chrono::microseconds;
/// Monotonic time; the origin is arbitrary.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using ClockHook = std::function<TimePoint()>;
/// Returns uniformly distributed 64-bit numbers.
using RandomHook = std::function<uint64_t()>;

/// @returns the monotonic clock of the operating system.
inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// @returns whole milliseconds, for log fields and messages.
inline int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// @returns a uniformly distributed number of at least 0 and below 1.
inline double UniformFraction(const RandomHook& random) {
  constexpr uint64_t kSteps = 1 << 20;
  return static_cast<double>(random() % kSteps) / static_cast<double>(kSteps);
}

/// @returns a random delay between half of `bound` and `bound`, so that clients
/// that failed at the same time do not retry at the same time.
inline Duration EqualJitter(Duration bound, const RandomHook& random) {
  const auto half = static_cast<uint64_t>(bound.count() / 2);
  return bound / 2 + Duration(static_cast<int64_t>(random() % (half + 1)));
}

/// @returns a random time below `bound`, so that many callers are spread out;
/// zero if that is zero.
inline Duration Spread(Duration bound, const RandomHook& random) {
  if (bound <= Duration::zero()) {
    return Duration::zero();
  }
  return Duration(
      static_cast<int64_t>(random() % static_cast<uint64_t>(bound.count())));
}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HOOKS_H_
