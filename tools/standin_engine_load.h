// Load reports of the engine stand-in, which lag behind its state.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_ENGINE_LOAD_H_
#define BRAMLEYBANK_TOOLS_STANDIN_ENGINE_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "hooks.h"

namespace bramleybank::standin {

/// State of the engine at one point in time.
struct LoadSample {
  TimePoint time;
  size_t running = 0;
  size_t waiting = 0;
  /// Tokens generated since the start of the process.
  uint64_t tokens = 0;

  friend bool operator==(const LoadSample&, const LoadSample&) = default;
};

/// A load report as it is sent.
struct LoadReport {
  size_t running = 0;
  size_t waiting = 0;
  double tokens_per_s = 0;
  /// Age of the sample that the report shows.
  Duration age{0};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Keeps samples for as long as the lag and the rate window require.
class LoadHistory {
 public:
  explicit LoadHistory(Duration lag);

  void Record(const LoadSample& sample);
  /// @returns a report of the newest sample that is at least as old as the lag;
  /// all counts are zero when there is none.
  LoadReport Report(TimePoint now) const;

 private:
  Duration m_lag;
  // Ordered by time, the oldest first.
  std::deque<LoadSample> m_samples;
};

}  // namespace bramleybank::standin

#endif  // BRAMLEYBANK_TOOLS_STANDIN_ENGINE_LOAD_H_
