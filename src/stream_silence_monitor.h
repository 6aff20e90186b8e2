// Decides when running streams of a gateway have fallen silent, one by one or
// with their whole failure domain.
#ifndef BRAMLEYBANK_SRC_STREAM_SILENCE_MONITOR_H_
#define BRAMLEYBANK_SRC_STREAM_SILENCE_MONITOR_H_

#include <cstdint>
#include <map>
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

/// What one check has found.
struct SilenceFindings {
  /// Streams that are to be moved.
  std::vector<uint64_t> silent_streams;
  /// Places whose failure domain has fallen silent as a whole.
  std::vector<StreamLocation> silent_domains;
};

/// Watches the streams of one gateway. An engine that vanishes without a reset
/// shows only by its silence; so does one that reads another prompt, for a
/// shorter time. When all streams of a failure domain fall silent together, the
/// domain is lost, and less patience is needed; streams there that wait for
/// their first event are moved, too.
class StreamSilenceMonitor {
 public:
  /// A stream was sent to an engine.
  void Add(uint64_t stream, StreamLocation place, TimePoint now);
  /// An event arrived.
  void OnEvent(uint64_t stream, TimePoint now);
  void Remove(uint64_t stream);

  /// A gateway that stood still itself has no evidence of silence.
  SilenceFindings Check(TimePoint now);

  bool empty() const { return m_streams.empty(); }

 private:
  struct Stream {
    StreamLocation place;
    TimePoint last_event;
    bool has_event = false;
  };

  /// Evidence on one failure domain.
  struct DomainState {
    size_t silent_endpoints = 0;
    bool has_recent_event = false;
    const Stream* sample = nullptr;
  };

  std::map<uint64_t, Stream> m_streams;
  TimePoint m_last_check;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_SILENCE_MONITOR_H_
