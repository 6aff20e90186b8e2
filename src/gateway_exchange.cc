// The life of one request. An attempt that may have run is repeated only if the
// request is idempotent; a refusal with a status that promises "not run" is
// sent only while no attempt can have run.
#include "gateway_exchange.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_adopter.h"
#include "endpoint_picker.h"
#include "event_loop.h"
#include "gateway_caller.h"
#include "gateway_codec.h"
#include "gateway_config.h"
#include "gateway_headers.h"
#include "log_event.h"
#include "metric_registry.h"
#include "prompt_locator.h"
#include "rollout_director.h"
#include "stream_silence_monitor.h"

namespace bramleybank {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

GatewayExchange::GatewayExchange(const GatewayEnvironment* environment,
                                 uint64_t number,
                                 std::shared_ptr<GatewayCaller> caller,
                                 GatewayRequest request,
                                 std::function<void()> on_over)
    : m_environment(environment),
      m_number(number),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_statement(environment->codec->decode_request(m_request.headers)),
      m_on_over(std::move(on_over)),
      m_config(environment->config()),
      m_body(environment->buffered_bytes),
      m_backup(environment->loop,
               environment->codec,
               environment->directory,
               environment->picker,
               m_statement.request_id),
      m_alive(std::make_shared<GatewayExchange*>(this)),
      m_last_event_id(m_statement.last_event_id) {}

GatewayExchange::~GatewayExchange() {
  m_environment->loop->Cancel(m_timer);
  m_environment->loop->Cancel(m_attempt_timer);
}

bool GatewayExchange::is_stream() const {
  return m_route->kind == RequestKind::kStream;
}

Duration GatewayExchange::TimeLeft() const {
  return m_deadline - m_environment->loop->Now();
}

void GatewayExchange::Start() {
  m_caller->SetGoneHandler([this] { OnCallerGone(); });
  if (!m_config) {
    Refuse(ResultCode::kNotReady, kBusyRetryAfter);
    return;
  }
  if (!FindRoute() || !FindCustomer()) {
    return;
  }
  if (m_environment->is_too_late(is_stream())) {
    Refuse(ResultCode::kDraining, kDrainRetryAfter);
    return;
  }
  ChooseService();
  StartTimers();
  m_environment->budget->OnFirstTry(m_service);
  const bool comes_back = is_stream() && m_last_event_id && HasBackup();
  if (comes_back && !m_statement.prompt_parts.empty()) {
    FindPrompt();
  } else {
    TryEndpoint();
  }
}

void GatewayExchange::FindPrompt() {
  m_environment->prompts->Find(
      m_statement.prompt_parts,
      [weak = std::weak_ptr(m_alive)](const std::string& endpoint_id) {
        const auto self = weak.lock();
        if (self && !(*self)->m_is_over) {
          (*self)->m_prompt_location = endpoint_id;
          (*self)->m_environment->metrics->Count(
              "bramleybank_prompt_lookups_total", "result",
              endpoint_id.empty() ? "unknown" : "found");
          (*self)->TryEndpoint();
        }
      });
}

bool GatewayExchange::FindRoute() {
  const auto host = FindHeader(m_request.headers, "Host");
  m_route = m_config->FindRoute(host.value_or(""), m_request.Path());
  if (m_route == nullptr) {
    Refuse(ResultCode::kUnknownPath, Duration{0});
    return false;
  }
  return true;
}

bool GatewayExchange::FindCustomer() {
  if (!m_config->has_customers()) {
    return true;
  }
  const GatewayCustomer* customer =
      m_config->FindCustomer(m_statement.customer_key);
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
  constexpr double kSteps = 1 << 20;
  const auto step = m_environment->random() % (1U << 20U);
  double point = total * static_cast<double>(step) / kSteps;
  for (const ServiceShare& share : m_route->services) {
    if (share.weight <= 0) {
      continue;
    }
    m_service = share.service;
    point -= share.weight;
    if (point < 0) {
      return;
    }
  }
}

void GatewayExchange::StartTimers() {
  Duration limit = m_route->timeout;
  if (m_statement.client_timeout) {
    limit = std::min(limit, *m_statement.client_timeout);
  }
  m_deadline = m_request.received_at + limit;
  m_timer = m_environment->loop->Schedule(TimeLeft(), [this] { OnTimeout(); });
}

void GatewayExchange::TryEndpoint() {
  if (const EndpointRecord* holder = m_backup.Usable()) {
    StartAttempt(*holder, /*restores=*/true);
    return;
  }
  const EndpointRecord* endpoint = PickEndpoint();
  if (endpoint == nullptr) {
    GiveUp(m_tried.empty() ? ResultCode::kNoEndpoint : ResultCode::kOverloaded);
    return;
  }
  StartAttempt(*endpoint, /*restores=*/false);
}

const EndpointRecord* GatewayExchange::PromptLocation() const {
  const EndpointRecord* record =
      m_environment->directory->Find(m_prompt_location);
  const bool is_known =
      record != nullptr && m_environment->directory->IsReachable(*record);
  return is_known ? record : nullptr;
}

const EndpointRecord* GatewayExchange::PickEndpoint() const {
  const EndpointDirectory& directory = *m_environment->directory;
  const RolloutRule versions =
      m_tried.empty()
          ? m_environment->rollouts->NextRequest(m_service, m_route->name)
          : m_environment->rollouts->Repeat(m_service);
  const EndpointRecord* known = PromptLocation();
  if (known != nullptr && directory.IsUsable(*known) &&
      !directory.IsSuspect(*known) && known->entry.service == m_service &&
      versions.Allows(known->entry.version) &&
      std::ranges::find(m_tried, known->entry.id) == m_tried.end()) {
    return known;
  }
  return m_environment->picker->PickForAttempt({.service = m_service,
                                                .avoid = &m_tried,
                                                .is_stream = is_stream(),
                                                .versions = versions});
}

void GatewayExchange::StartAttempt(const EndpointRecord& endpoint,
                                   bool restores) {
  m_endpoint = endpoint.entry;
  m_attempt_start = m_environment->loop->Now();
  m_head = {};
  m_answer = {};
  m_body.Clear();
  m_events = {};
  m_attempt_has_event = false;
  m_tried.push_back(m_endpoint.id);
  ++m_sends;
  std::string message = RenderRequest(endpoint, restores);
  m_environment->directory->OnAttemptStarted(m_endpoint.id);
  if (is_stream()) {
    LogLine(LogEventId::kAttemptStarted)
        .Field("id", m_statement.request_id)
        .Field("endpoint", m_endpoint.id)
        .Field("open_here", endpoint.open_attempts)
        .Field("restores", restores ? 1 : 0)
        .Field("prompt_at", m_prompt_location)
        .Field("backup", m_backup.holder_id())
        .Field("after_event",
               static_cast<long long>(m_last_event_id.value_or(0)));
    if (HasBackup() && !m_statement.prompt_parts.empty()) {
      m_environment->prompts->OnStreamAt(m_statement.prompt_parts,
                                         m_endpoint.id);
    }
    WatchSilence();
  }
  m_attempt = std::make_unique<GatewayAttempt>(
      m_environment->loop, m_endpoint.address, std::move(message),
      m_request.method == "HEAD",
      AttemptCallbacks{
          .on_head = [this](const Http1Head& head) { OnHead(head); },
          .on_body = [this](std::string_view data) { OnBody(data); },
          .on_end = [this](AttemptEnd end) { OnAttemptEnd(end); }});
  ArmAttemptTimer();
}

AttemptMetadata GatewayExchange::DescribeAttempt(const EndpointRecord& endpoint,
                                                 bool restores) {
  AttemptMetadata attempt{.endpoint_id = endpoint.entry.id,
                          .time_left = TimeLeft(),
                          .customer = m_customer,
                          .last_event_id = m_last_event_id,
                          .backup_address = {},
                          .restore = std::nullopt};
  if (restores) {
    attempt.restore = m_backup.Name();
  }
  const EndpointRecord* location = PromptLocation();
  // What other weights have made of the prompt is of no use.
  if (!restores && location != nullptr && location != &endpoint &&
      location->entry.service == endpoint.entry.service &&
      location->entry.version == endpoint.entry.version) {
    attempt.prompt_source = location->entry.address;
  }
  if (is_stream() && HasBackup()) {
    attempt.backup_address =
        m_backup.Open(endpoint, m_environment->rollouts->Repeat(m_service));
  }
  return attempt;
}

std::string GatewayExchange::RenderRequest(const EndpointRecord& endpoint,
                                           bool restores) {
  const HttpHeaders headers = m_environment->codec->encode_attempt(
      WithoutConnectionHeaders(m_request.headers),
      DescribeAttempt(endpoint, restores));
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
  m_head = head;
  m_answer = m_environment->codec->decode_answer(head, m_statement.request_id);
  if (!m_answer.misdirected) {
    NoteEndpointState();
  }
}

void GatewayExchange::NoteEndpointState() {
  EndpointDirectory* directory = m_environment->directory;
  if (m_answer.is_leaving && directory->OnLeaving(m_endpoint.id)) {
    LogLine(LogEventId::kEndpointLeaving)
        .Field("endpoint", m_endpoint.id)
        .Field("id", m_statement.request_id);
    m_environment->metrics->Count("bramleybank_endpoints_leaving_total");
  }
  if (m_answer.retry_after) {
    directory->OnPause(m_endpoint.id, *m_answer.retry_after);
    LogLine(LogEventId::kEndpointPaused)
        .Field("endpoint", m_endpoint.id)
        .Field("id", m_statement.request_id)
        .Field("pause_ms", Milliseconds(*m_answer.retry_after));
    m_environment->metrics->Count("bramleybank_endpoint_pauses_total");
  }
}

void GatewayExchange::OnBody(std::string_view data) {
  const bool is_event_stream = is_stream() && IsSuccess(m_head.status) &&
                               m_answer.has_seal &&
                               !m_answer.has_other_request_id;
  if (!is_event_stream) {
    if (!m_body.Append(data)) {
      LoseAttempt(EndpointOutcome::kFailed, RetryReason::kTooLarge,
                  "the body is over the limit");
    }
    return;
  }
  m_events.Feed(data);
  RelayEvents();
}

void GatewayExchange::OnAttemptEnd(AttemptEnd end) {
  if (end == AttemptEnd::kNotSent) {
    LoseAttempt(EndpointOutcome::kLost, RetryReason::kConnectFailed,
                "no connection");
    return;
  }
  if (end == AttemptEnd::kBroken) {
    LoseAttempt(EndpointOutcome::kLost, RetryReason::kEarlyEnd,
                "the connection broke");
    return;
  }
  OnWholeAnswer();
}

void GatewayExchange::OnWholeAnswer() {
  if (m_answer.has_other_request_id ||
      (IsSuccess(m_head.status) && !m_answer.has_seal)) {
    LoseAttempt(EndpointOutcome::kFailed, RetryReason::kEarlyEnd,
                "the answer belongs to another request");
    return;
  }
  if (m_answer.misdirected) {
    m_environment->adopter->OnMisdirected(m_endpoint, m_answer.endpoint_id);
  }
  if (m_answer.not_run || m_answer.misdirected) {
    LoseAttempt(m_answer.misdirected ? EndpointOutcome::kMisdirected
                                     : EndpointOutcome::kRefused,
                RetryReason::kRefusedByEndpoint, "refused");
    return;
  }
  if (is_stream() && IsSuccess(m_head.status)) {
    OnStreamWhole();
    return;
  }
  const bool failed = m_head.status >= kFirstServerError;
  EndAttempt(failed ? EndpointOutcome::kFailed : EndpointOutcome::kAnswered);
  ++m_runs;
  ObserveVersion(failed);
  if (failed && !m_stream_started && MayTryAgain(RetryReason::kErrorEvent)) {
    TryEndpoint();
    return;
  }
  if (m_stream_started) {
    GiveUp(ResultCode::kAnswerLost);
    return;
  }
  m_caller->Answer(m_head.status, WithoutConnectionHeaders(m_head.headers),
                   m_body.bytes());
  Finish();
}

void GatewayExchange::EndAttempt(EndpointOutcome outcome) {
  m_environment->silence->Remove(m_number);
  m_environment->directory->OnAttemptEnded(m_endpoint.id, outcome);
  if (!m_attempt) {
    return;
  }
  m_attempt->Cancel();
  // The attempt may be inside its own callback, so it is freed later.
  m_environment->loop->Post(
      [attempt = std::shared_ptr<GatewayAttempt>(std::move(m_attempt))] {});
}

void GatewayExchange::ObserveVersion(bool failed) {
  m_environment->rollouts->Observe(
      m_service, m_route->name, m_endpoint.version, failed,
      m_environment->loop->Now() - m_attempt_start);
}

void GatewayExchange::LoseAttempt(EndpointOutcome outcome,
                                  RetryReason reason,
                                  std::string_view detail) {
  const bool may_have_run = m_attempt && m_attempt->was_sent() &&
                            outcome != EndpointOutcome::kRefused &&
                            outcome != EndpointOutcome::kMisdirected;
  EndAttempt(outcome);
  if (may_have_run) {
    ++m_runs;
    ObserveVersion(/*failed=*/true);
  }
  LogLine(LogEventId::kAttemptEnded)
      .Field("id", m_statement.request_id)
      .Field("endpoint", m_endpoint.id)
      .Field("address", m_endpoint.address)
      .Field("reason", NameOf(reason))
      .Field("detail", detail)
      .Field("may_have_run", may_have_run ? 1 : 0)
      .Field("last_event", static_cast<long long>(m_last_event_id.value_or(0)))
      .Field("attempt_ms",
             Milliseconds(m_environment->loop->Now() - m_attempt_start));
  m_environment->metrics->Count("bramleybank_attempts_lost_total", "reason",
                                NameOf(reason));
  if (MayTryAgain(reason)) {
    TryEndpoint();
    return;
  }
  GiveUp(m_runs > 0 ? ResultCode::kAnswerLost : ResultCode::kOverloaded);
}

bool GatewayExchange::MayTryAgain(RetryReason reason) {
  const bool idempotent = m_route->IsIdempotent();
  if (m_runs > 0 && (!idempotent || m_runs >= m_route->max_attempts)) {
    return false;
  }
  if (m_sends >= m_route->max_attempts + kMaxExtraSends ||
      TimeLeft() <= Duration{0}) {
    return false;
  }
  if (reason == RetryReason::kConnectFailed) {
    // Nothing arrived at an endpoint, so nothing is added to its load.
    return true;
  }
  const bool granted = m_environment->budget->TryRetry(m_service, reason);
  m_environment->metrics->Count(granted ? "bramleybank_retries_total"
                                        : "bramleybank_retries_refused_total",
                                "reason", NameOf(reason));
  return granted;
}

void GatewayExchange::ArmAttemptTimer() {
  m_environment->loop->Cancel(m_attempt_timer);
  m_attempt_timer = TimerHandle();
  const Duration target = m_route->latency_target;
  if (m_route->kind != RequestKind::kIdempotent || target <= Duration{0} ||
      m_runs + 1 >= m_route->max_attempts) {
    return;
  }
  m_attempt_timer =
      m_environment->loop->Schedule(target, [this] { OnAttemptSlow(); });
}

void GatewayExchange::OnAttemptSlow() {
  m_attempt_timer = TimerHandle();
  const bool is_silent = m_attempt && m_head.status == 0;
  if (is_silent && TimeLeft() > m_route->latency_target) {
    LoseAttempt(EndpointOutcome::kLost, RetryReason::kStalled, "no answer");
  }
}

void GatewayExchange::OnTimeout() {
  m_timer = TimerHandle();
  const bool may_have_run = m_runs > 0 || (m_attempt && m_attempt->was_sent());
  if (m_attempt) {
    if (may_have_run) {
      ObserveVersion(/*failed=*/true);
    }
    EndAttempt(EndpointOutcome::kCancelled);
  }
  if (m_stream_started) {
    GiveUp(ResultCode::kTimedOut);
    return;
  }
  Refuse(may_have_run ? ResultCode::kTimedOut : ResultCode::kExpectedTooLate,
         Duration{0});
}

void GatewayExchange::OnCallerGone() {
  LogLine(LogEventId::kStreamCallerGone)
      .Field("id", m_statement.request_id)
      .Field("events", static_cast<long long>(m_events_passed));
  if (m_attempt) {
    EndAttempt(EndpointOutcome::kCancelled);
  }
  Finish();
}

void GatewayExchange::GiveUp(ResultCode code) {
  if (m_stream_started) {
    LogLine(LogEventId::kStreamGivenUp)
        .Field("id", m_statement.request_id)
        .Field("code", static_cast<int>(code))
        .Field("last_event",
               static_cast<long long>(m_last_event_id.value_or(0)));
    m_environment->metrics->Count("bramleybank_streams_given_up_total");
    m_caller->Abort();
    Finish();
    return;
  }
  if (m_runs > 0) {
    Refuse(code == ResultCode::kTimedOut ? code : ResultCode::kAnswerLost,
           Duration{0});
    return;
  }
  // When endpoints have said when they want work again, callers are told so.
  Refuse(code, m_environment->directory->PauseLeft(m_service).value_or(
                   kBusyRetryAfter));
}

void GatewayExchange::Refuse(ResultCode code, Duration retry_after) {
  LogLine(LogEventId::kRequestRefused)
      .Field("id", m_statement.request_id)
      .Field("code", static_cast<int>(code))
      .Field("reason", InfoOf(code).name)
      .Field("service", m_service)
      .Field("config",
             m_config ? static_cast<long long>(m_config->version()) : -1)
      .Field("sends", m_sends)
      .Field("runs", m_runs)
      .Field("ms",
             Milliseconds(m_environment->loop->Now() - m_request.received_at));
  m_environment->metrics->Count("bramleybank_refusals_total", "reason",
                                InfoOf(code).name);
  m_caller->Refuse(code, retry_after);
  Finish();
}

void GatewayExchange::Finish() {
  if (m_is_over) {
    return;
  }
  m_is_over = true;
  m_backup.Close();
  m_environment->loop->Cancel(m_timer);
  m_timer = TimerHandle();
  m_environment->loop->Cancel(m_attempt_timer);
  m_attempt_timer = TimerHandle();
  m_caller->SetGoneHandler(nullptr);
  if (m_sends > 0) {
    LogLine(LogEventId::kRequestEnded)
        .Field("id", m_statement.request_id)
        .Field("route", m_route->name)
        .Field("endpoint", m_endpoint.id)
        .Field("status", m_head.status)
        .Field("sends", m_sends)
        .Field("events", static_cast<long long>(m_events_passed))
        .Field("first_event_ms", Milliseconds(m_first_event_wait))
        .Field("longest_gap_ms", Milliseconds(m_longest_gap))
        .Field("config", static_cast<long long>(m_config->version()))
        .Field("ms", Milliseconds(m_environment->loop->Now() -
                                  m_request.received_at));
  }
  m_on_over();
}

}  // namespace bramleybank
