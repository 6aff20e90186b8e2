// Detects running streams of a gateway that have stopped sending events (fallen
// silent), individually or together with their whole failure domain.
#ifndef BRAMLEYBANK_SRC_STREAM_SILENCE_MONITOR_H_
#define BRAMLEYBANK_SRC_STREAM_SILENCE_MONITOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hooks.h"
#include "silence_judgement.h"

namespace bramleybank {

struct EndpointEvidence;

/// Where a stream runs.
struct StreamLocation {
  std::string service;
  std::string failure_domain;
  std::string endpoint_id;

  friend auto operator<=>(const StreamLocation&,
                          const StreamLocation&) = default;
};

/// A stream that is to be moved to another endpoint.
struct SilentStream {
  uint64_t id = 0;
  SilenceVerdict verdict = SilenceVerdict::kWait;

  friend bool operator==(const SilentStream&, const SilentStream&) = default;
};

/// Result of one check.
struct SilenceFindings {
  std::vector<SilentStream> silent_streams;
  /// Ids of endpoints whose streams are silent, to be probed.
  std::set<std::string> endpoints_to_probe;
  /// One location in each service and failure domain that has fallen silent.
  std::vector<StreamLocation> silent_domains;

  friend bool operator==(const SilenceFindings&,
                         const SilenceFindings&) = default;
};

/// Watches the streams of one gateway. An engine that disappears without a
/// connection reset can be detected only by its silence, and a sound engine may
/// be silent as well; see silence_judgement.h. If several endpoints of a
/// failure domain are silent and do not answer, and no stream there has an
/// event, the domain is lost. All its streams are moved then, also those that
/// wait for their first event, except from endpoints that have not been asked
/// for long enough.
class StreamSilenceMonitor {
 public:
  /// @returns what is known about an endpoint; null if it cannot be probed.
  using EvidenceHook =
      std::function<const EndpointEvidence*(const std::string& endpoint_id)>;

  explicit StreamSilenceMonitor(EvidenceHook evidence);

  /// A request for a stream was sent to an engine, or its answer is read again.
  void Add(uint64_t stream,
           StreamLocation location,
           SilentRun run,
           TimePoint now);
  /// An event of the stream has arrived.
  /// @param last_event_id of this event; 0 if it has none.
  void OnEvent(uint64_t stream, uint64_t last_event_id, TimePoint now);
  void Remove(uint64_t stream);
  /// A silent stream stays at its engine. It is no longer evidence about its
  /// domain, and is judged again at `until` unless it has an event before.
  void Postpone(uint64_t stream, TimePoint until);

  /// Checks all streams; must be called at a regular interval. A check that
  /// comes late reports nothing, because the gateway itself was suspended and
  /// could not have read any events.
  SilenceFindings Check(TimePoint now);

  bool empty() const { return m_streams.empty(); }

 private:
  struct Stream {
    StreamLocation location;
    SilentRun run;
    std::optional<TimePoint> postponed_until = std::nullopt;
  };

  /// State of the streams of one service in one failure domain.
  struct Domain {
    // Those whose streams have begun and are silent.
    std::set<std::string_view> silent_endpoints;
    // Those of them that do not answer.
    std::set<std::string_view> unresponsive_endpoints;
    // Any of its endpoints has sent an event or answered a probe.
    bool has_sign = false;
    // Any stream of the domain.
    const Stream* sample = nullptr;

    /// Whether all its endpoints are to be asked.
    bool is_suspicious() const;
    bool is_lost() const;
  };
  using DomainKey = std::pair<std::string_view, std::string_view>;

  /// Measures all silences from now on.
  void Restart(TimePoint now);
  std::map<DomainKey, Domain> FindDomains(TimePoint now) const;
  void AddToDomain(const Stream& stream, TimePoint now, Domain* domain) const;

  const EvidenceHook m_evidence;
  std::map<uint64_t, Stream> m_streams;
  TimePoint m_last_check;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_SILENCE_MONITOR_H_
