// Decisions for one generation; charts/stream.scxml defines the states.
#include "stream_session.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bramleybank/limits.h"
#include "chart_machine.h"
#include "chart_stream_p.h"

namespace bramleybank {
namespace {

constexpr Duration kFirstResumeDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxResumeDelay = std::chrono::milliseconds(500);

std::shared_ptr<const Chart> StreamChart() {
  static const auto chart = LoadEmbeddedChart(kStreamChart);
  return chart;
}

}  // namespace

std::string_view AttemptLossName(AttemptLoss loss) {
  switch (loss) {
    case AttemptLoss::kRefused:
      return "refused";
    case AttemptLoss::kBroken:
      return "broken";
    case AttemptLoss::kStalled:
      return "stalled";
    case AttemptLoss::kGap:
      return "gap";
    case AttemptLoss::kMalformed:
      return "malformed";
    case AttemptLoss::kNotAttached:
      return "not_attached";
  }
  return "unknown";
}

StreamSession::StreamSession(StreamInitialState start,
                             ClockHook clock,
                             RandomHook random)
    : m_generation(start.generation),
      m_attach_first(start.attach),
      m_clock(std::move(clock)),
      m_random(std::move(random)),
      m_chart(std::make_unique<ChartMachine>(StreamChart())),
      m_tokens(std::move(start.tokens)),
      m_delivered(start.delivered),
      m_protected(start.is_protected),
      m_reprotect_when_copied(start.is_protected),
      m_attempt(start.first_attempt) {
  assert(m_clock && m_random);
  if (m_tokens.size() < m_delivered) {
    // The tokens before the caller's position are not available here, so the
    // stream can only be continued by the engine that already runs it.
    m_base = m_delivered;
    m_tokens = {};
  }
  m_copied = m_base;
}

StreamSession::~StreamSession() = default;

void StreamSession::Fire(std::string_view event) {
  [[maybe_unused]] const bool is_valid_event = m_chart->Fire(event);
  assert(is_valid_event);
}

bool StreamSession::is_over() const {
  return m_chart->is_final();
}

bool StreamSession::is_attempt_running() const {
  return m_chart->is_in("running");
}

StreamActions StreamSession::Start() {
  Fire("start");
  m_interrupted_since = m_clock();
  StreamActions actions;
  AppendDeliveries(&actions);
  if (m_attach_first) {
    actions.emplace_back(AttachAttempt{m_attempt, received()});
  } else {
    actions.emplace_back(StartAttempt{m_attempt, received()});
  }
  return actions;
}

bool StreamSession::IsCurrent(uint32_t attempt,
                              uint64_t generation,
                              uint32_t chunk_attempt) {
  if (!is_attempt_running() || attempt != m_attempt ||
      chunk_attempt != m_attempt) {
    ++m_drops.late_attempt;
    return false;
  }
  if (generation != m_generation) {
    ++m_drops.other_request;
    return false;
  }
  return true;
}

StreamActions StreamSession::OnChunk(uint32_t attempt,
                                     uint64_t generation,
                                     uint32_t chunk_attempt,
                                     uint64_t index,
                                     std::string_view text) {
  if (!IsCurrent(attempt, generation, chunk_attempt)) {
    return {};
  }
  if (index <= received()) {
    ++m_drops.duplicate;
    return {};
  }
  if (index > received() + 1) {
    return ReplaceAttempt(AttemptLoss::kGap);
  }
  m_tokens.Append(text);
  m_attempts_without_progress = 0;
  m_interrupted_since.reset();
  StreamActions actions;
  actions.emplace_back(CopyToken{index, std::string(text)});
  AppendDeliveries(&actions);
  return actions;
}

StreamActions StreamSession::OnEnd(uint32_t attempt,
                                   uint64_t generation,
                                   uint32_t chunk_attempt,
                                   uint64_t count,
                                   std::string_view reason) {
  if (!IsCurrent(attempt, generation, chunk_attempt)) {
    return {};
  }
  if (count != received()) {
    return ReplaceAttempt(AttemptLoss::kGap);
  }
  Fire("end");
  m_finish_reason = std::string(reason);
  StreamActions actions;
  FinishIfComplete(&actions);
  return actions;
}

StreamActions StreamSession::OnLost(uint32_t attempt, AttemptLoss loss) {
  if (!is_attempt_running() || attempt != m_attempt) {
    return {};
  }
  return ReplaceAttempt(loss);
}

StreamActions StreamSession::OnRejected(uint32_t attempt,
                                        std::string_view detail) {
  if (!is_attempt_running() || attempt != m_attempt) {
    return {};
  }
  return GiveUp(ResultCode::kEngineRejected, std::string(detail));
}

StreamActions StreamSession::OnNoEndpoint(uint32_t attempt,
                                          const Reason& reason) {
  if (!is_attempt_running() || attempt != m_attempt) {
    return {};
  }
  const bool is_wait_over =
      m_interrupted_since &&
      m_clock() - *m_interrupted_since >= kMaxInterruption;
  // A request without output is refused immediately, so that its caller can
  // retry with another daemon. A stream with output waits for an endpoint, at
  // most kMaxInterruption.
  if (received() == 0 || is_wait_over) {
    return GiveUp(reason.code, reason.detail);
  }
  Fire("lost");
  return {ScheduleResume{ResumeDelay()}};
}

StreamActions StreamSession::ReplaceAttempt(AttemptLoss loss) {
  StreamActions actions;
  if (loss != AttemptLoss::kNotAttached) {
    actions.emplace_back(CancelAttempt{m_attempt});
  }
  if (!m_interrupted_since) {
    m_interrupted_since = m_clock();
  }
  const bool is_prefix_known = m_base == 0;
  if (!is_prefix_known) {
    StreamActions end =
        GiveUp(ResultCode::kResumeImpossible,
               "the tokens before the position are not held here");
    actions.insert(actions.end(), end.begin(), end.end());
    return actions;
  }
  ++m_attempts_without_progress;
  if (m_attempts_without_progress >= kMaxStreamAttempts) {
    StreamActions end =
        GiveUp(ResultCode::kAttemptsExhausted,
               "last loss: " + std::string(AttemptLossName(loss)));
    actions.insert(actions.end(), end.begin(), end.end());
    return actions;
  }
  Fire("lost");
  actions.emplace_back(ScheduleResume{ResumeDelay()});
  return actions;
}

Duration StreamSession::ResumeDelay() {
  // The first resume starts immediately. Later ones back off exponentially with
  // full jitter, so that streams that lost the same engine do not retry at the
  // same time.
  if (m_attempts_without_progress <= 1) {
    return Duration{0};
  }
  const int doublings = std::min(m_attempts_without_progress - 2, 8);
  const Duration bound =
      std::min(kFirstResumeDelay * (1 << doublings), kMaxResumeDelay);
  return Duration(static_cast<int64_t>(
      m_random() % static_cast<uint64_t>(bound.count() + 1)));
}

StreamActions StreamSession::OnResumeDue() {
  if (!m_chart->is_in("interrupted")) {
    return {};
  }
  Fire("start");
  ++m_attempt;
  ++m_resumes;
  return {StartAttempt{m_attempt, received()}};
}

StreamActions StreamSession::GiveUp(ResultCode code, std::string detail) {
  Fire("give_up");
  return {GiveUpStream{{code, std::move(detail)}, m_delivered}};
}

StreamActions StreamSession::OnCopied(uint64_t position) {
  StreamActions actions;
  m_copied = std::max(m_copied, std::min(position, received()));
  m_protected =
      m_protected || (m_reprotect_when_copied && m_copied == received());
  if (!is_over()) {
    AppendDeliveries(&actions);
    FinishIfComplete(&actions);
  }
  return actions;
}

StreamActions StreamSession::OnUnprotected() {
  m_protected = false;
  StreamActions actions;
  if (!is_over()) {
    AppendDeliveries(&actions);
    FinishIfComplete(&actions);
  }
  return actions;
}

void StreamSession::OnProtected() {
  m_protected = true;
  m_reprotect_when_copied = true;
}

StreamActions StreamSession::OnSuperseded() {
  if (is_over()) {
    return {};
  }
  Fire("superseded");
  return {GiveUpStream{
      {ResultCode::kStreamTakenOver, "another daemon has taken over"},
      m_delivered}};
}

std::optional<StreamActions> StreamSession::OnCallerReconnected(
    uint64_t position) {
  if (position < m_base || position > received()) {
    return std::nullopt;
  }
  m_delivered = position;
  StreamActions actions;
  AppendDeliveries(&actions);
  FinishIfComplete(&actions);
  return actions;
}

void StreamSession::AppendDeliveries(StreamActions* actions) {
  const uint64_t limit =
      m_protected ? std::min(m_copied, received()) : received();
  while (m_delivered < limit) {
    ++m_delivered;
    actions->emplace_back(DeliverToken{
        m_delivered, std::string(m_tokens[m_delivered - m_base - 1])});
  }
}

void StreamSession::FinishIfComplete(StreamActions* actions) {
  if (!m_finish_reason || m_delivered != received()) {
    return;
  }
  if (m_chart->is_in("flushing")) {
    Fire("flushed");
  }
  actions->emplace_back(FinishStream{*m_finish_reason, m_delivered});
}

}  // namespace bramleybank
