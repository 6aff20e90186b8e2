// Decides when a stream has stalled, from the gaps between its own tokens.
#ifndef BRAMLEYBANK_SRC_STREAM_STALL_DETECTOR_H_
#define BRAMLEYBANK_SRC_STREAM_STALL_DETECTOR_H_

#include <cstdint>

#include "bramleybank/limits.h"
#include "hooks.h"

namespace bramleybank {

/// Computes the stall deadline of one attempt. Before the first token the limit
/// is 3 times the estimated time to first token, clamped to 500 to 1,500 ms,
/// plus the expected wait for a slot. After that it is the mean of recent gaps
/// plus 8 mean absolute deviations, scaled by the ratio of the endpoint's
/// current number of streams to its mean over the same gaps, and clamped to 250
/// to 1,500 ms.
class StallDetector {
 public:
  /// @param estimate estimated time to first token without queueing.
  /// @param queue expected wait for a slot in the engine.
  StallDetector(TimePoint started, Duration estimate, Duration queue);

  /// @param endpoint_streams streams that this daemon has on the endpoint.
  void OnToken(TimePoint now, uint32_t endpoint_streams);
  /// Updates the number of streams between tokens, so that an engine is not
  /// taken for stalled when it slows down under new load.
  void SetEndpointStreams(uint32_t endpoint_streams);

  /// @returns the time at which the stream counts as stalled if no token
  /// arrives.
  TimePoint Deadline() const;
  bool has_token() const { return m_tokens > 0; }

 private:
  TimePoint m_last_token_time;
  Duration m_first_token_limit{};
  uint64_t m_tokens = 0;
  uint32_t m_streams = 1;
  // Moving averages of the gap and of its absolute deviation, in milliseconds,
  // and of the streams on the endpoint over the same gaps. Valid from the
  // second token on.
  double m_gap_ms = 0;
  double m_deviation_ms = 0;
  double m_mean_streams = 1;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_STALL_DETECTOR_H_
