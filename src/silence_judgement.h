// Whether a silent stream still runs at its endpoint.
#ifndef BRAMLEYBANK_SRC_SILENCE_JUDGEMENT_H_
#define BRAMLEYBANK_SRC_SILENCE_JUDGEMENT_H_

#include <cstdint>
#include <string>

#include "hooks.h"

namespace bramleybank {

struct EndpointEvidence;

/// Times after which the silence of a stream is judged.
struct SilenceLimits {
  /// Time without the first event, and between two events, after which the
  /// endpoint is probed.
  Duration first_event{0};
  Duration event{0};
  /// Time after which a stream is moved whose endpoint cannot be probed.
  Duration unprobed_first_event{0};
  Duration unprobed_event{0};
  /// Longest time between two events that a sound endpoint, or one that has
  /// asked for no requests, explains.
  Duration explained_event{0};

  friend bool operator==(const SilenceLimits&, const SilenceLimits&) = default;
};

/// One attempt of a stream.
struct SilentRun {
  std::string request_id;
  /// Start time in the endpoint's entry when the attempt began; 0 if unknown.
  int64_t endpoint_start_ms = 0;
  SilenceLimits limits;
  /// Time of the last event; before the first one, of the start.
  TimePoint silent_since;
  /// Whether an event of this attempt has arrived.
  bool has_event = false;
  /// The last event that the caller has; 0 before the first one.
  uint64_t last_event_id = 0;

  friend bool operator==(const SilentRun&, const SilentRun&) = default;
};

enum class SilenceVerdict : uint8_t {
  /// The silence is short, or the endpoint explains it.
  kWait,
  /// Only a probe can tell.
  kProbe,
  /// The endpoint does not answer.
  kEndpointLost,
  /// The endpoint works and its events do not arrive, or it does not run the
  /// request any more.
  kRunLost,
  /// The endpoint works, but for too long without an event.
  kTooLong,
};
/// @returns the name for logs.
const char* NameOf(SilenceVerdict verdict);

/// @returns whether the stream is to be moved to another endpoint.
bool IsLost(SilenceVerdict verdict);

/// @returns the limits of a route.
/// @param has_begun whether the caller has events of the stream.
SilenceLimits MakeSilenceLimits(Duration latency_target,
                                Duration max_event_gap,
                                bool has_begun);

/// Judges the silence of `run` from what is known about its endpoint.
/// @param evidence null when the endpoint cannot be probed.
SilenceVerdict JudgeSilence(const SilentRun& run,
                            const EndpointEvidence* evidence,
                            TimePoint now);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_SILENCE_JUDGEMENT_H_
