// Runs a load plan.
#include "load_gen_runner.h"

#include <utility>

#include "event_loop.h"
#include "load_gen_call.h"
#include "load_gen_stats.h"

namespace bramleybank {

LoadRunner::LoadRunner(const LoadContext* context, std::function<void()> on_end)
    : m_context(context),
      m_on_end(std::move(on_end)),
      m_plan(*context->settings) {}

LoadRunner::~LoadRunner() {
  m_context->loop->Cancel(m_send_timer);
  m_context->loop->Cancel(m_drain_timer);
}

void LoadRunner::Start() {
  m_start = m_context->loop->Now();
  m_next = m_plan.Next();
  ScheduleNext();
}

void LoadRunner::StartSingle(const PlannedRequest& request) {
  Launch(request, m_context->loop->Now());
  OnPlanEnd();
}

void LoadRunner::StopSending() {
  m_context->loop->Cancel(m_send_timer);
  OnPlanEnd();
}

void LoadRunner::ScheduleNext() {
  while (m_next) {
    const TimePoint due = m_start + m_next->at;
    const TimePoint now = m_context->loop->Now();
    if (due > now) {
      m_send_timer =
          m_context->loop->Schedule(due - now, [this] { ScheduleNext(); });
      return;
    }
    m_context->stats->Observe("send_delay", now - due);
    Launch(*m_next, due);
    m_next = m_plan.Next();
  }
  OnPlanEnd();
}

void LoadRunner::Launch(const PlannedRequest& request, TimePoint intended) {
  m_context->stats->Count("requests");
  const uint64_t id = m_next_id++;
  const auto on_end = [this, id] { OnRequestEnd(id); };
  if (request.kind == LoadKind::kBooking || request.kind == LoadKind::kLookup) {
    auto& call = m_calls[id];
    call = std::make_unique<LoadCall>(m_context, request, intended, on_end);
    call->Start();
    return;
  }
  auto& generation = m_generations[id];
  generation =
      std::make_unique<LoadGeneration>(m_context, request, intended, on_end);
  generation->Start();
}

void LoadRunner::OnRequestEnd(uint64_t id) {
  m_generations.erase(id);
  m_calls.erase(id);
  EndIfIdle();
}

void LoadRunner::OnPlanEnd() {
  if (std::exchange(m_plan_ended, true)) {
    return;
  }
  m_next.reset();
  m_drain_timer =
      m_context->loop->Schedule(m_context->settings->drain_limit, [this] {
        m_context->stats->Count("unfinished",
                                m_generations.size() + m_calls.size());
        End();
      });
  EndIfIdle();
}

void LoadRunner::EndIfIdle() {
  if (m_plan_ended && m_generations.empty() && m_calls.empty()) {
    End();
  }
}

void LoadRunner::End() {
  if (!std::exchange(m_ended, true)) {
    m_on_end();
  }
}

}  // namespace bramleybank
