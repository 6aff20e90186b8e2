// Load reports with a configurable lag.
#include "standin_engine_load.h"

#include <algorithm>

namespace bramleybank::standin {
namespace {

/// Time over which the token rate is measured.
constexpr Duration kRateWindow = std::chrono::seconds(1);

}  // namespace

LoadHistory::LoadHistory(Duration lag) : m_lag(lag) {}

void LoadHistory::Record(const LoadSample& sample) {
  m_samples.push_back(sample);
  const TimePoint oldest = sample.time - m_lag - 2 * kRateWindow;
  while (m_samples.front().time < oldest) {
    m_samples.pop_front();
  }
}

LoadReport LoadHistory::Report(TimePoint now) const {
  const auto by_time = [](const LoadSample& sample, TimePoint time) {
    return sample.time <= time;
  };
  const auto end = std::lower_bound(m_samples.begin(), m_samples.end(),
                                    now - m_lag, by_time);
  LoadReport report;
  report.age = m_lag;
  if (end == m_samples.begin()) {
    return report;
  }
  const LoadSample& sample = *(end - 1);
  report.running = sample.running;
  report.waiting = sample.waiting;
  report.age = now - sample.time;
  auto start = std::lower_bound(m_samples.begin(), end,
                                sample.time - kRateWindow, by_time);
  if (start != m_samples.begin()) {
    --start;
  }
  const Duration span = sample.time - start->time;
  if (span.count() > 0) {
    report.tokens_per_s = static_cast<double>(sample.tokens - start->tokens) *
                          1e6 / static_cast<double>(span.count());
  }
  return report;
}

}  // namespace bramleybank::standin
