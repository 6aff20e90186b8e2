// The part of an exchange that starts a second attempt beside a silent one, and
// switches to it once its endpoint has accepted the request: its answer has
// begun, or it has not refused within kAcceptanceTime. Endpoints refuse at once
// when they are full, and a request that they read has no answer for a while.
#include <memory>
#include <string_view>
#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "event_loop.h"
#include "exchange_attempt.h"
#include "gateway_exchange.h"
#include "log_event.h"
#include "metric_registry.h"

namespace bramleybank {

void GatewayExchange::StartSuccessor(const Successor& next) {
  m_successor = SendTo(*next.endpoint, next.from_backup);
  ArmAcceptanceTimer();
}

void GatewayExchange::ArmAcceptanceTimer() {
  m_acceptance_timer = m_context->loop->Schedule(
      kAcceptanceTime, [this] { OnAcceptanceTimeout(); });
}

void GatewayExchange::OnAcceptanceTimeout() {
  m_acceptance_timer = TimerHandle();
  if (IsAcceptanceLikely()) {
    SwitchToSuccessor("accepted");
    return;
  }
  const Duration age = m_context->loop->Now() - m_successor->started_at;
  if (age < kMaxAcceptanceTime) {
    ArmAcceptanceTimer();
    return;
  }
  FailSuccessor(EndpointOutcome::kLost, RetryReason::kStalled,
                "neither accepted nor refused");
}

bool GatewayExchange::IsAcceptanceLikely() const {
  const EndpointEntry& endpoint = m_successor->endpoint;
  if (!m_successor->was_sent() || m_successor->head.status != 0) {
    return false;
  }
  if (endpoint.id == m_current->endpoint.id) {
    // A stream returns to its endpoint only if that one answers probes.
    return is_stream();
  }
  const EndpointRecord* record = m_context->directory->Find(endpoint.id);
  return record != nullptr && !m_context->directory->IsSuspect(*record);
}

void GatewayExchange::OnSuccessorHead(const Http1Head& head) {
  ReadHead(head, m_successor.get());
  if (IsUsableAnswer(*m_successor)) {
    SwitchToSuccessor("answered");
  }
}

void GatewayExchange::OnSuccessorBody(std::string_view data) {
  // The body of a refusal or of an error.
  if (!m_successor->body.Append(data)) {
    FailSuccessor(EndpointOutcome::kFailed, RetryReason::kTooLarge,
                  "answer body exceeds the size limit");
  }
}

void GatewayExchange::OnSuccessorEnd(AttemptEnd end) {
  const AttemptFailure failure =
      FindFailureOf(*m_successor, end)
          .value_or(
              AttemptFailure{.outcome = EndpointOutcome::kFailed,
                             .reason = RetryReason::kErrorEvent,
                             .detail = "answer does not continue the request"});
  FailSuccessor(failure.outcome, failure.reason, failure.detail);
}

void GatewayExchange::FailSuccessor(EndpointOutcome outcome,
                                    RetryReason reason,
                                    std::string_view detail) {
  std::unique_ptr<ExchangeAttempt> failed = TakeSuccessor();
  EndFailedAttempt(failed.get(), outcome, reason, detail);
  FreeLater(std::move(failed));
  CountSuccessor("failed");
  ScheduleReplacement(TryReplaceSilentAttempt());
}

void GatewayExchange::SwitchToSuccessor(std::string_view result) {
  CountSuccessor(result);
  m_silent_endpoints.push_back(m_current->endpoint.id);
  EndFailedAttempt(m_current.get(), EndpointOutcome::kCancelled,
                   RetryReason::kStalled, m_silence.detail);
  SetCurrent(TakeSuccessor());
}

void GatewayExchange::CancelSuccessor() {
  if (!m_successor) {
    return;
  }
  std::unique_ptr<ExchangeAttempt> cancelled = TakeSuccessor();
  if (cancelled->was_sent() && !ProvesNotRun(cancelled->answer)) {
    ++m_possible_runs;
  }
  EndAttempt(cancelled.get(), EndpointOutcome::kCancelled);
  LogLine(LogEventId::kSuccessorCancelled)
      .Field("id", m_metadata.request_id)
      .Field("endpoint", cancelled->endpoint.id)
      .Field("silent_endpoint", m_current->endpoint.id)
      .Field("attempt_ms",
             ToMilliseconds(m_context->loop->Now() - cancelled->started_at));
  CountSuccessor("cancelled");
  FreeLater(std::move(cancelled));
}

std::unique_ptr<ExchangeAttempt> GatewayExchange::TakeSuccessor() {
  m_context->loop->Cancel(std::exchange(m_acceptance_timer, TimerHandle()));
  return std::move(m_successor);
}

void GatewayExchange::CountSuccessor(std::string_view result) const {
  m_context->metrics->Count("bramleybank_successors_total", "result", result);
}

}  // namespace bramleybank
