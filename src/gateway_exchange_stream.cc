// The part of an exchange that concerns streams: events on their way to the
// caller, their progress, and the copy of the run's memory.
#include "gateway_exchange.h"

#include <algorithm>
#include <chrono>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "event_splitter.h"
#include "gateway_caller.h"
#include "gateway_config.h"
#include "gateway_headers.h"
#include "metric_registry.h"
#include "rollout_director.h"
#include "stream_silence_monitor.h"

namespace bramleybank {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

bool GatewayExchange::HasBackup() const {
  const GatewayService* service = m_config->FindService(m_service);
  return service != nullptr && service->engine &&
         service->engine->supports_backups && m_route->resumable;
}

void GatewayExchange::WatchSilence() {
  m_environment->silence->Add(m_number,
                              {.service = m_service,
                               .failure_domain = m_endpoint.failure_domain,
                               .endpoint_id = m_endpoint.id},
                              m_environment->loop->Now());
}

void GatewayExchange::MaintainBackup() {
  if (m_attempt && HasBackup()) {
    m_backup.Maintain(m_environment->rollouts->Repeat(m_service));
  }
}

bool GatewayExchange::IsProgress(const RawEvent& event) const {
  if (event.id) {
    return !m_last_event_id || *event.id > *m_last_event_id;
  }
  // Comments and empty lines keep a connection open and say nothing.
  return event.bytes.find("data:") != std::string_view::npos;
}

void GatewayExchange::RelayEvents() {
  bool has_progress = false;
  while (const auto event = m_events.Next()) {
    has_progress = has_progress || IsProgress(*event);
    if (!PassEvent(*event)) {
      LoseAttempt(EndpointOutcome::kLost, RetryReason::kChunkGap,
                  "an event is missing");
      return;
    }
  }
  if (m_events.pending_bytes() > kMaxEventBytes) {
    LoseAttempt(EndpointOutcome::kLost, RetryReason::kTooLarge,
                "an event is over the limit");
    return;
  }
  if (has_progress) {
    m_environment->silence->OnEvent(m_number, m_environment->loop->Now());
  }
  if (m_caller->backlog_bytes() > kMaxCallerBacklogBytes) {
    m_attempt->SetReading(false);
    m_environment->silence->Remove(m_number);
    m_caller->SetDrainedHandler([this] {
      if (m_attempt) {
        m_attempt->SetReading(true);
        WatchSilence();
      }
    });
  }
}

bool GatewayExchange::PassEvent(const RawEvent& event) {
  if (event.id && m_last_event_id) {
    if (*event.id <= *m_last_event_id) {
      return true;
    }
    if (*event.id != *m_last_event_id + 1) {
      return false;
    }
  }
  if (!m_stream_started) {
    m_stream_started = true;
    m_caller->StartStream(m_head.status,
                          WithoutConnectionHeaders(m_head.headers));
  }
  if (event.id) {
    m_last_event_id = event.id;
  }
  if (!m_attempt_has_event) {
    m_attempt_has_event = true;
    m_prompt_location = m_endpoint.id;
    ObserveVersion(/*failed=*/false);
  }
  MeasureEvent();
  m_caller->WriteStream(event.bytes);
  return true;
}

void GatewayExchange::MeasureEvent() {
  const TimePoint now = m_environment->loop->Now();
  m_backup.OnFirstEvent();
  if (m_events_passed++ == 0) {
    m_first_event_wait = now - m_request.received_at;
    m_environment->metrics->Observe("bramleybank_first_event_seconds",
                                    Seconds(m_first_event_wait));
  } else {
    m_longest_gap = std::max(m_longest_gap, now - m_last_event_at);
  }
  m_last_event_at = now;
}

void GatewayExchange::OnStreamWhole() {
  if (m_events.pending_bytes() > 0) {
    LoseAttempt(EndpointOutcome::kLost, RetryReason::kEarlyEnd,
                "the stream ended inside an event");
    return;
  }
  EndAttempt(EndpointOutcome::kAnswered);
  if (!m_stream_started) {
    m_caller->StartStream(m_head.status,
                          WithoutConnectionHeaders(m_head.headers));
  }
  m_caller->FinishStream();
  Finish();
}

void GatewayExchange::OnSilence() {
  if (m_attempt) {
    LoseAttempt(EndpointOutcome::kLost, RetryReason::kStalled, "silent");
  }
}

}  // namespace bramleybank
