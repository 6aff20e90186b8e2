// Decides when a stream has stalled, from the gaps between its own tokens.
#ifndef BRAMLEYBANK_SRC_STREAM_STALL_DETECTOR_H_
#define BRAMLEYBANK_SRC_STREAM_STALL_DETECTOR_H_

#include <cstdint>

#include "bramleybank/limits.h"
#include "hooks.h"

namespace bramleybank {

/// Watches one attempt. Before the first token the limit is 3 times the
/// estimated time to first token, between 500 and 1,500 ms, plus the expected
/// wait for a slot. Then it is the mean of recent gaps plus 8 mean absolute
/// deviations, scaled by the growth of the endpoint's streams since the mean
/// was taken, between 250 and 1,500 ms.
class StallDetector {
 public:
  /// @param estimate time to first token, without the queue.
  /// @param queue expected wait for a slot.
  StallDetector(TimePoint started, Duration estimate, Duration queue);

  /// @param endpoint_streams streams that this daemon has on the endpoint.
  void OnToken(TimePoint now, uint32_t endpoint_streams);
  /// Takes the number of streams between tokens: an engine that was just given
  /// more work is slower for a reason.
  void SetEndpointStreams(uint32_t endpoint_streams);

  /// @returns when the stream counts as stalled if no token comes.
  TimePoint Deadline() const;
  bool has_token() const { return m_tokens > 0; }

 private:
  TimePoint m_last;
  Duration m_first_token_limit{};
  uint64_t m_tokens = 0;
  uint32_t m_streams = 1;
  // Moving means over recent gaps, in milliseconds, and of the streams on the
  // endpoint over the same gaps. Valid from the second token on.
  double m_gap_ms = 0;
  double m_deviation_ms = 0;
  double m_mean_streams = 1;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_STALL_DETECTOR_H_
