// Evaluates the silence of streams and of failure domains.
#include "stream_silence_monitor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// If the time since the last check exceeds this, the process was suspended.
constexpr Duration kLateCheckThreshold = std::chrono::milliseconds(200);

}  // namespace

void StreamSilenceMonitor::Add(uint64_t stream,
                               StreamLocation location,
                               TimePoint now) {
  m_streams.insert_or_assign(
      stream, Stream{.location = std::move(location), .last_event = now});
}

void StreamSilenceMonitor::OnEvent(uint64_t stream, TimePoint now) {
  const auto it = m_streams.find(stream);
  if (it != m_streams.end()) {
    it->second.last_event = now;
    it->second.has_event = true;
    it->second.postponed_until.reset();
  }
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

SilenceFindings StreamSilenceMonitor::Check(TimePoint now) {
  SilenceFindings findings;
  const Duration since_check = now - std::exchange(m_last_check, now);
  if (since_check > kLateCheckThreshold) {
    // Events may be waiting in the sockets, so the silence is measured from now
    // on.
    for (auto& [id, stream] : m_streams) {
      stream.last_event = now;
      stream.postponed_until.reset();
    }
    return findings;
  }
  std::map<std::pair<std::string_view, std::string_view>, DomainState> domains;
  std::set<std::string_view> counted_endpoints;
  for (const auto& [id, stream] : m_streams) {
    DomainState& domain =
        domains[{stream.location.service, stream.location.failure_domain}];
    domain.sample = &stream;
    if (stream.postponed_until) {
      continue;
    }
    if (now - stream.last_event < kMaxDomainSilence) {
      domain.has_recent_event = domain.has_recent_event || stream.has_event;
    } else if (stream.has_event &&
               counted_endpoints.insert(stream.location.endpoint_id).second) {
      ++domain.silent_endpoints;
    }
  }
  const auto is_lost = [&](const Stream& stream) {
    const DomainState& domain =
        domains[{stream.location.service, stream.location.failure_domain}];
    return domain.silent_endpoints >= kMinDomainLosses &&
           !domain.has_recent_event;
  };
  for (const auto& [key, domain] : domains) {
    if (is_lost(*domain.sample)) {
      findings.silent_domains.push_back(domain.sample->location);
    }
  }
  for (const auto& [id, stream] : m_streams) {
    if (stream.postponed_until) {
      if (now >= *stream.postponed_until) {
        findings.silent_streams.push_back(id);
      }
      continue;
    }
    const Duration limit =
        stream.has_event ? kMaxEventSilence : kFirstEventTimeout;
    if (now - stream.last_event > limit || is_lost(stream)) {
      findings.silent_streams.push_back(id);
    }
  }
  return findings;
}

}  // namespace bramleybank
