// The part of an exchange that ends attempts and decides whether the request is
// sent once more.
#include <algorithm>
#include <memory>
#include <string_view>
#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_limiter.h"
#include "engine_loads.h"
#include "event_loop.h"
#include "exchange_attempt.h"
#include "gateway_caller.h"
#include "gateway_config.h"
#include "gateway_exchange.h"
#include "log_event.h"
#include "metric_registry.h"
#include "prompt_part.h"
#include "rollout_controller.h"
#include "stream_silence_monitor.h"

namespace bramleybank {

void GatewayExchange::EndAttempt(ExchangeAttempt* attempt,
                                 EndpointOutcome outcome) {
  if (attempt == m_current.get()) {
    m_context->silence->Remove(m_number);
  }
  m_context->directory->OnAttemptEnded(attempt->endpoint.id, outcome);
  if (m_context->loads != nullptr) {
    m_context->loads->OnEnded(std::exchange(attempt->load_entry, 0));
    if (m_placement && (outcome == EndpointOutcome::kLost ||
                        outcome == EndpointOutcome::kMisdirected)) {
      m_context->loads->OnLost(attempt->endpoint);
    }
  }
  if (!attempt->connection) {
    return;
  }
  attempt->connection->Cancel();
  // Deleted later, because the attempt may be inside its own callback.
  m_context->loop->Post([connection = std::shared_ptr<GatewayAttempt>(
                             std::move(attempt->connection))] {});
}

bool GatewayExchange::MayHaveRun() const {
  return m_possible_runs > 0 || m_current->was_sent() ||
         (m_successor && m_successor->was_sent());
}

void GatewayExchange::ReportVersionOutcome(const ExchangeAttempt& attempt,
                                           bool failed) {
  m_context->rollouts->Observe(m_service, m_route->name,
                               attempt.endpoint.version, failed,
                               m_context->loop->Now() - attempt.started_at);
}

void GatewayExchange::FailAttempt(EndpointOutcome outcome,
                                  RetryReason reason,
                                  std::string_view detail) {
  EndFailedAttempt(m_current.get(), outcome, reason, detail);
  if (m_successor) {
    SetCurrent(TakeSuccessor());
    return;
  }
  if (m_possible_runs == 0 && !MayStillSend()) {
    GiveUpForStop();
    return;
  }
  RetryOrGiveUp(reason);
}

void GatewayExchange::RetryOrGiveUp(RetryReason reason) {
  if (TryAcquireRetry(reason)) {
    StartNextAttempt();
    return;
  }
  if (MayWaitForEndpoint()) {
    WaitForEndpoint(reason);
    return;
  }
  GiveUp(m_possible_runs > 0 ? ResultCode::kAnswerLost
                             : ResultCode::kOverloaded);
}

bool GatewayExchange::MayWaitForEndpoint() const {
  if (!m_stream_started || m_position_is_unknown || !m_route->IsIdempotent() ||
      m_possible_runs >= m_route->max_attempts) {
    return false;
  }
  // If no endpoint can be reached, the caller may find one through another
  // gateway.
  const bool lacks_budget = MayRetry() && !m_has_granted_retry;
  return (m_was_refused || lacks_budget) && TimeLeft() > Duration{0} &&
         MayStillSend();
}

void GatewayExchange::WaitForEndpoint(RetryReason reason) {
  const Duration wait = std::min<Duration>(
      kMinEndpointWait * (1 << m_endpoint_waits), kMaxEndpointWait);
  if (wait < kMaxEndpointWait) {
    ++m_endpoint_waits;
  }
  LogLine(LogEventId::kStreamWaits)
      .Field("id", m_metadata.request_id)
      .Field("sends", m_sends)
      .Field("reason", NameOf(reason))
      .Field("wait_ms", ToMilliseconds(wait))
      .Field("last_event", static_cast<long long>(m_last_event_id.value_or(0)));
  m_context->metrics->Count("bramleybank_stream_waits_total", "reason",
                            NameOf(reason));
  m_has_fresh_loads = false;
  m_context->loop->Cancel(m_endpoint_timer);
  m_endpoint_timer = m_context->loop->Schedule(wait, [this, reason] {
    m_endpoint_timer = TimerHandle();
    ReadmitRefusingEndpoints();
    ReadmitSilentEndpoints();
    RetryOrGiveUp(reason);
  });
}

void GatewayExchange::EndFailedAttempt(ExchangeAttempt* attempt,
                                       EndpointOutcome outcome,
                                       RetryReason reason,
                                       std::string_view detail) {
  const bool may_have_run = attempt->was_sent() &&
                            outcome != EndpointOutcome::kRefused &&
                            outcome != EndpointOutcome::kMisdirected;
  EndAttempt(attempt, outcome);
  if (outcome == EndpointOutcome::kRefused) {
    m_refusing_endpoints.push_back(attempt->endpoint.id);
    m_was_refused = true;
  }
  if (outcome == EndpointOutcome::kLost && reason == RetryReason::kEarlyEnd) {
    ReportCrash(*attempt);
  }
  if (may_have_run) {
    m_is_trial = false;
    ++m_possible_runs;
    ReportVersionOutcome(*attempt, /*failed=*/true);
  }
  LogLine(LogEventId::kAttemptEnded)
      .Field("id", m_metadata.request_id)
      .Field("endpoint", attempt->endpoint.id)
      .Field("address", attempt->endpoint.address)
      .Field("reason", NameOf(reason))
      .Field("detail", detail)
      .Field("may_have_run", may_have_run ? 1 : 0)
      .Field("head", attempt->head.status != 0 ? 1 : 0)
      .Field("begun", attempt->has_event ? 1 : 0)
      .Field("parts", FormatParts(m_metadata.shared_parts))
      .Field("last_event", static_cast<long long>(m_last_event_id.value_or(0)))
      .Field("attempt_ms",
             ToMilliseconds(m_context->loop->Now() - attempt->started_at));
  m_context->metrics->Count("bramleybank_attempts_lost_total", "reason",
                            NameOf(reason));
}

bool GatewayExchange::MayRetry() const {
  if (m_position_is_unknown) {
    return false;
  }
  const int runs = m_possible_runs + (m_current->was_sent() ? 1 : 0);
  if (runs > 0 && (!m_route->IsIdempotent() || runs >= m_route->max_attempts)) {
    return false;
  }
  return m_sends < m_max_sends && TimeLeft() > Duration{0} && MayStillSend();
}

bool GatewayExchange::ChargeRetry(RetryReason reason) {
  if (reason == RetryReason::kConnectFailed) {
    // No endpoint received the request, so the retry adds no load and does not
    // count against the retry budget.
    return true;
  }
  if (m_has_granted_retry) {
    return true;
  }
  const bool granted = m_context->budget->TryRetry(
      m_service, reason,
      m_stream_started ? RetryUse::kBegunStream : RetryUse::kRequest);
  m_has_granted_retry = granted;
  m_context->metrics->Count(granted ? "bramleybank_retries_total"
                                    : "bramleybank_retries_refused_total",
                            "reason", NameOf(reason));
  return granted;
}

bool GatewayExchange::TryAcquireRetry(RetryReason reason) {
  return MayRetry() && ChargeRetry(reason);
}

void GatewayExchange::GiveUp(ResultCode code) {
  if (m_stream_started) {
    LogLine(LogEventId::kStreamGivenUp)
        .Field("id", m_metadata.request_id)
        .Field("code", static_cast<int>(code))
        .Field("last_event",
               static_cast<long long>(m_last_event_id.value_or(0)));
    m_context->metrics->Count("bramleybank_streams_given_up_total");
    m_caller->Abort();
    Finish();
    return;
  }
  if (m_possible_runs > 0) {
    Refuse(code == ResultCode::kTimedOut ? code : ResultCode::kAnswerLost,
           Duration{0});
    return;
  }
  // If endpoints have named a time for the next request, callers get it as
  // Retry-After.
  Refuse(code, m_context->limiter->RemainingWait(m_service).value_or(
                   kBusyRetryAfter));
}

}  // namespace bramleybank
