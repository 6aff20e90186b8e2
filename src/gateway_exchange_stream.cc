// The part of an exchange that handles streams: forwarding of events, their
// progress, and the backup of the KV cache.
#include "gateway_exchange.h"

#include <algorithm>
#include <chrono>

#include "bramleybank/limits.h"
#include "endpoint_prober.h"
#include "engine_loads.h"
#include "event_loop.h"
#include "exchange_attempt.h"
#include "gateway_caller.h"
#include "gateway_config.h"
#include "gateway_headers.h"
#include "metric_registry.h"
#include "rollout_controller.h"
#include "stream_silence_monitor.h"

namespace bramleybank {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

bool GatewayExchange::SupportsBackup() const {
  const GatewayService* service = m_config->FindService(m_service);
  return service != nullptr && service->engine &&
         service->engine->supports_backups && m_route->resumable;
}

const EndpointRecord* GatewayExchange::UsableBackupHolder() const {
  return m_current->backup ? m_current->backup->UsableHolder() : nullptr;
}

void GatewayExchange::MaintainBackup() {
  if (m_current->connection && m_current->backup) {
    m_current->backup->Maintain(m_context->rollouts->RuleForRetry(m_service));
  }
}

bool GatewayExchange::IsProgress(const RawEvent& event) const {
  if (event.id) {
    return !m_last_event_id || *event.id > *m_last_event_id;
  }
  // Comments and empty lines only keep the connection open.
  return event.bytes.find("data:") != std::string_view::npos;
}

void GatewayExchange::ForwardEvents() {
  bool has_progress = false;
  while (const auto event = m_current->events.Next()) {
    has_progress = has_progress || IsProgress(*event);
    if (event->id || IsProgress(*event)) {
      ReportBegun();
    }
    if (!ForwardEvent(*event)) {
      FailAttempt(EndpointOutcome::kLost, RetryReason::kChunkGap,
                  "events do not follow those before");
      return;
    }
  }
  if (m_current->events.pending_bytes() > kMaxEventBytes) {
    FailAttempt(EndpointOutcome::kLost, RetryReason::kTooLarge,
                "event exceeds the size limit");
    return;
  }
  if (has_progress) {
    m_context->silence->OnEvent(m_number, m_last_event_id.value_or(0),
                                m_context->loop->Now());
    m_context->prober->OnSign(m_current->endpoint.id);
  }
  if (m_caller->backlog_bytes() > kMaxCallerBacklogBytes) {
    m_current->connection->SetReading(false);
    m_context->silence->Remove(m_number);
    m_caller->SetDrainedHandler([this] {
      if (m_current->connection) {
        m_current->connection->SetReading(true);
        MonitorSilence(m_context->loop->Now());
      }
    });
  }
}

bool GatewayExchange::ForwardEvent(const RawEvent& event) {
  if (event.id && m_last_event_id) {
    if (*event.id <= *m_last_event_id) {
      return true;
    }
    if (*event.id != *m_last_event_id + 1) {
      return false;
    }
  }
  // Only an id shows that an answer continues a stream that has begun.
  if (m_current->must_follow && !event.id && event.has_content) {
    return false;
  }
  if (!m_stream_started) {
    m_stream_started = true;
    m_caller->StartStream(m_current->head.status,
                          RemoveHopByHopHeaders(m_current->head.headers));
  }
  if (event.id) {
    m_last_event_id = event.id;
    m_current->must_follow = false;
    m_position_is_unknown = false;
  } else if (event.has_content) {
    m_position_is_unknown = true;
  }
  if (event.has_content && !m_current->has_event) {
    m_current->has_event = true;
    if (m_placement) {
      m_context->loads->OnFirstEvent(m_current->load_entry, m_current->endpoint,
                                     m_placement->size, m_current->started_at);
    }
    m_prompt_endpoint_id = m_current->endpoint.id;
    ReportVersionOutcome(*m_current, /*failed=*/false);
  }
  if (event.has_content) {
    EndSilence();
    RecordEventTiming();
  }
  m_caller->WriteStream(event.bytes);
  return true;
}

void GatewayExchange::RecordEventTiming() {
  const TimePoint now = m_context->loop->Now();
  if (m_current->backup) {
    m_current->backup->OnFirstEvent();
  }
  if (m_events_forwarded++ == 0) {
    m_first_event_delay = now - m_request.received_at;
    m_context->metrics->Observe("bramleybank_first_event_seconds",
                                Seconds(m_first_event_delay));
  } else {
    m_longest_gap = std::max(m_longest_gap, now - m_last_event_at);
  }
  m_last_event_at = now;
}

void GatewayExchange::OnStreamComplete() {
  if (m_current->events.pending_bytes() > 0) {
    FailAttempt(EndpointOutcome::kLost, RetryReason::kEarlyEnd,
                "stream ended in the middle of an event");
    return;
  }
  // A server that dies as it begins to write closes the connection like this.
  // Only a resumed stream may have no event left, if its end was stated.
  const bool is_resumed = m_last_event_id.value_or(0) > 0;
  if (!m_current->has_event &&
      (!is_resumed || !HasStatedEnd(m_current->head.headers))) {
    FailAttempt(EndpointOutcome::kLost, RetryReason::kEarlyEnd,
                "stream ended before its first event");
    return;
  }
  EndAttempt(m_current.get(), EndpointOutcome::kAnswered);
  if (!m_stream_started) {
    m_caller->StartStream(m_current->head.status,
                          RemoveHopByHopHeaders(m_current->head.headers));
  }
  m_caller->FinishStream();
  Finish();
}

}  // namespace bramleybank
