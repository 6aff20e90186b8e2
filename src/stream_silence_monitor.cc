// Evaluates the silence of streams and of failure domains.
#include "stream_silence_monitor.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_evidence.h"

namespace bramleybank {
namespace {

// If the time since the last check exceeds this, the process was suspended.
constexpr Duration kLateCheckThreshold = std::chrono::milliseconds(200);

/// @returns whether the endpoint may be lost together with its domain. An
/// endpoint that cannot be probed shows nothing but its silence.
bool IsUnresponsive(const EndpointEvidence* evidence, TimePoint now) {
  return evidence == nullptr ||
         (evidence->unanswered_since &&
          now - *evidence->unanswered_since >= kDomainProbeTimeout);
}

/// @returns whether the endpoint has answered a probe of this silence.
bool HasAnswered(const EndpointEvidence* evidence, const SilentRun& run) {
  return evidence != nullptr && evidence->reported_at > run.silent_since;
}

}  // namespace

bool StreamSilenceMonitor::Domain::is_suspicious() const {
  return silent_endpoints.size() >= kMinDomainLosses && !has_sign;
}

bool StreamSilenceMonitor::Domain::is_lost() const {
  return unresponsive_endpoints.size() >= kMinDomainLosses && !has_sign;
}

StreamSilenceMonitor::StreamSilenceMonitor(EvidenceHook evidence)
    : m_evidence(std::move(evidence)) {}

void StreamSilenceMonitor::Add(uint64_t stream,
                               StreamLocation location,
                               SilentRun run,
                               TimePoint now) {
  run.silent_since = now;
  m_streams.insert_or_assign(
      stream, Stream{.location = std::move(location), .run = std::move(run)});
}

void StreamSilenceMonitor::OnEvent(uint64_t stream,
                                   uint64_t last_event_id,
                                   TimePoint now) {
  const auto it = m_streams.find(stream);
  if (it == m_streams.end()) {
    return;
  }
  SilentRun& run = it->second.run;
  run.silent_since = now;
  run.has_event = true;
  run.last_event_id = std::max(run.last_event_id, last_event_id);
  it->second.postponed_until.reset();
}

void StreamSilenceMonitor::Remove(uint64_t stream) {
  m_streams.erase(stream);
}

void StreamSilenceMonitor::Postpone(uint64_t stream, TimePoint until) {
  const auto it = m_streams.find(stream);
  if (it != m_streams.end()) {
    it->second.postponed_until = until;
  }
}

void StreamSilenceMonitor::Restart(TimePoint now) {
  for (auto& [id, stream] : m_streams) {
    stream.run.silent_since = now;
    stream.postponed_until.reset();
  }
}

void StreamSilenceMonitor::AddToDomain(const Stream& stream,
                                       TimePoint now,
                                       Domain* domain) const {
  domain->sample = &stream;
  if (stream.postponed_until) {
    return;
  }
  const bool is_silent =
      now - stream.run.silent_since >= stream.run.limits.event;
  if (!is_silent) {
    domain->has_sign = domain->has_sign || stream.run.has_event;
    return;
  }
  const std::string& endpoint = stream.location.endpoint_id;
  const EndpointEvidence* evidence = m_evidence(endpoint);
  const bool is_unresponsive = IsUnresponsive(evidence, now);
  domain->has_sign = domain->has_sign ||
                     (!is_unresponsive && HasAnswered(evidence, stream.run));
  if (!stream.run.has_event) {
    return;
  }
  domain->silent_endpoints.insert(endpoint);
  if (is_unresponsive) {
    domain->unresponsive_endpoints.insert(endpoint);
  }
}

std::map<StreamSilenceMonitor::DomainKey, StreamSilenceMonitor::Domain>
StreamSilenceMonitor::FindDomains(TimePoint now) const {
  std::map<DomainKey, Domain> domains;
  for (const auto& [id, stream] : m_streams) {
    AddToDomain(
        stream, now,
        &domains[{stream.location.service, stream.location.failure_domain}]);
  }
  return domains;
}

SilenceFindings StreamSilenceMonitor::Check(TimePoint now) {
  SilenceFindings findings;
  const Duration since_check = now - std::exchange(m_last_check, now);
  if (since_check > kLateCheckThreshold) {
    // Events may be waiting in the sockets.
    Restart(now);
    return findings;
  }
  const std::map<DomainKey, Domain> domains = FindDomains(now);
  for (const auto& [key, domain] : domains) {
    if (domain.is_lost()) {
      findings.silent_domains.push_back(domain.sample->location);
    }
  }
  for (const auto& [id, stream] : m_streams) {
    const StreamLocation& location = stream.location;
    const Domain& domain =
        domains.at({location.service, location.failure_domain});
    const EndpointEvidence* evidence = m_evidence(location.endpoint_id);
    SilenceVerdict verdict = JudgeSilence(stream.run, evidence, now);
    if (verdict != SilenceVerdict::kWait || domain.is_suspicious()) {
      findings.endpoints_to_probe.insert(location.endpoint_id);
    }
    if (stream.postponed_until && now < *stream.postponed_until) {
      continue;
    }
    if (domain.is_lost() && IsUnresponsive(evidence, now)) {
      verdict = SilenceVerdict::kEndpointLost;
    }
    if (IsLost(verdict)) {
      findings.silent_streams.push_back({.id = id, .verdict = verdict});
    }
  }
  return findings;
}

}  // namespace bramleybank
