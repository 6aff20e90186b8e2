// Statistics of a load run: counters and latency histograms, printed as one
// JSON object per line.
#ifndef BRAMLEYBANK_TOOLS_LOAD_GEN_STATS_H_
#define BRAMLEYBANK_TOOLS_LOAD_GEN_STATS_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// Histogram of times with buckets 1% wide and an exact maximum.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(Duration time);
  /// @returns the upper end of the bucket that holds the quantile, or 0
  /// without samples.
  Duration Quantile(double q) const;
  Duration max() const { return m_max; }
  uint64_t count() const { return m_count; }

 private:
  std::vector<uint64_t> m_buckets;
  uint64_t m_count = 0;
  Duration m_max{0};
};

/// All statistics of one run.
class LoadStats {
 public:
  void Count(std::string_view name, uint64_t amount = 1);
  void Observe(std::string_view name, Duration time);
  /// Prints a single value.
  static void PrintLine(std::ostream& out,
                        std::string_view name,
                        double value,
                        std::string_view unit);
  /// Prints counters, and of each histogram p50, p95, p99, max and count.
  void Print(std::ostream& out) const;

  uint64_t Counter(std::string_view name) const;

 private:
  std::map<std::string, uint64_t, std::less<>> m_counters;
  std::map<std::string, LatencyHistogram, std::less<>> m_times;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_LOAD_GEN_STATS_H_
