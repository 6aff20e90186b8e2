// Moving mean and deviation of the gaps between tokens.
#include "stream_stall_detector.h"

#include <algorithm>
#include <cmath>

namespace bramleybank {
namespace {

constexpr double kDeviations = 8;
constexpr int kFirstTokenFactor = 3;
// A quarter follows a load that grows within some ten tokens.
constexpr double kWeightOfNewest = 0.25;
// With fewer gaps their deviation says nothing, and the upper bound holds.
constexpr uint64_t kMinTokens = 5;

}  // namespace

StallDetector::StallDetector(TimePoint started,
                             Duration estimate,
                             Duration queue)
    : m_last(started),
      m_first_token_limit(std::clamp<Duration>(estimate * kFirstTokenFactor,
                                               kMinFirstTokenTimeout,
                                               kMaxFirstTokenTimeout) +
                          queue) {}

void StallDetector::OnToken(TimePoint now, uint32_t endpoint_streams) {
  const double gap_ms = static_cast<double>((now - m_last).count()) / 1e3;
  m_last = now;
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
  m_deviation_ms += kWeightOfNewest * (deviation_ms - m_deviation_ms);
  m_gap_ms += kWeightOfNewest * (gap_ms - m_gap_ms);
  m_mean_streams += kWeightOfNewest * (m_streams - m_mean_streams);
}

void StallDetector::SetEndpointStreams(uint32_t endpoint_streams) {
  m_streams = std::max(1U, endpoint_streams);
}

TimePoint StallDetector::Deadline() const {
  if (m_tokens == 0) {
    return m_last + m_first_token_limit;
  }
  if (m_tokens < kMinTokens) {
    return m_last + kMaxStallTimeout;
  }
  const double limit_ms = (m_gap_ms + (kDeviations * m_deviation_ms)) *
                          (m_streams / m_mean_streams);
  return m_last + std::clamp(Duration(static_cast<int64_t>(limit_ms * 1e3)),
                             Duration(kMinStallTimeout),
                             Duration(kMaxStallTimeout));
}

}  // namespace bramleybank
