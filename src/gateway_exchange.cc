// State of one request from its arrival to the end of its answer. An attempt
// that may have run is repeated only if the request is idempotent. A refusal
// whose status promises "not run" is sent only if no attempt can have run.
#include "gateway_exchange.h"

#include <algorithm>
#include <utility>

#include "attempt_failure.h"
#include "bramleybank/limits.h"
#include "endpoint_adopter.h"
#include "endpoint_limiter.h"
#include "endpoint_picker.h"
#include "endpoint_prober.h"
#include "engine_loads.h"
#include "event_loop.h"
#include "exchange_attempt.h"
#include "gateway_caller.h"
#include "gateway_codec.h"
#include "gateway_config.h"
#include "gateway_headers.h"
#include "http1_status.h"
#include "log_event.h"
#include "metric_registry.h"
#include "prompt_locator.h"
#include "prompt_part.h"
#include "rollout_controller.h"
#include "stream_silence_monitor.h"

namespace bramleybank {

GatewayExchange::GatewayExchange(const ExchangeContext* context,
                                 uint64_t number,
                                 std::shared_ptr<GatewayCaller> caller,
                                 GatewayRequest request,
                                 std::function<void()> on_finished)
    : m_context(context),
      m_number(number),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_metadata(context->codec->decode_request(m_request.headers)),
      m_on_finished(std::move(on_finished)),
      m_config(context->config()),
      m_current(std::make_unique<ExchangeAttempt>(context->memory)),
      m_alive(std::make_shared<GatewayExchange*>(this)),
      m_last_event_id(m_metadata.last_event_id) {}

GatewayExchange::~GatewayExchange() {
  m_context->loop->Cancel(m_timer);
  m_context->loop->Cancel(m_attempt_timer);
  m_context->loop->Cancel(m_acceptance_timer);
  m_context->loop->Cancel(m_endpoint_timer);
}

bool GatewayExchange::is_stream() const {
  return m_route->kind == RequestKind::kStream;
}

Duration GatewayExchange::TimeLeft() const {
  return m_deadline - m_context->loop->Now();
}

void GatewayExchange::Start() {
  m_caller->SetDisconnectHandler([this] { OnCallerDisconnect(); });
  if (!m_config) {
    Refuse(ResultCode::kNotReady, kBusyRetryAfter);
    return;
  }
  if (!FindRoute() || !FindCustomer()) {
    return;
  }
  ChooseService();
  DescribePlacement();
  StartTimers();
  if (!MayStillSend()) {
    GiveUpForStop();
    return;
  }
  m_context->budget->OnFirstTry(m_service);
  const bool resumes = is_stream() && m_last_event_id && SupportsBackup();
  if (resumes && !m_metadata.prompt_parts.empty()) {
    LookUpPromptEndpoint();
  } else {
    StartNextAttempt();
  }
}

bool GatewayExchange::FindRoute() {
  const auto host = FindHeader(m_request.headers, "Host");
  m_route = m_config->FindRoute(host.value_or(""), m_request.Path());
  if (m_route == nullptr) {
    Refuse(ResultCode::kUnknownPath, Duration{0});
    return false;
  }
  m_max_sends = m_route->max_attempts + kMaxExtraSends;
  return true;
}

bool GatewayExchange::FindCustomer() {
  if (!m_config->requires_key()) {
    return true;
  }
  const GatewayCustomer* customer =
      m_config->FindCustomer(m_metadata.customer_key);
  if (customer != nullptr) {
    m_customer = customer->name;
    return true;
  }
  if (m_route->anonymous) {
    return true;
  }
  Refuse(ResultCode::kUnknownCustomerKey, Duration{0});
  return false;
}

void GatewayExchange::ChooseService() {
  double total = 0;
  for (const ServiceShare& share : m_route->services) {
    total += share.weight;
  }
  double remaining_weight = total * UniformFraction(m_context->random);
  for (const ServiceShare& share : m_route->services) {
    if (share.weight <= 0) {
      continue;
    }
    m_service = share.service;
    remaining_weight -= share.weight;
    if (remaining_weight < 0) {
      return;
    }
  }
}

void GatewayExchange::StartTimers() {
  Duration limit = m_route->timeout;
  if (m_metadata.client_timeout) {
    limit = std::min(limit, *m_metadata.client_timeout);
  }
  m_deadline = m_request.received_at + limit;
  m_timer = m_context->loop->Schedule(TimeLeft(), [this] { OnTimeout(); });
}

void GatewayExchange::StartAttempt(const EndpointRecord& endpoint,
                                   bool from_backup) {
  SetCurrent(SendTo(endpoint, from_backup));
}

std::unique_ptr<ExchangeAttempt> GatewayExchange::SendTo(
    const EndpointRecord& endpoint,
    bool from_backup) {
  auto attempt = PrepareAttempt(endpoint);
  std::string message = RenderRequest(endpoint, from_backup, attempt.get());
  m_permit_wait_end.reset();
  OnSend(endpoint, from_backup, attempt.get());
  m_has_fresh_loads = false;
  Connect(attempt.get(), std::move(message));
  return attempt;
}

std::unique_ptr<ExchangeAttempt> GatewayExchange::PrepareAttempt(
    const EndpointRecord& endpoint) {
  auto attempt = std::make_unique<ExchangeAttempt>(m_context->memory);
  attempt->number = ++m_sends;
  m_has_granted_retry = false;
  attempt->endpoint = endpoint.entry;
  attempt->started_at = m_context->loop->Now();
  attempt->must_follow = m_events_forwarded > 0;
  if (is_stream() && SupportsBackup()) {
    attempt->backup = std::make_unique<StreamBackup>(
        StreamBackup::Context{.loop = m_context->loop,
                              .codec = m_context->codec,
                              .directory = m_context->directory,
                              .picker = m_context->picker,
                              .loads = m_context->loads},
        m_metadata.request_id, m_placement);
  }
  return attempt;
}

void GatewayExchange::SetCurrent(std::unique_ptr<ExchangeAttempt> attempt) {
  if (m_current->backup) {
    m_current->backup->Abandon();
  }
  std::swap(m_current, attempt);
  FreeLater(std::move(attempt));
  if (is_stream()) {
    MonitorSilence(m_current->started_at);
    if (SupportsBackup() && !m_metadata.prompt_parts.empty()) {
      m_context->prompts->OnStreamStarted(m_metadata.prompt_parts,
                                          m_current->endpoint.id);
    }
  }
  ArmAttemptTimer();
}

void GatewayExchange::FreeLater(std::unique_ptr<ExchangeAttempt> attempt) {
  m_context->loop->Post(
      [former = std::shared_ptr<ExchangeAttempt>(std::move(attempt))] {});
}

void GatewayExchange::OnSend(const EndpointRecord& endpoint,
                             bool from_backup,
                             ExchangeAttempt* attempt) {
  m_tried_endpoints.push_back(endpoint.entry.id);
  if (endpoint.rate_limit) {
    m_context->metrics->Count("bramleybank_sends_to_limited_total", "attempt",
                              m_sends > 1 ? "repeat" : "first");
  }
  m_context->directory->OnAttemptStarted(endpoint.entry.id);
  m_context->limiter->OnSend(endpoint);
  if (m_placement) {
    const bool has_prompt =
        from_backup || endpoint.entry.id == m_prompt_endpoint_id;
    attempt->load_entry = m_context->loads->OnSent(
        endpoint.entry, m_placement->size, !has_prompt);
  }
  if (!is_stream()) {
    return;
  }
  LogLine(LogEventId::kAttemptStarted)
      .Field("id", m_metadata.request_id)
      .Field("endpoint", endpoint.entry.id)
      .Field("open_here", endpoint.open_attempts)
      .Field("restores", from_backup ? 1 : 0)
      .Field("prompt_at", m_prompt_endpoint_id)
      .Field("backup", attempt->backup ? attempt->backup->holder_id() : "")
      .Field("after_event",
             static_cast<long long>(m_last_event_id.value_or(0)));
}

void GatewayExchange::Connect(ExchangeAttempt* attempt, std::string message) {
  attempt->connection = std::make_unique<GatewayAttempt>(
      m_context->loop, attempt->endpoint.address, std::move(message),
      m_request.method == "HEAD",
      AttemptCallbacks{
          .on_head =
              [this, attempt](const Http1Head& head) {
                IsSuccessor(attempt) ? OnSuccessorHead(head) : OnHead(head);
              },
          .on_body =
              [this, attempt](std::string_view data) {
                IsSuccessor(attempt) ? OnSuccessorBody(data) : OnBody(data);
              },
          .on_end =
              [this, attempt](AttemptEnd end) {
                IsSuccessor(attempt) ? OnSuccessorEnd(end) : OnAttemptEnd(end);
              }});
}

std::string GatewayExchange::RenderRequest(const EndpointRecord& endpoint,
                                           bool from_backup,
                                           ExchangeAttempt* attempt) {
  const HttpHeaders headers = m_context->codec->encode_attempt(
      RemoveHopByHopHeaders(m_request.headers),
      DescribeAttempt(endpoint, from_backup, attempt));
  std::string message = m_request.method + " " + m_request.target;
  message.append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : headers) {
    message.append(name).append(": ").append(value).append("\r\n");
  }
  const bool has_body =
      !m_request.body.empty() ||
      FindHeader(m_request.headers, "Content-Length").has_value() ||
      FindHeader(m_request.headers, "Transfer-Encoding").has_value();
  if (has_body) {
    message.append("Content-Length: ");
    message.append(std::to_string(m_request.body.size())).append("\r\n");
  }
  message.append("\r\n").append(m_request.body);
  return message;
}

void GatewayExchange::OnHead(const Http1Head& head) {
  ReadHead(head, m_current.get());
  // A stream may still be silent after its head.
  if (!is_stream() && IsUsableAnswer(*m_current)) {
    EndSilence();
  }
}

bool GatewayExchange::IsUsableAnswer(const ExchangeAttempt& attempt) const {
  const int status = attempt.head.status;
  const AnswerMetadata& answer = attempt.answer;
  if (ProvesNotRun(answer) || answer.has_other_request_id) {
    return false;
  }
  if (IsSuccess(status)) {
    return answer.has_seal;
  }
  return !m_stream_started && !IsServerError(status);
}

void GatewayExchange::ReadHead(const Http1Head& head,
                               ExchangeAttempt* attempt) {
  attempt->head = head;
  attempt->answer =
      m_context->codec->decode_answer(head, m_metadata.request_id);
  if (!attempt->answer.misdirected) {
    m_context->prober->OnSign(attempt->endpoint.id);
    UpdateEndpointState(*attempt);
  }
}

void GatewayExchange::OnBody(std::string_view data) {
  const bool is_event_stream =
      is_stream() && IsSuccess(m_current->head.status) &&
      m_current->answer.has_seal && !m_current->answer.has_other_request_id;
  if (!is_event_stream) {
    if (!m_current->body.Append(data)) {
      FailAttempt(EndpointOutcome::kFailed, RetryReason::kTooLarge,
                  "answer body exceeds the size limit");
    }
    return;
  }
  // Complete events are passed on before more is buffered.
  const ExchangeAttempt* attempt = m_current.get();
  while (!data.empty() && m_current.get() == attempt && attempt->connection) {
    const std::string_view part = data.substr(0, kEventBufferBytes);
    data.remove_prefix(part.size());
    if (!m_current->events.Feed(part)) {
      FailAttempt(EndpointOutcome::kFailed, RetryReason::kTooLarge,
                  "event exceeds the memory budget");
      return;
    }
    ForwardEvents();
  }
}

void GatewayExchange::OnAttemptEnd(AttemptEnd end) {
  const auto failure = FindFailureOf(*m_current, end);
  if (failure) {
    FailAttempt(failure->outcome, failure->reason, failure->detail);
    return;
  }
  OnAnswerComplete();
}

std::optional<AttemptFailure> GatewayExchange::FindFailureOf(
    const ExchangeAttempt& attempt,
    AttemptEnd end) const {
  const auto failure = FindFailure(end, attempt.head.status, attempt.answer);
  if (failure && failure->outcome == EndpointOutcome::kMisdirected) {
    m_context->adopter->OnMisdirected(attempt.endpoint,
                                      attempt.answer.endpoint_id);
  }
  return failure;
}

void GatewayExchange::OnAnswerComplete() {
  if (is_stream() && IsSuccess(m_current->head.status)) {
    OnStreamComplete();
    return;
  }
  if (m_stream_started) {
    FailAttempt(EndpointOutcome::kFailed, RetryReason::kErrorEvent,
                "answer does not continue the stream");
    return;
  }
  const bool failed = IsServerError(m_current->head.status);
  EndAttempt(m_current.get(),
             failed ? EndpointOutcome::kFailed : EndpointOutcome::kAnswered);
  if (!failed) {
    RecordAnswerTime();
  }
  ++m_possible_runs;
  ReportVersionOutcome(*m_current, failed);
  if (failed && m_successor) {
    SetCurrent(TakeSuccessor());
    return;
  }
  if (failed && FindSuccessor() && TryAcquireRetry(RetryReason::kErrorEvent)) {
    StartNextAttempt();
    return;
  }
  if (m_current->answer.status_promises_not_run && !m_route->IsIdempotent()) {
    // The caller would send it again, and it may have run.
    Refuse(ResultCode::kRefusalUnconfirmed, Duration{0});
    return;
  }
  m_caller->Answer(m_current->head.status,
                   RemoveHopByHopHeaders(m_current->head.headers),
                   m_current->body.blocks());
  Finish();
}

void GatewayExchange::OnTimeout() {
  m_timer = TimerHandle();
  const bool may_have_run = MayHaveRun();
  if (m_current->connection) {
    if (may_have_run) {
      ReportVersionOutcome(*m_current, /*failed=*/true);
    }
    EndAttempt(m_current.get(), EndpointOutcome::kCancelled);
  }
  if (m_stream_started) {
    GiveUp(ResultCode::kTimedOut);
    return;
  }
  Refuse(may_have_run ? ResultCode::kTimedOut : ResultCode::kExpectedTooLate,
         Duration{0});
}

void GatewayExchange::OnCallerDisconnect() {
  LogLine(LogEventId::kStreamCallerGone)
      .Field("id", m_metadata.request_id)
      .Field("events", static_cast<long long>(m_events_forwarded));
  if (m_current->connection) {
    EndAttempt(m_current.get(), EndpointOutcome::kCancelled);
  }
  Finish();
}

void GatewayExchange::Refuse(ResultCode code, Duration retry_after) {
  LogLine(LogEventId::kRequestRefused)
      .Field("id", m_metadata.request_id)
      .Field("code", static_cast<int>(code))
      .Field("reason", InfoOf(code).name)
      .Field("service", m_service)
      .Field("config",
             m_config ? static_cast<long long>(m_config->version()) : -1)
      .Field("sends", m_sends)
      .Field("runs", m_possible_runs)
      .Field("quarantined", m_blocking_parts)
      .Field("ms",
             ToMilliseconds(m_context->loop->Now() - m_request.received_at));
  m_context->metrics->Count("bramleybank_refusals_total", "reason",
                            InfoOf(code).name);
  m_caller->Refuse(code, retry_after);
  Finish();
}

void GatewayExchange::Finish() {
  if (m_is_finished) {
    return;
  }
  m_is_finished = true;
  CancelSuccessor();
  if (m_current->backup) {
    m_current->backup->Close();
  }
  m_context->loop->Cancel(m_timer);
  m_timer = TimerHandle();
  m_context->loop->Cancel(m_attempt_timer);
  m_attempt_timer = TimerHandle();
  m_context->loop->Cancel(std::exchange(m_endpoint_timer, TimerHandle()));
  m_caller->SetDisconnectHandler(nullptr);
  if (m_sends > 0) {
    LogLine(LogEventId::kRequestEnded)
        .Field("id", m_metadata.request_id)
        .Field("route", m_route->name)
        .Field("endpoint", m_current->endpoint.id)
        .Field("status", m_current->head.status)
        .Field("sends", m_sends)
        .Field("limited", m_current->answer.rate_limit ? 1 : 0)
        .Field("events", static_cast<long long>(m_events_forwarded))
        .Field("first_event_ms", ToMilliseconds(m_first_event_delay))
        .Field("longest_gap_ms", ToMilliseconds(m_longest_gap))
        .Field("config", static_cast<long long>(m_config->version()))
        .Field("ms",
               ToMilliseconds(m_context->loop->Now() - m_request.received_at));
  }
  m_on_finished();
}

}  // namespace bramleybank
