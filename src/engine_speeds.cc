// Moving averages of reading speeds.
#include "engine_speeds.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// Weight of a new sample in the moving average.
constexpr double kSampleWeight = 0.3;
// Prompts with fewer tokens say more about the network than about the engine.
constexpr uint64_t kMinSampleTokens = 256;

}  // namespace

EngineSpeeds::EngineSpeeds(ClockHook clock) : m_clock(std::move(clock)) {}

void EngineSpeeds::OnPromptRead(EngineKey engine,
                                uint64_t tokens,
                                Duration time) {
  if (tokens < kMinSampleTokens || time <= Duration{0}) {
    return;
  }
  const EngineSpeed sample{
      .engine = engine,
      .tokens_per_second = static_cast<double>(tokens) /
                           std::chrono::duration<double>(time).count()};
  Learn(engine, sample.tokens_per_second, kSampleWeight);
  if (m_samples.size() < kMaxSpeedsPerReport) {
    m_samples.push_back(sample);
  }
}

void EngineSpeeds::OnReported(const EngineSpeed& speed, bool is_estimate) {
  const bool is_valid =
      std::isfinite(speed.tokens_per_second) && speed.tokens_per_second > 0;
  if (is_valid) {
    Learn(speed.engine, speed.tokens_per_second,
          is_estimate ? 1 : kSampleWeight);
  }
}

void EngineSpeeds::Learn(EngineKey engine,
                         double tokens_per_second,
                         double weight) {
  const auto [it, is_new] = m_known.try_emplace(engine);
  Known& known = it->second;
  m_sum -= known.tokens_per_second;
  known.tokens_per_second +=
      (is_new ? 1 : weight) * (tokens_per_second - known.tokens_per_second);
  known.updated_at = m_clock();
  m_sum += known.tokens_per_second;
  if (m_known.size() > kMaxKnownSpeeds) {
    EvictOldest();
  }
}

void EngineSpeeds::EvictOldest() {
  const auto oldest = std::ranges::min_element(
      m_known, {}, [](const auto& item) { return item.second.updated_at; });
  m_sum -= oldest->second.tokens_per_second;
  m_known.erase(oldest);
}

double EngineSpeeds::Find(EngineKey engine) const {
  const auto it = m_known.find(engine);
  return it == m_known.end() ? 0 : it->second.tokens_per_second;
}

double EngineSpeeds::Average() const {
  return m_known.empty() ? 0 : m_sum / static_cast<double>(m_known.size());
}

std::vector<EngineSpeed> EngineSpeeds::TakeSamples() {
  return std::exchange(m_samples, {});
}

std::vector<EngineSpeed> EngineSpeeds::Latest(size_t max_count) const {
  std::vector<std::pair<TimePoint, EngineSpeed>> all;
  all.reserve(m_known.size());
  for (const auto& [engine, known] : m_known) {
    all.emplace_back(known.updated_at,
                     EngineSpeed{.engine = engine,
                                 .tokens_per_second = known.tokens_per_second});
  }
  const auto count = std::min(max_count, all.size());
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::partial_sort(all, middle, [](const auto& a, const auto& b) {
    return a.first > b.first;
  });
  std::vector<EngineSpeed> latest;
  latest.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    latest.push_back(all[i].second);
  }
  return latest;
}

}  // namespace bramleybank
