// Executes the decisions of a StreamSession.
#include "stream_runner.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "http_client.h"
#include "http_refusal.h"
#include "limit_admission_lease.h"
#include "log_event.h"
#include "metric_registry.h"
#include "stream_cursor.h"
#include "stream_engine_transfer.h"
#include "stream_environment.h"
#include "stream_stall_detector.h"

namespace bramleybank {
namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

EndOutcome ToEndOutcome(AttemptLoss loss, const EngineTransfer& transfer) {
  switch (loss) {
    case AttemptLoss::kRefused:
      return transfer.may_have_reached_engine() ? EndOutcome::kErrorEvent
                                                : EndOutcome::kConnectFailed;
    case AttemptLoss::kBroken:
    case AttemptLoss::kGap:
      return EndOutcome::kEarlyEnd;
    case AttemptLoss::kStalled:
      return EndOutcome::kStalled;
    case AttemptLoss::kMalformed:
      return EndOutcome::kErrorEvent;
    case AttemptLoss::kNotAttached:
      return EndOutcome::kCancelled;
  }
  return EndOutcome::kCancelled;
}

}  // namespace

StreamRunner::StreamRunner(const StreamEnvironment* environment,
                           GenerationRequest request,
                           StreamInitialState start,
                           std::optional<StreamBinding> binding,
                           std::shared_ptr<HttpResponder> responder,
                           std::shared_ptr<AdmissionLease> lease,
                           std::function<void()> on_over)
    : m_environment(environment),
      m_request(std::move(request)),
      m_generation(start.generation),
      m_held_position(start.tokens.size()),
      m_binding(std::move(binding)),
      m_session(std::make_unique<StreamSession>(
          std::move(start),
          [loop = environment->loop] { return loop->Now(); },
          environment->random)),
      m_output(&m_request,
               m_generation,
               environment->self,
               environment->metrics,
               {.on_closed =
                    [this](bool is_complete) { OnCallerClosed(is_complete); },
                .on_back_pressure =
                    [this](bool paused) { OnBackPressure(paused); }}),
      m_on_over(std::move(on_over)),
      m_lease(std::move(lease)),
      m_request_time(environment->loop->Now()) {
  if (m_binding) {
    m_engine = m_binding->engine;
    m_may_have_run = true;
    m_lost_time = m_request_time;
    m_output.SetFingerprint(version() + "/" + adapter());
  }
  m_output.SetResponder(std::move(responder));
}

StreamRunner::~StreamRunner() {
  m_environment->loop->Cancel(m_stall_timer);
  m_environment->loop->Cancel(m_resume_timer);
  m_environment->loop->Cancel(m_reconnect_timer);
  EndTicket(EndOutcome::kCancelled);
  CountDrops();
  if (m_is_counted_open) {
    m_environment->on_stream_closed(m_request.model);
  }
}

void StreamRunner::CountDrops() const {
  const StreamDropCounts& drops = m_session->drops();
  const auto count = [this](std::string_view reason, uint64_t amount) {
    if (amount > 0) {
      m_environment->metrics->Count("bramleybank_chunks_dropped_total",
                                    "reason", reason, amount);
    }
  };
  count("late_attempt", drops.late_attempt);
  count("other_request", drops.other_request);
  count("duplicate", drops.duplicate);
}

std::string StreamRunner::version() const {
  return m_binding ? m_binding->version : std::string();
}

std::string StreamRunner::adapter() const {
  return m_binding ? m_binding->adapter : std::string();
}

void StreamRunner::Start() {
  if (m_binding) {
    // A resumed stream is counted before its first token arrives here, so that
    // a stream that lost its daemon and its engine together still adds to the
    // resume reserve.
    m_is_counted_open = true;
    m_environment->on_stream_opened(m_request.model);
    OpenCopy();
  }
  Apply(m_session->Start());
}

void StreamRunner::Apply(const StreamActions& actions) {
  for (const StreamAction& action : actions) {
    std::visit([this](const auto& typed) { Execute(typed); }, action);
  }
}

// Engine side.

std::optional<EngineChoice> StreamRunner::ChooseEngine(EngineRefusal* refusal) {
  EngineQuery query;
  query.model = m_request.model;
  query.adapter = m_request.adapter;
  if (m_session->received() > 0) {
    query.version = version();
    query.adapter = adapter();
  }
  query.avoid = m_lost_engines;
  query.prompt = m_request.prompt;
  query.max_tokens = m_request.max_tokens;
  query.resumed_tokens = m_session->received();
  query.is_first_attempt = m_session->resumes() == 0;
  query.has_output = m_session->received() > 0;
  query.is_retry_granted = std::exchange(m_is_retry_granted, false);
  query.loss = m_last_loss;
  return m_environment->choose_engine(query, refusal);
}

void StreamRunner::Execute(const StartAttempt& action) {
  EngineRefusal refusal;
  const auto choice = ChooseEngine(&refusal);
  if (!choice) {
    m_retry_after_s = refusal.retry_after_s;
    // All engines of the version may have failed this stream. One of them may
    // have recovered by the next attempt.
    m_lost_engines.clear();
    Apply(m_session->OnNoEndpoint(action.attempt, refusal.reason));
    return;
  }
  m_engine = choice->address;
  if (m_session->received() == 0) {
    m_binding = StreamBinding{choice->version, choice->adapter, m_engine};
    m_output.SetFingerprint(version() + "/" + adapter());
  }
  OpenCopy();
  BeginTransfer({.address = m_engine,
                 .generation = generation(),
                 .attempt = action.attempt},
                *choice);
}

void StreamRunner::Execute(const AttachAttempt& action) {
  const auto choice = m_environment->adopt_engine(m_engine);
  BeginTransfer({.address = m_engine,
                 .generation = generation(),
                 .attempt = action.attempt,
                 .attach = true,
                 .position = action.position},
                choice.value_or(EngineChoice{}));
}

void StreamRunner::BeginTransfer(const EngineAttempt& attempt,
                                 const EngineChoice& choice) {
  StopTransfer();
  EndTicket(EndOutcome::kCancelled);
  m_ticket = choice.ticket;
  m_attempt_time = m_environment->loop->Now();
  m_attempt_has_token = false;
  m_environment->metrics->Count("bramleybank_attempts_total");
  LogLine(LogEventId::kAttemptStarted)
      .Field("generation", FormatGeneration(generation()))
      .Field("attempt", attempt.attempt)
      .Field("engine", m_engine)
      .Field("attach", attempt.attach ? "true" : "false")
      .Field("after", static_cast<long long>(m_session->received()));
  const uint32_t number = attempt.attempt;
  m_transfer = std::make_unique<EngineTransfer>(
      m_environment->client, attempt, m_request, m_session->tokens(),
      EngineCallbacks{
          .on_chunk =
              [this, number](const EngineChunk& chunk) {
                const uint64_t before = m_session->received();
                const auto actions =
                    m_session->OnChunk(number, chunk.generation, chunk.attempt,
                                       chunk.index, chunk.text);
                if (m_session->received() > before) {
                  OnTokenSeen();
                }
                Apply(actions);
              },
          .on_end =
              [this, number](const EngineEnd& end) {
                EndTicket(EndOutcome::kSuccess);
                Apply(m_session->OnEnd(number, end.generation, end.attempt,
                                       end.count, end.reason));
              },
          .on_lost =
              [this, number](AttemptLoss loss, const std::string& detail) {
                OnLost(number, loss, detail);
              },
          .on_rejected =
              [this, number](const std::string& detail) {
                EndTicket(EndOutcome::kCancelled);
                Apply(m_session->OnRejected(number, detail));
              }});
  m_stall_detector = std::make_unique<StallDetector>(
      m_attempt_time, choice.first_token, choice.queue);
  ArmStallTimer();
}

void StreamRunner::OnTokenSeen() {
  const TimePoint now = m_environment->loop->Now();
  if (!std::exchange(m_attempt_has_token, true)) {
    m_environment->on_first_token(m_ticket);
  } else {
    m_environment->on_token(m_ticket);
  }
  if (!std::exchange(m_is_counted_open, true)) {
    m_environment->on_stream_opened(m_request.model);
  }
  m_stall_detector->OnToken(now, m_environment->streams_on(m_ticket));
  if (m_lost_time) {
    const Duration interruption = now - *m_lost_time;
    m_lost_time.reset();
    m_environment->metrics->Observe("bramleybank_resume_seconds",
                                    ToSeconds(interruption));
    LogLine(LogEventId::kStreamResumed)
        .Field("generation", FormatGeneration(generation()))
        .Field("position", static_cast<long long>(m_session->received()))
        .Field("engine", m_engine)
        .Field("after_ms", ToMilliseconds(interruption));
  }
}

void StreamRunner::OnLost(uint32_t attempt,
                          AttemptLoss loss,
                          const std::string& detail) {
  if (m_transfer && m_transfer->may_have_reached_engine()) {
    m_may_have_run = true;
  }
  m_environment->metrics->Count("bramleybank_attempts_lost_total", "reason",
                                AttemptLossName(loss));
  LogLine(LogEventId::kAttemptEnded)
      .Field("generation", FormatGeneration(generation()))
      .Field("attempt", attempt)
      .Field("engine", m_engine)
      .Field("reason", AttemptLossName(loss))
      .Field("position", static_cast<long long>(m_session->received()))
      .Field("detail", detail);
  if (!m_lost_time && m_session->received() > 0) {
    m_lost_time = m_environment->loop->Now();
  }
  m_last_loss = loss;
  EndTicket(m_transfer ? ToEndOutcome(loss, *m_transfer)
                       : EndOutcome::kCancelled);
  if (loss != AttemptLoss::kNotAttached) {
    m_lost_engines.push_back(m_engine);
  }
  Apply(m_session->OnLost(attempt, loss));
}

void StreamRunner::EndTicket(EndOutcome outcome) {
  if (m_ticket.is_valid()) {
    m_environment->on_engine_end(std::exchange(m_ticket, EngineTicket()),
                                 outcome);
  }
}

void StreamRunner::StopTransfer() {
  m_environment->loop->Cancel(m_stall_timer);
  if (!m_transfer) {
    return;
  }
  m_may_have_run = m_may_have_run || m_transfer->may_have_reached_engine();
  m_transfer->Stop();
  // Destroyed later, because a callback of the transfer may be on the stack.
  m_environment->loop->Post(
      [transfer = std::shared_ptr<EngineTransfer>(std::move(m_transfer))] {});
}

void StreamRunner::Execute(const CancelAttempt& action) {
  StopTransfer();
  EndTicket(EndOutcome::kCancelled);
  CancelEngineStream(m_environment->client, m_engine, generation(),
                     action.attempt);
}

void StreamRunner::Execute(const ScheduleResume& action) {
  StopTransfer();
  m_environment->metrics->Count("bramleybank_resumes_total");
  m_resume_timer = m_environment->loop->Schedule(
      action.delay, [this] { Apply(m_session->OnResumeDue()); });
}

void StreamRunner::ArmStallTimer() {
  m_environment->loop->Cancel(m_stall_timer);
  const TimePoint deadline = m_stall_detector->Deadline();
  m_stall_timer = m_environment->loop->Schedule(
      deadline - m_environment->loop->Now(), [this] { CheckStall(); });
}

void StreamRunner::CheckStall() {
  if (!m_session->is_attempt_running() || m_output.is_paused()) {
    return;
  }
  // Tokens extend the deadline without rescheduling the timer.
  if (m_environment->loop->Now() < m_stall_detector->Deadline()) {
    ArmStallTimer();
    return;
  }
  if (m_session->received() == 0) {
    // If the retry budget is used up, the request keeps waiting for its first
    // token: a refused retry would end the request although the engine may
    // still answer.
    if (!m_environment->take_retry(m_request.model, AttemptLoss::kStalled)) {
      m_stall_detector = std::make_unique<StallDetector>(
          m_environment->loop->Now(), Duration{0}, Duration{0});
      ArmStallTimer();
      return;
    }
    m_is_retry_granted = true;
  }
  OnLost(m_session->attempt(), AttemptLoss::kStalled,
         "no token within the allowed time");
}

// Copy in another daemon.

StreamCopyInfo StreamRunner::CopyInfo() const {
  return {.generation = generation(),
          .attempt = m_session->attempt(),
          .request_hash = m_request.body_hash,
          .model = m_request.model,
          .version = version(),
          .adapter = adapter(),
          .engine = m_engine,
          .holder = m_binding ? m_binding->copy_holder : std::string(),
          .held_position = m_held_position};
}

void StreamRunner::OpenCopy() {
  // A stream cannot be copied without its first tokens.
  if (is_buffered() || !m_environment->open_copy || m_session->base() != 0) {
    return;
  }
  if (m_has_copy) {
    m_environment->update_copy(CopyInfo());
    return;
  }
  m_has_copy = true;
  if (m_environment->open_copy(CopyInfo(), m_session->tokens())) {
    m_session->OnProtected();
  }
}

void StreamRunner::Execute(const CopyToken& action) {
  if (m_has_copy) {
    m_environment->append_copy(generation(), action.text);
  }
}

void StreamRunner::OnCopied(uint64_t position) {
  Apply(m_session->OnCopied(position));
}

void StreamRunner::OnUnprotected() {
  if (!m_session->is_protected()) {
    return;
  }
  m_environment->metrics->Count("bramleybank_streams_unprotected_total");
  LogLine(LogEventId::kStreamUnprotected)
      .Field("generation", FormatGeneration(generation()))
      .Field("position", static_cast<long long>(m_session->received()));
  Apply(m_session->OnUnprotected());
}

void StreamRunner::OnSuperseded() {
  StopTransfer();
  EndTicket(EndOutcome::kCancelled);
  Apply(m_session->OnSuperseded());
}

// Caller side.

void StreamRunner::OnBackPressure(bool paused) {
  if (!m_transfer) {
    return;
  }
  if (paused) {
    m_transfer->Pause();
    return;
  }
  m_transfer->Resume();
  // The pause was caused by the caller, so it must not count as a gap between
  // tokens of the engine.
  m_stall_detector = std::make_unique<StallDetector>(m_environment->loop->Now(),
                                                     Duration{0}, Duration{0});
  ArmStallTimer();
}

bool StreamRunner::Reattach(std::shared_ptr<HttpResponder> responder,
                            uint64_t position) {
  if (m_is_over || position < m_session->base() ||
      position > m_session->received()) {
    return false;
  }
  m_environment->loop->Cancel(m_reconnect_timer);
  m_output.SetResponder(std::move(responder));
  LogLine(LogEventId::kStreamReattached)
      .Field("generation", FormatGeneration(generation()))
      .Field("position", static_cast<long long>(position))
      .Field("engine", m_engine)
      .Field("copy", "local");
  if (auto actions = m_session->OnCallerReconnected(position)) {
    Apply(*actions);
  }
  if (m_given_up) {
    // The refusal was lost with the caller's previous connection.
    SendGiveUp(*m_given_up);
  }
  return true;
}

void StreamRunner::OnCallerClosed(bool is_complete) {
  if (is_complete && m_finished) {
    Close(false);
    return;
  }
  LogLine(LogEventId::kStreamCallerGone)
      .Field("generation", FormatGeneration(generation()))
      .Field("position", static_cast<long long>(m_session->delivered()));
  m_environment->metrics->Count("bramleybank_callers_gone_total");
  if (is_buffered() || m_session->received() == 0) {
    // The caller has no event id, so it cannot reconnect to this stream.
    Abandon();
    return;
  }
  if (m_transfer) {
    m_transfer->Resume();
  }
  m_reconnect_timer = m_environment->loop->Schedule(kCallerReconnectWindow,
                                                    [this] { Abandon(); });
}

void StreamRunner::Abandon() {
  if (m_session->is_attempt_running()) {
    Execute(CancelAttempt{m_session->attempt()});
  }
  Close(false);
}

void StreamRunner::Close(bool keep_copy) {
  if (std::exchange(m_is_over, true)) {
    return;
  }
  if (m_has_copy) {
    const auto& end =
        keep_copy ? m_environment->abandon_copy : m_environment->end_copy;
    end(generation());
  }
  m_environment->loop->Post(m_on_over);
}

OutputSource StreamRunner::CurrentSource() const {
  return {.engine = m_engine,
          .attempt = m_session->attempt(),
          .copy_holder = m_has_copy ? m_environment->copy_holder(generation())
                                    : std::string()};
}

void StreamRunner::Execute(const DeliverToken& action) {
  if (action.position == 1) {
    m_environment->metrics->Observe(
        "bramleybank_first_token_seconds",
        ToSeconds(m_environment->loop->Now() - m_request_time));
  }
  if (m_output.has_caller() || is_buffered()) {
    m_output.WriteToken(CurrentSource(), action.position, action.text);
  }
}

void StreamRunner::Execute(const FinishStream& action) {
  StopTransfer();
  if (!m_finished) {
    m_finished = true;
    m_environment->metrics->Count("bramleybank_streams_finished_total");
    LogLine(LogEventId::kStreamFinished)
        .Field("generation", FormatGeneration(generation()))
        .Field("tokens", static_cast<long long>(action.count))
        .Field("resumes", m_session->resumes());
  }
  m_output.Finish(CurrentSource(), action.reason, action.count);
}

void StreamRunner::Execute(const GiveUpStream& action) {
  StopTransfer();
  m_finished = true;
  if (!m_may_have_run && m_lease) {
    m_lease->MarkNotRun();
  }
  LogLine(LogEventId::kStreamGivenUp)
      .Field("generation", FormatGeneration(generation()))
      .Field("code", static_cast<int>(action.reason.code))
      .Field("position", static_cast<long long>(action.position))
      .Field("detail", action.reason.detail);
  if (!m_output.has_caller()) {
    Close(action.reason.code == ResultCode::kStreamTakenOver);
    return;
  }
  if (action.reason.code == ResultCode::kStreamTakenOver) {
    // The caller has reconnected to another daemon, so this connection is
    // closed without an answer.
    m_output.Abort();
    Close(true);
    return;
  }
  m_given_up = action;
  SendGiveUp(action);
}

void StreamRunner::SendGiveUp(const GiveUpStream& action) {
  HttpRefusal refusal;
  refusal.code = action.reason.code;
  refusal.message = action.reason.detail;
  refusal.outcome =
      m_may_have_run ? RefusalOutcome::kUnknown : RefusalOutcome::kNotRun;
  const bool is_final = action.reason.code == ResultCode::kEngineRejected ||
                        action.reason.code == ResultCode::kUnknownModel;
  if (!is_final) {
    refusal.retry_after_s = m_retry_after_s;
  }
  if (action.position > 0) {
    refusal.position = action.position;
  }
  m_output.Refuse(refusal);
}

void StreamRunner::RefuseForExit() {
  if (!m_output.has_caller() || m_finished) {
    return;
  }
  m_finished = true;
  StopTransfer();
  SendGiveUp(
      {{ResultCode::kDraining, "the daemon stops; retry with another daemon"},
       m_session->delivered()});
}

void StreamRunner::HandOver() {
  if (!m_output.has_caller() || is_buffered() || m_finished ||
      m_session->delivered() == 0) {
    return;
  }
  // The engine keeps its stream for its hold time, and the holder keeps the
  // copy, so the next daemon can continue without a new attempt.
  m_output.HandOver(CurrentSource(), m_session->delivered());
  StopTransfer();
  EndTicket(EndOutcome::kCancelled);
  m_environment->metrics->Count("bramleybank_streams_handed_over_total");
  Close(true);
}

}  // namespace bramleybank
