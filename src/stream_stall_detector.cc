// Exponential moving averages of the gaps between tokens and their deviations.
#include "stream_stall_detector.h"

#include <algorithm>
#include <cmath>

namespace bramleybank {
namespace {

constexpr double kDeviationFactor = 8;
constexpr int kFirstTokenFactor = 3;
// Weight of the newest gap. A quarter adapts to increased load within about ten
// tokens.
constexpr double kSmoothingFactor = 0.25;
// The deviation of fewer gaps is not meaningful; kMaxStallTimeout is used
// instead.
constexpr uint64_t kMinTokensForEstimate = 5;

}  // namespace

StallDetector::StallDetector(TimePoint started,
                             Duration estimate,
                             Duration queue)
    : m_last_token_time(started),
      m_first_token_limit(std::clamp<Duration>(estimate * kFirstTokenFactor,
                                               kMinFirstTokenTimeout,
                                               kMaxFirstTokenTimeout) +
                          queue) {}

void StallDetector::OnToken(TimePoint now, uint32_t endpoint_streams) {
  const double gap_ms =
      static_cast<double>((now - m_last_token_time).count()) / 1e3;
  m_last_token_time = now;
  m_streams = std::max(1U, endpoint_streams);
  ++m_tokens;
  if (m_tokens == 1) {
    return;
  }
  if (m_tokens == 2) {
    m_gap_ms = gap_ms;
    m_mean_streams = m_streams;
    return;
  }
  const double deviation_ms = std::abs(gap_ms - m_gap_ms);
  m_deviation_ms += kSmoothingFactor * (deviation_ms - m_deviation_ms);
  m_gap_ms += kSmoothingFactor * (gap_ms - m_gap_ms);
  m_mean_streams += kSmoothingFactor * (m_streams - m_mean_streams);
}

void StallDetector::SetEndpointStreams(uint32_t endpoint_streams) {
  m_streams = std::max(1U, endpoint_streams);
}

TimePoint StallDetector::Deadline() const {
  if (m_tokens == 0) {
    return m_last_token_time + m_first_token_limit;
  }
  if (m_tokens < kMinTokensForEstimate) {
    return m_last_token_time + kMaxStallTimeout;
  }
  const double limit_ms = (m_gap_ms + (kDeviationFactor * m_deviation_ms)) *
                          (m_streams / m_mean_streams);
  return m_last_token_time +
         std::clamp(Duration(static_cast<int64_t>(limit_ms * 1e3)),
                    Duration(kMinStallTimeout), Duration(kMaxStallTimeout));
}

}  // namespace bramleybank
