// Statistics of a load run.
#include "load_gen_stats.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <ostream>

namespace bramleybank {
namespace {

constexpr double kBucketGrowth = 1.01;
/// Covers times up to about 2.8 hours.
constexpr size_t kBucketCount = 2320;

/// Natural logarithm of kBucketGrowth.
constexpr double kLogGrowth = 0.009950330853168083;

}  // namespace

LatencyHistogram::LatencyHistogram() : m_buckets(kBucketCount) {}

void LatencyHistogram::Add(Duration time) {
  const double micros = std::max<double>(1, static_cast<double>(time.count()));
  const auto bucket = static_cast<size_t>(std::log(micros) / kLogGrowth);
  ++m_buckets[std::min(bucket, kBucketCount - 1)];
  ++m_count;
  m_max = std::max(m_max, time);
}

Duration LatencyHistogram::Quantile(double q) const {
  const double rank = q * static_cast<double>(m_count);
  double cumulative = 0;
  for (size_t i = 0; i < kBucketCount && m_count > 0; ++i) {
    cumulative += static_cast<double>(m_buckets[i]);
    if (cumulative >= rank && m_buckets[i] > 0) {
      const double upper = std::pow(kBucketGrowth, static_cast<double>(i) + 1);
      return std::min(Duration(static_cast<int64_t>(upper)), m_max);
    }
  }
  return m_max;
}

void LoadStats::Count(std::string_view name, uint64_t amount) {
  const auto it = m_counters.find(name);
  if (it != m_counters.end()) {
    it->second += amount;
  } else {
    m_counters.emplace(name, amount);
  }
}

void LoadStats::Observe(std::string_view name, Duration time) {
  auto it = m_times.find(name);
  if (it == m_times.end()) {
    it = m_times.emplace(name, LatencyHistogram()).first;
  }
  it->second.Add(time);
}

uint64_t LoadStats::Counter(std::string_view name) const {
  const auto it = m_counters.find(name);
  return it == m_counters.end() ? 0 : it->second;
}

void LoadStats::PrintLine(std::ostream& out,
                          std::string_view name,
                          double value,
                          std::string_view unit) {
  nlohmann::ordered_json line{{"name", name}, {"value", value}, {"unit", unit}};
  out << line.dump() << "\n";
}

void LoadStats::Print(std::ostream& out) const {
  for (const auto& [name, value] : m_counters) {
    PrintLine(out, name, static_cast<double>(value), "count");
  }
  const auto ms = [](Duration time) {
    return static_cast<double>(time.count()) / 1000;
  };
  for (const auto& [name, times] : m_times) {
    PrintLine(out, name + "_p50", ms(times.Quantile(0.5)), "ms");
    PrintLine(out, name + "_p95", ms(times.Quantile(0.95)), "ms");
    PrintLine(out, name + "_p99", ms(times.Quantile(0.99)), "ms");
    PrintLine(out, name + "_max", ms(times.max()), "ms");
    PrintLine(out, name + "_count", static_cast<double>(times.count()),
              "count");
  }
}

}  // namespace bramleybank
