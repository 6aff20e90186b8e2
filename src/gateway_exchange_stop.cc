// The part of an exchange that takes a planned stop of the gateway into
// account.
#include "bramleybank/limits.h"
#include "event_loop.h"
#include "exchange_attempt.h"
#include "gateway_config.h"
#include "gateway_exchange.h"
#include "metric_registry.h"
#include "stop_admission.h"

namespace bramleybank {

StopVerdict GatewayExchange::JudgeStop() const {
  const bool is_first = m_possible_runs == 0 && !m_stream_started;
  return m_context->judge_stop(
      {.route = m_route, .time_left = TimeLeft(), .is_first = is_first});
}

bool GatewayExchange::MayStillSend() const {
  return JudgeStop() == StopVerdict::kSend;
}

void GatewayExchange::GiveUpForStop() {
  m_context->metrics->Count("bramleybank_stop_refusals_total", "reason",
                            NameOf(JudgeStop()));
  if (m_possible_runs > 0 || m_stream_started) {
    GiveUp(ResultCode::kAnswerLost);
    return;
  }
  Refuse(ResultCode::kDraining, kDrainRetryAfter);
}

void GatewayExchange::RecordAnswerTime() {
  if (!is_stream()) {
    m_context->on_answer_time(m_route->name,
                              m_context->loop->Now() - m_current->started_at);
  }
}

void GatewayExchange::RefuseForStop() {
  if (m_is_finished || m_stream_started) {
    return;
  }
  const bool may_have_run = MayHaveRun();
  if (m_current->connection) {
    EndAttempt(m_current.get(), EndpointOutcome::kCancelled);
  }
  Refuse(may_have_run ? ResultCode::kAnswerLost : ResultCode::kDraining,
         may_have_run ? Duration{0} : Duration(kDrainRetryAfter));
}

}  // namespace bramleybank
