// Probes and their results, by endpoint.
#include "endpoint_prober.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_entry.h"
#include "engine_call.h"
#include "event_loop.h"
#include "gateway_codec.h"
#include "log_event.h"
#include "metric_registry.h"

namespace bramleybank {
namespace {

// Each answer in a row doubles the time until the next probe, up to a factor of
// 2^3.
constexpr int kMaxIntervalDoublings = 3;

}  // namespace

struct EndpointProber::Endpoint {
  EndpointEvidence evidence;
  // The open probe.
  std::unique_ptr<EngineCall> call;
  int answers_in_a_row = 0;
};

EndpointProber::EndpointProber(EventLoop* loop,
                               const GatewayCodec* codec,
                               MetricRegistry* metrics,
                               std::function<void()> on_news)
    : m_loop(loop),
      m_codec(codec),
      m_metrics(metrics),
      m_on_news(std::move(on_news)),
      m_alive(std::make_shared<bool>(true)) {}

EndpointProber::~EndpointProber() = default;

bool EndpointProber::Probe(const EndpointEntry& entry) {
  EvictIdle();
  const TimePoint now = m_loop->Now();
  auto& endpoint = m_endpoints[entry.id];
  if (!endpoint) {
    endpoint = std::make_unique<Endpoint>();
  }
  EndpointEvidence& evidence = endpoint->evidence;
  const Duration since_probe = now - evidence.probed_at;
  const bool is_answer_valid =
      evidence.answer_valid_until && now < *evidence.answer_valid_until;
  if (endpoint->call || is_answer_valid || since_probe < kMinProbeInterval) {
    return false;
  }
  if (since_probe > kProbeStreakTime) {
    endpoint->answers_in_a_row = 0;
  }
  evidence.probed_at = now;
  if (!evidence.unanswered_since) {
    evidence.unanswered_since = now;
  }
  endpoint->call = std::make_unique<EngineCall>(
      m_loop, entry.address, m_codec->encode_report_request(),
      kEngineReplyTimeout,
      [this, id = entry.id](const EngineReply& reply) { OnReply(id, reply); });
  ScheduleNews(kProbeTimeout);
  return true;
}

void EndpointProber::OnReply(const std::string& id, const EngineReply& reply) {
  Endpoint& endpoint = *m_endpoints.at(id);
  endpoint.call.reset();
  const bool answered = reply.is_complete();
  const TimePoint now = m_loop->Now();
  // An engine at its limit of connections ends further ones at once. A later
  // end may come from the network.
  const bool rejected = !answered && reply.was_closed_by_engine &&
                        now - endpoint.evidence.probed_at < kProbeTimeout;
  m_metrics->Count("bramleybank_probes_total", "result",
                   answered   ? "answered"
                   : rejected ? "rejected"
                              : "unanswered");
  if (!answered && !rejected) {
    endpoint.answers_in_a_row = 0;
    return;
  }
  const Duration interval =
      Duration(kMinProbeInterval) * (1 << endpoint.answers_in_a_row);
  endpoint.answers_in_a_row =
      std::min(endpoint.answers_in_a_row + 1, kMaxIntervalDoublings);
  EndpointEvidence& evidence = endpoint.evidence;
  evidence.unanswered_since.reset();
  evidence.answer_valid_until = now + interval;
  if (answered) {
    evidence.report = m_codec->decode_report(reply.body);
    evidence.reported_at = now;
  }
  ScheduleNews(Duration{0});
}

void EndpointProber::OnSign(std::string_view endpoint_id) {
  const auto it = m_endpoints.find(endpoint_id);
  if (it == m_endpoints.end()) {
    return;
  }
  Endpoint& endpoint = *it->second;
  if (endpoint.call) {
    endpoint.evidence.unanswered_since = m_loop->Now();
  } else {
    endpoint.evidence.unanswered_since.reset();
  }
}

const EndpointEvidence& EndpointProber::Find(
    std::string_view endpoint_id) const {
  static const EndpointEvidence none;
  const auto it = m_endpoints.find(endpoint_id);
  return it == m_endpoints.end() ? none : it->second->evidence;
}

void EndpointProber::ScheduleNews(Duration delay) {
  m_loop->Schedule(delay, [this, weak = std::weak_ptr(m_alive)] {
    if (!weak.expired()) {
      m_on_news();
    }
  });
}

void EndpointProber::EvictIdle() {
  const TimePoint now = m_loop->Now();
  if (now - m_last_eviction < kProbeRetention) {
    return;
  }
  m_last_eviction = now;
  std::erase_if(m_endpoints, [&](const auto& item) {
    const Endpoint& endpoint = *item.second;
    return !endpoint.call &&
           now - endpoint.evidence.probed_at > kProbeRetention;
  });
}

}  // namespace bramleybank
