// The part of an exchange that handles silent attempts. A silent attempt ends
// only when another endpoint has accepted the request; until then it may still
// end the request.
#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "endpoint_limiter.h"
#include "endpoint_picker.h"
#include "endpoint_prober.h"
#include "engine_loads.h"
#include "event_loop.h"
#include "exchange_attempt.h"
#include "gateway_config.h"
#include "gateway_exchange.h"
#include "log_event.h"
#include "metric_registry.h"
#include "prompt_part.h"
#include "rollout_controller.h"
#include "silence_judgement.h"
#include "stream_silence_monitor.h"

namespace bramleybank {

void GatewayExchange::ArmAttemptTimer() {
  m_context->loop->Cancel(m_attempt_timer);
  m_attempt_timer = TimerHandle();
  const Duration target = m_route->latency_target;
  if (m_route->kind != RequestKind::kIdempotent || target <= Duration{0} ||
      m_possible_runs + 1 >= m_route->max_attempts) {
    return;
  }
  m_attempt_timer =
      m_context->loop->Schedule(target, [this] { OnAttemptTimeout(); });
}

void GatewayExchange::OnAttemptTimeout() {
  m_attempt_timer = TimerHandle();
  const bool is_silent = m_current->connection && m_current->head.status == 0;
  if (!is_silent || TimeLeft() <= m_route->latency_target) {
    return;
  }
  ReplaceSilentAttempt(
      {.detail = "no answer within the latency target", .may_ask_again = true});
}

void GatewayExchange::MonitorSilence(TimePoint since) {
  const SilentRun run{
      .request_id = m_metadata.request_id,
      .endpoint_start_ms = m_current->endpoint.start_time_ms,
      .limits = MakeSilenceLimits(m_route->latency_target,
                                  m_route->max_event_gap, m_stream_started),
      .has_event = m_current->has_event,
      .last_event_id = m_last_event_id.value_or(0)};
  m_context->silence->Add(m_number,
                          {.service = m_service,
                           .failure_domain = m_current->endpoint.failure_domain,
                           .endpoint_id = m_current->endpoint.id},
                          run, since);
  m_context->on_monitored();
}

void GatewayExchange::OnSilence(SilenceVerdict verdict) {
  if (!m_current->connection) {
    return;
  }
  const auto& answer_valid_until =
      m_context->prober->Find(m_current->endpoint.id).answer_valid_until;
  ReplaceSilentAttempt(
      {.detail = NameOf(verdict),
       .may_ask_again =
           answer_valid_until && *answer_valid_until > m_context->loop->Now()});
}

void GatewayExchange::ReplaceSilentAttempt(const Silence& silence) {
  if (m_successor) {
    return;
  }
  m_silence = silence;
  ReadmitRefusingEndpoints();
  ScheduleReplacement(TryReplaceSilentAttempt());
}

void GatewayExchange::ScheduleReplacement(Duration wait) {
  if (is_stream()) {
    m_context->silence->Postpone(m_number, m_context->loop->Now() + wait);
    return;
  }
  m_context->loop->Cancel(m_attempt_timer);
  m_attempt_timer =
      m_context->loop->Schedule(wait, [this] { OnAttemptTimeout(); });
}

Duration GatewayExchange::TryReplaceSilentAttempt() {
  if (!MayRetry()) {
    return KeepSilentAttempt("not_allowed", kSilenceRecheckInterval);
  }
  std::optional<Successor> next = FindSuccessor();
  if (!next) {
    next = FindSilentEndpoint();
  }
  if (!next) {
    return KeepSilentAttempt("no_endpoint", kSilenceRecheckInterval);
  }
  if (next->needs_permit) {
    return KeepSilentAttempt("no_permit", kPermitRecheckInterval);
  }
  if (!ChargeRetry(RetryReason::kStalled)) {
    return KeepSilentAttempt("no_budget", kSilenceRecheckInterval);
  }
  ReportSilence();
  // The loss may have made the domain of the silent endpoint suspect.
  const std::optional<Successor> better = FindSuccessor();
  if (better && !better->needs_permit) {
    next = better;
  }
  StartSuccessor(*next);
  return kSilenceRecheckInterval;
}

Duration GatewayExchange::KeepSilentAttempt(std::string_view reason,
                                            Duration wait) {
  if (!std::exchange(m_current->is_kept, true)) {
    LogLine(LogEventId::kAttemptKept)
        .Field("id", m_metadata.request_id)
        .Field("endpoint", m_current->endpoint.id)
        .Field("reason", reason)
        .Field("attempt_ms",
               ToMilliseconds(m_context->loop->Now() - m_current->started_at));
    m_context->metrics->Count("bramleybank_silent_attempts_kept_total",
                              "reason", reason);
  }
  return wait;
}

void GatewayExchange::ReportSilence() {
  if (std::exchange(m_current->is_reported_silent, true)) {
    return;
  }
  m_context->directory->OnSilence(m_current->endpoint.id);
  if (m_placement) {
    m_context->loads->OnLost(m_current->endpoint);
  }
}

void GatewayExchange::EndSilence() {
  m_was_refused = false;
  m_endpoint_waits = 0;
  CancelSuccessor();
  if (std::exchange(m_current->is_reported_silent, false)) {
    m_context->directory->OnSign(m_current->endpoint.id);
  }
}

void GatewayExchange::ReadmitRefusingEndpoints() {
  for (const std::string& id : std::exchange(m_refusing_endpoints, {})) {
    const bool is_open = m_current->connection && id == m_current->endpoint.id;
    if (!is_open) {
      std::erase(m_tried_endpoints, id);
    }
  }
  m_max_sends = std::max(m_max_sends, m_sends + kSendsPerWait);
}

std::optional<GatewayExchange::Successor> GatewayExchange::FindSuccessor()
    const {
  if (!FindBlockingParts().empty()) {
    return std::nullopt;
  }
  const EndpointRecord* holder = UsableBackupHolder();
  if (holder != nullptr && m_context->limiter->MaySend(*holder)) {
    return Successor{.endpoint = holder, .from_backup = true};
  }
  const EndpointChoice choice = PickEndpoint();
  const bool is_sound = choice.endpoint != nullptr &&
                        !m_context->directory->IsSuspect(*choice.endpoint);
  if (is_sound) {
    return Successor{.endpoint = choice.endpoint};
  }
  if (choice.needs_permit == nullptr) {
    return std::nullopt;
  }
  m_context->limiter->Request(*choice.needs_permit, nullptr);
  // The answer is here already when this gateway issues the permits.
  return Successor{
      .endpoint = choice.needs_permit,
      .needs_permit = !m_context->limiter->MaySend(*choice.needs_permit)};
}

std::optional<GatewayExchange::Successor> GatewayExchange::FindSilentEndpoint()
    const {
  const std::string& id = m_current->endpoint.id;
  const EndpointRecord* record = m_context->directory->Find(id);
  const bool is_last_resort =
      !m_refusing_endpoints.empty() &&
      std::ranges::find(m_refusing_endpoints, id) == m_refusing_endpoints.end();
  if (!is_last_resort || !m_silence.may_ask_again || record == nullptr) {
    return std::nullopt;
  }
  const bool may_send = m_context->directory->IsUsable(*record) &&
                        m_context->limiter->MaySend(*record) &&
                        m_context->rollouts->RuleForRetry(m_service).Allows(
                            record->entry.version) &&
                        FindBlockingParts().empty();
  return may_send ? std::optional(Successor{.endpoint = record}) : std::nullopt;
}

}  // namespace bramleybank
