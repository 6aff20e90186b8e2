// A clock that tests advance explicitly, seeded random numbers, and endpoint
// configurations for tests.
#ifndef BRAMLEYBANK_TESTS_MANUAL_CLOCK_H_
#define BRAMLEYBANK_TESTS_MANUAL_CLOCK_H_

#include <cstdint>
#include <random>
#include <string>

#include "config_snapshot.h"
#include "hooks.h"

namespace bramleybank {

/// Clock that changes only through Advance().
class ManualClock {
 public:
  ClockHook hook() {
    return [this] { return m_now; };
  }
  TimePoint now() const { return m_now; }
  void Advance(Duration by) { m_now += by; }

 private:
  TimePoint m_now{std::chrono::hours(1)};
};

/// @returns a generator that yields the same numbers in every run.
inline RandomHook SeededRandom(uint64_t seed) {
  return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
}

/// @returns the configuration of an engine of model "m", version "v1".
inline EndpointConfig MakeEngineConfig(const std::string& address,
                                       const std::string& domain = "d1",
                                       const std::string& region = "r1") {
  EndpointConfig config;
  config.address = address;
  config.group = "m";
  config.version = "v1";
  config.region = region;
  config.failure_domain = domain;
  return config;
}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TESTS_MANUAL_CLOCK_H_
