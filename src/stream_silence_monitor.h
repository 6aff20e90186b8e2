// Detects running streams of a gateway that have stopped sending events (fallen
// silent), individually or together with their whole failure domain.
#ifndef BRAMLEYBANK_SRC_STREAM_SILENCE_MONITOR_H_
#define BRAMLEYBANK_SRC_STREAM_SILENCE_MONITOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// Where a stream runs.
struct StreamLocation {
  std::string service;
  std::string failure_domain;
  std::string endpoint_id;

  friend auto operator<=>(const StreamLocation&,
                          const StreamLocation&) = default;
};

/// Result of one check.
struct SilenceFindings {
  /// Ids of the streams that are to be moved to another engine.
  std::vector<uint64_t> silent_streams;
  /// One location in each service and failure domain that has fallen silent.
  std::vector<StreamLocation> silent_domains;
};

/// Watches the streams of one gateway. An engine that disappears without a
/// connection reset can be detected only by its silence. An engine that
/// prefills another prompt is silent, too, but for a shorter time. If all
/// streams of a failure domain fall silent together, the domain is lost, and a
/// shorter timeout is enough. Streams there that wait for their first event are
/// moved as well.
class StreamSilenceMonitor {
 public:
  /// A request for a stream was sent to an engine.
  void Add(uint64_t stream, StreamLocation location, TimePoint now);
  /// An event of the stream has arrived.
  void OnEvent(uint64_t stream, TimePoint now);
  void Remove(uint64_t stream);
  /// A silent stream stays at its engine. It is no longer evidence about its
  /// domain, and is reported again at `until` unless it has an event before.
  void Postpone(uint64_t stream, TimePoint until);

  /// Checks all streams; must be called at a regular interval. A check that
  /// comes late reports nothing, because the gateway itself was suspended and
  /// could not have read any events.
  SilenceFindings Check(TimePoint now);

  bool empty() const { return m_streams.empty(); }

 private:
  struct Stream {
    StreamLocation location;
    // Time of the last event; before the first one, time of the start.
    TimePoint last_event;
    bool has_event = false;
    std::optional<TimePoint> postponed_until = std::nullopt;
  };

  /// State of the streams of one service in one failure domain.
  struct DomainState {
    size_t silent_endpoints = 0;
    bool has_recent_event = false;
    // Any stream of the domain.
    const Stream* sample = nullptr;
  };

  std::map<uint64_t, Stream> m_streams;
  TimePoint m_last_check;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_SILENCE_MONITOR_H_
