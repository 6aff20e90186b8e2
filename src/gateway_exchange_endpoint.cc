// The part of an exchange that chooses endpoints: permits and prompts that
// decide where the next attempt goes, and what answers say about endpoints.
#include "gateway_exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_limiter.h"
#include "endpoint_picker.h"
#include "engine_loads.h"
#include "event_loop.h"
#include "exchange_attempt.h"
#include "gateway_config.h"
#include "log_event.h"
#include "metric_registry.h"
#include "prompt_locator.h"
#include "request_priority.h"
#include "rollout_controller.h"

namespace bramleybank {

void GatewayExchange::DescribePlacement() {
  const GatewayService* service = m_config->FindService(m_service);
  if (m_context->loads == nullptr || !is_stream() || service == nullptr ||
      !service->engine || m_metadata.prompt_tokens <= 0) {
    return;
  }
  m_placement = PlacementRequest{
      .size = {.prompt_tokens = static_cast<uint64_t>(m_metadata.prompt_tokens),
               .output_tokens =
                   static_cast<uint64_t>(m_metadata.max_output_tokens)},
      .first_event_target = m_route->latency_target,
      .max_event_gap = m_route->max_event_gap,
      .memory_capacity =
          static_cast<uint64_t>(service->engine->kv_cache_tokens)};
}

std::optional<int> GatewayExchange::EnginePriority() const {
  const GatewayService* service = m_config->FindService(m_service);
  const bool is_used = service != nullptr && service->engine &&
                       m_config->HasPriorities(m_service);
  return is_used
             ? std::optional(RequestPriority(
                   *m_route, m_config->FindCustomer(m_metadata.customer_key)))
             : std::nullopt;
}

void GatewayExchange::RefreshLoads() {
  m_context->loads->Refresh([weak = std::weak_ptr(m_alive)] {
    const auto self = weak.lock();
    if (self && !(*self)->m_is_finished) {
      (*self)->m_has_fresh_loads = true;
      (*self)->StartNextAttempt();
    }
  });
}

void GatewayExchange::LookUpPromptEndpoint() {
  m_context->prompts->Find(
      m_metadata.prompt_parts,
      [weak = std::weak_ptr(m_alive)](const std::string& endpoint_id) {
        const auto self = weak.lock();
        if (self && !(*self)->m_is_finished) {
          (*self)->m_prompt_endpoint_id = endpoint_id;
          (*self)->m_context->metrics->Count(
              "bramleybank_prompt_lookups_total", "result",
              endpoint_id.empty() ? "unknown" : "found");
          (*self)->StartNextAttempt();
        }
      });
}

void GatewayExchange::StartNextAttempt() {
  if (EndIfQuarantined()) {
    return;
  }
  if (!MayStillSend()) {
    GiveUpForStop();
    return;
  }
  const EndpointRecord* holder = UsableBackupHolder();
  if (holder != nullptr && m_context->limiter->MaySend(*holder)) {
    StartAttempt(*holder, /*from_backup=*/true);
    return;
  }
  if (m_placement && !m_has_fresh_loads) {
    RefreshLoads();
    return;
  }
  EndpointChoice choice = PickEndpoint();
  const bool has_none =
      choice.endpoint == nullptr && choice.needs_permit == nullptr;
  if (has_none && ReadmitSilentEndpoints()) {
    choice = PickEndpoint();
  }
  const bool is_last_resort = choice.endpoint == nullptr ||
                              m_context->directory->IsSuspect(*choice.endpoint);
  if (is_last_resort && choice.needs_permit != nullptr && MayWaitForPermit()) {
    WaitForPermit(*choice.needs_permit);
    return;
  }
  if (choice.endpoint != nullptr) {
    StartAttempt(*RequestBetter(choice), /*from_backup=*/false);
    return;
  }
  if (MayWaitForEndpoint()) {
    WaitForEndpoint(RetryReason::kRefusedByEndpoint);
    return;
  }
  if (m_context->limiter->RemainingWait(m_service) &&
      !m_context->directory->RemainingPause(m_service)) {
    GiveUp(ResultCode::kEndpointsLimited);
    return;
  }
  GiveUp(m_tried_endpoints.empty() ? ResultCode::kNoEndpoint
                                   : ResultCode::kOverloaded);
}

bool GatewayExchange::MayWaitForPermit() {
  const TimePoint now = m_context->loop->Now();
  if (!m_permit_wait_end) {
    m_permit_wait_end = now + kMaxPermitWait;
  }
  return now < *m_permit_wait_end;
}

void GatewayExchange::WaitForPermit(const EndpointRecord& endpoint) {
  m_context->limiter->Request(endpoint, [weak = std::weak_ptr(m_alive)] {
    const auto self = weak.lock();
    if (self && !(*self)->m_is_finished) {
      (*self)->StartNextAttempt();
    }
  });
}

const EndpointRecord* GatewayExchange::RequestBetter(
    const EndpointChoice& choice) const {
  if (choice.needs_permit == nullptr) {
    return choice.endpoint;
  }
  m_context->limiter->Request(*choice.needs_permit, nullptr);
  // The answer is here already when this gateway issues the permits.
  return m_context->limiter->MaySend(*choice.needs_permit) ? choice.needs_permit
                                                           : choice.endpoint;
}

const EndpointRecord* GatewayExchange::FindPromptEndpoint() const {
  const EndpointRecord* record =
      m_context->directory->Find(m_prompt_endpoint_id);
  const bool is_known =
      record != nullptr && m_context->directory->IsReachable(*record);
  return is_known ? record : nullptr;
}

EndpointChoice GatewayExchange::PickEndpoint() const {
  const EndpointDirectory& directory = *m_context->directory;
  const RolloutRule versions =
      m_tried_endpoints.empty()
          ? m_context->rollouts->RuleForRequest(m_service, m_route->name)
          : m_context->rollouts->RuleForRetry(m_service);
  const EndpointRecord* known = FindPromptEndpoint();
  if (known != nullptr && directory.IsUsable(*known) &&
      !directory.IsSuspect(*known) && known->entry.service == m_service &&
      m_context->limiter->MaySend(*known) &&
      versions.Allows(known->entry.version) &&
      std::ranges::find(m_tried_endpoints, known->entry.id) ==
          m_tried_endpoints.end()) {
    return {.endpoint = known};
  }
  return m_context->picker->PickForAttempt(
      {.service = m_service,
       .avoid = &m_tried_endpoints,
       .is_stream = is_stream(),
       .versions = versions,
       .placement = m_placement ? &*m_placement : nullptr});
}

bool GatewayExchange::ReadmitSilentEndpoints() {
  for (const std::string& id : m_silent_endpoints) {
    std::erase(m_tried_endpoints, id);
  }
  return !std::exchange(m_silent_endpoints, {}).empty();
}

AttemptMetadata GatewayExchange::DescribeAttempt(const EndpointRecord& endpoint,
                                                 bool from_backup,
                                                 ExchangeAttempt* started) {
  AttemptMetadata attempt{.endpoint_id = endpoint.entry.id,
                          .time_left = TimeLeft(),
                          .customer = m_customer,
                          .last_event_id = m_last_event_id,
                          .backup_address = {},
                          .restore = std::nullopt,
                          .prompt_source = {},
                          .priority = EnginePriority()};
  if (from_backup) {
    attempt.restore = m_current->backup->Name();
    m_current->backup->Abandon();
  }
  const EndpointRecord* prompt_endpoint = FindPromptEndpoint();
  // A KV cache is valid only for the model version that computed it.
  if (!from_backup && prompt_endpoint != nullptr &&
      prompt_endpoint != &endpoint &&
      prompt_endpoint->entry.service == endpoint.entry.service &&
      prompt_endpoint->entry.version == endpoint.entry.version) {
    attempt.prompt_source = prompt_endpoint->entry.address;
  }
  if (started->backup) {
    attempt.backup_address = started->backup->Open(
        endpoint, m_context->rollouts->RuleForRetry(m_service));
  }
  return attempt;
}

void GatewayExchange::UpdateEndpointState(const ExchangeAttempt& attempt) {
  EndpointDirectory* directory = m_context->directory;
  if (attempt.answer.is_leaving && directory->OnLeaving(attempt.endpoint.id)) {
    LogLine(LogEventId::kEndpointLeaving)
        .Field("endpoint", attempt.endpoint.id)
        .Field("id", m_metadata.request_id);
    m_context->metrics->Count("bramleybank_endpoints_leaving_total");
  }
  if (attempt.answer.retry_after) {
    directory->OnPause(attempt.endpoint.id, *attempt.answer.retry_after);
    LogLine(LogEventId::kEndpointPaused)
        .Field("endpoint", attempt.endpoint.id)
        .Field("id", m_metadata.request_id)
        .Field("pause_ms", ToMilliseconds(*attempt.answer.retry_after));
    m_context->metrics->Count("bramleybank_endpoint_pauses_total");
  }
  UpdateRateLimit(attempt);
}

void GatewayExchange::UpdateRateLimit(const ExchangeAttempt& attempt) {
  EndpointDirectory* directory = m_context->directory;
  // A late second answer may be older than the limit, and an answer without the
  // endpoint's own mark may come from elsewhere.
  const bool is_current = (attempt.answer.has_seal || attempt.answer.not_run) &&
                          !attempt.answer.has_other_request_id;
  bool changed = false;
  if (attempt.answer.rate_limit) {
    changed =
        directory->OnRateLimit(attempt.endpoint.id, *attempt.answer.rate_limit,
                               m_context->loop->Now());
  } else if (!attempt.answer.states_rate_limit && is_current) {
    changed = directory->OnNoRateLimit(attempt.endpoint.id, attempt.started_at);
  }
  if (!changed) {
    return;
  }
  LogLine(LogEventId::kEndpointLimited)
      .Field("endpoint", attempt.endpoint.id)
      .Field("id", m_metadata.request_id)
      .Field("limited", attempt.answer.rate_limit ? 1 : 0)
      .Field("per_second",
             std::to_string(attempt.answer.rate_limit.value_or(0)));
  m_context->metrics->Count("bramleybank_endpoint_limits_total", "change",
                            attempt.answer.rate_limit ? "stated" : "ended");
  const EndpointRecord* record = directory->Find(attempt.endpoint.id);
  if (!attempt.answer.rate_limit && record != nullptr) {
    m_context->limiter->OnLimitEnded(*record);
  }
}

}  // namespace bramleybank
