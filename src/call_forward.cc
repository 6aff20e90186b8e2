// Transfer, retries and flow control of a forwarded call.
#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include "bramleybank/limits.h"
#include "call_forward_p.h"
#include "event_loop.h"
#include "http_refusal.h"
#include "http_responder.h"
#include "metric_registry.h"

namespace bramleybank {
namespace {

bool IsIdempotentMethod(std::string_view method) {
  static constexpr std::array<std::string_view, 5> kIdempotentMethods = {
      "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
  return std::ranges::find(kIdempotentMethods, method) !=
         kIdempotentMethods.end();
}

bool IsBuffered(std::string_view method,
                int status,
                const HttpHeaders& headers) {
  if (method == "HEAD" || status == 204 || status == 304) {
    return true;
  }
  // Transfer-Encoding overrides Content-Length, so the length is not reliable
  // when both are present.
  const auto length = FindHeader(headers, "Content-Length");
  return length && !FindHeader(headers, "Transfer-Encoding") &&
         std::strtoull(length->c_str(), nullptr, 10) <= kMaxInlineResultBytes;
}

}  // namespace

CallForward::CallForward(CallContext* context,
                         uint64_t id,
                         const HttpRequest& request,
                         CallParameters parameters,
                         std::shared_ptr<HttpResponder> responder)
    : m_context(context),
      m_id(id),
      m_request(request),
      m_parameters(std::move(parameters)),
      m_responder(std::move(responder)) {}

CallForward::~CallForward() {
  m_context->loop->Cancel(m_idle_timer);
  m_context->client->Cancel(m_transfer);
}

void CallForward::Start() {
  m_responder->SetCloseHandler([weak = weak_from_this()](bool) {
    if (const auto self = weak.lock()) {
      self->Close();
    }
  });
  m_responder->SetDrainHandler([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnDrained();
    }
  });
  const auto endpoint = m_context->options.choose_endpoint(
      {.service = m_parameters.service, .avoid = {}});
  if (!endpoint) {
    Refuse(ResultCode::kNoEndpoint);
    return;
  }
  StartAttempt(*endpoint);
}

void CallForward::StartAttempt(const std::string& endpoint) {
  m_endpoint = endpoint;
  m_tried_endpoints.push_back(endpoint);
  m_body.clear();
  HttpClientRequest request =
      MakeServiceRequest(m_request, m_parameters, endpoint);
  // On a connection that is in use again, a late second answer to an earlier
  // request would be taken for the answer to this one.
  request.single_attempt = true;
  HttpClientCallbacks callbacks;
  callbacks.on_headers = [weak = weak_from_this()](int status,
                                                   const HttpHeaders& headers) {
    if (const auto self = weak.lock()) {
      self->OnHeaders(status, headers);
    }
  };
  callbacks.on_data = [weak = weak_from_this()](std::string_view data) {
    if (const auto self = weak.lock()) {
      self->OnData(data);
    }
  };
  callbacks.on_done = [weak = weak_from_this()](const HttpOutcome& outcome) {
    if (const auto self = weak.lock()) {
      self->OnDone(outcome);
    }
  };
  RestartIdleTimer();
  m_transfer = m_context->client->Start(request, std::move(callbacks));
}

void CallForward::RestartIdleTimer() {
  m_context->loop->Cancel(m_idle_timer);
  m_idle_timer =
      m_context->loop->Schedule(m_context->options.service_timeout, [this] {
        const auto keep = shared_from_this();
        m_context->client->Cancel(std::exchange(m_transfer, TransferHandle()));
        ReportEndpointResult(false);
        OnFailed(/*may_have_run=*/true, /*may_retry=*/false);
      });
}

void CallForward::OnHeaders(int status, const HttpHeaders& headers) {
  RestartIdleTimer();
  m_status = status;
  m_headers = HeadersToForward(headers);
  if (!IsBuffered(m_request.method, status, headers)) {
    m_streaming = true;
    m_responder->StartStream(status, m_headers);
  }
}

void CallForward::OnData(std::string_view data) {
  RestartIdleTimer();
  if (!m_streaming) {
    m_body.append(data);
    return;
  }
  m_responder->Write(data);
  if (m_responder->buffered_bytes() > kMaxBufferedOutputBytes) {
    m_paused = true;
    // The endpoint must not time out because its caller reads slowly.
    m_context->loop->Cancel(std::exchange(m_idle_timer, TimerHandle()));
    m_context->client->Pause(m_transfer);
  }
}

void CallForward::OnDrained() {
  if (std::exchange(m_paused, false)) {
    RestartIdleTimer();
    m_context->client->Resume(m_transfer);
  }
}

void CallForward::OnDone(const HttpOutcome& outcome) {
  m_transfer = TransferHandle();
  // A later drain must neither resume the finished transfer nor restart its
  // idle timer.
  m_paused = false;
  m_context->loop->Cancel(std::exchange(m_idle_timer, TimerHandle()));
  ReportEndpointResult(outcome.complete);
  if (!outcome.complete) {
    OnFailed(outcome.request_bytes_sent > 0, /*may_retry=*/true);
  } else if (m_streaming) {
    m_responder->Finish();
  } else {
    m_responder->Respond(m_status, m_headers, std::move(m_body));
  }
}

void CallForward::ReportEndpointResult(bool answered) const {
  if (m_context->options.on_endpoint_result) {
    m_context->options.on_endpoint_result(m_endpoint, answered);
  }
}

void CallForward::OnFailed(bool may_have_run, bool may_retry) {
  m_may_have_run = m_may_have_run || may_have_run;
  if (m_streaming) {
    m_responder->Abort();
    return;
  }
  const bool is_retry_safe =
      !may_have_run || IsIdempotentMethod(m_request.method);
  const bool has_attempts_left =
      m_tried_endpoints.size() <= kMaxIdempotentRetries;
  if (!may_retry || !is_retry_safe || !has_attempts_left) {
    Refuse(is_retry_safe ? ResultCode::kServiceUnreachable
                         : ResultCode::kOutcomeUnknown);
    return;
  }
  const auto endpoint = m_context->options.choose_endpoint(
      {.service = m_parameters.service, .avoid = m_tried_endpoints});
  if (!endpoint) {
    Refuse(ResultCode::kServiceUnreachable);
  } else if (m_context->options.allow_retry &&
             !m_context->options.allow_retry(m_parameters.service)) {
    Refuse(ResultCode::kRetryBudgetExhausted);
  } else {
    m_context->metrics->Count("bramleybank_call_retries_total", "reason",
                              may_have_run ? "answer_lost" : "connect_failed");
    StartAttempt(*endpoint);
  }
}

void CallForward::Refuse(ResultCode code) {
  SendRefusal(m_responder.get(),
              {.code = code,
               .message = {},
               .outcome = m_may_have_run ? RefusalOutcome::kUnknown
                                         : RefusalOutcome::kNotRun,
               .position = {},
               .retry_after_s = 1},
              m_context->metrics);
}

void CallForward::Close() {
  m_context->loop->Cancel(std::exchange(m_idle_timer, TimerHandle()));
  m_context->client->Cancel(std::exchange(m_transfer, TransferHandle()));
  m_context->metrics->Count("bramleybank_calls_total", "end", "forwarded");
  m_context->close_call(m_id);
}

}  // namespace bramleybank
