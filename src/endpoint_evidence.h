// What a gateway knows about an endpoint whose streams are silent.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_EVIDENCE_H_
#define BRAMLEYBANK_SRC_ENDPOINT_EVIDENCE_H_

#include <optional>

#include "engine_report.h"
#include "hooks.h"

namespace bramleybank {

/// Collected since the endpoint was first probed; all empty before.
struct EndpointEvidence {
  /// Start of the first probe to which neither an answer nor any other sign of
  /// the endpoint has followed.
  std::optional<TimePoint> unanswered_since;
  /// Start of the last probe.
  TimePoint probed_at;
  /// Until when the last answer to a probe shows that the endpoint works. An
  /// endpoint that accepts the connection of a probe and ends it at once works
  /// as well; it is at its limit of connections.
  std::optional<TimePoint> answer_valid_until;
  /// The last report that the endpoint has sent, and when it arrived.
  std::optional<EngineReport> report;
  TimePoint reported_at;

  friend bool operator==(const EndpointEvidence&,
                         const EndpointEvidence&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_EVIDENCE_H_
