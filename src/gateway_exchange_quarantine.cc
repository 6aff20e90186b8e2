// The part of an exchange that keeps prompts which crash endpoints away from
// them.
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "exchange_attempt.h"
#include "gateway_config.h"
#include "gateway_exchange.h"
#include "log_event.h"
#include "metric_registry.h"
#include "prompt_part.h"
#include "prompt_quarantine.h"

namespace bramleybank {

void GatewayExchange::ReportBegun() {
  if (!std::exchange(m_current->has_begun, true)) {
    m_context->quarantine->OnBegun(m_service, m_metadata.shared_parts);
  }
}

std::vector<PromptPartHash> GatewayExchange::FindBlockingParts() const {
  if (!is_stream()) {
    return {};
  }
  return m_context->quarantine->FindBlocking(m_service,
                                             m_metadata.shared_parts);
}

bool GatewayExchange::EndIfQuarantined() {
  if (m_is_trial) {
    return false;
  }
  const std::vector<PromptPartHash> blocking = FindBlockingParts();
  if (blocking.empty()) {
    return false;
  }
  const bool waits = m_context->quarantine->RequestTrial(
      m_service, blocking, [weak = std::weak_ptr(m_alive)](bool granted) {
        const auto self = weak.lock();
        if (self && !(*self)->m_is_finished) {
          (*self)->OnTrialAnswer(granted);
        }
      });
  if (!waits) {
    RefuseQuarantined(blocking);
  }
  return true;
}

void GatewayExchange::OnTrialAnswer(bool granted) {
  if (granted) {
    m_context->metrics->Count("bramleybank_prompt_trials_total");
    LogLine(LogEventId::kPromptTrial)
        .Field("id", m_metadata.request_id)
        .Field("service", m_service)
        .Field("parts", FormatParts(m_metadata.shared_parts));
    m_is_trial = true;
    StartNextAttempt();
    return;
  }
  const std::vector<PromptPartHash> blocking = FindBlockingParts();
  if (blocking.empty()) {
    StartNextAttempt();
  } else {
    RefuseQuarantined(blocking);
  }
}

void GatewayExchange::OnQuarantined() {
  if (!m_current->connection || m_is_trial || m_current->has_begun) {
    return;
  }
  const std::vector<PromptPartHash> blocking = FindBlockingParts();
  if (blocking.empty()) {
    return;
  }
  CancelSuccessor();
  if (m_current->was_sent()) {
    ++m_possible_runs;
  }
  EndAttempt(m_current.get(), EndpointOutcome::kCancelled);
  m_context->metrics->Count("bramleybank_quarantined_attempts_total");
  RefuseQuarantined(blocking);
}

void GatewayExchange::RefuseQuarantined(
    const std::vector<PromptPartHash>& blocking) {
  m_blocking_parts = FormatParts(blocking);
  if (m_stream_started || m_possible_runs > 0) {
    GiveUp(ResultCode::kPromptQuarantined);
    return;
  }
  Refuse(ResultCode::kPromptQuarantined,
         m_context->quarantine->RemainingTime(m_service, blocking)
             .value_or(kBusyRetryAfter));
}

void GatewayExchange::ReportCrash(const ExchangeAttempt& attempt) {
  m_context->quarantine->OnLost(m_service, attempt.endpoint.address);
  if (is_stream() && !attempt.has_begun) {
    m_context->quarantine->OnCrash(m_service, m_metadata.shared_parts,
                                   attempt.endpoint.address,
                                   attempt.head.status != 0);
  }
}

}  // namespace bramleybank
