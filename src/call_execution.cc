// Platform operations, endpoint transfer and answer of one non-idempotent call.
#include <xxhash.h>

#include <utility>

#include "bramleybank/limits.h"
#include "call_execution_p.h"
#include "event_loop.h"
#include "http_responder.h"
#include "log_event.h"
#include "metric_registry.h"

namespace bramleybank {
namespace {

std::string HashRequest(const HttpRequest& request,
                        const CallParameters& parameters) {
  std::string text = request.method;
  text.append("\n").append(parameters.target).append("\n").append(request.body);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::string digits;
  for (const uint64_t half : {hash.high64, hash.low64}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      digits +=
          "0123456789abcdef"[(half >> static_cast<unsigned>(shift)) & 15U];
    }
  }
  return digits;
}

}  // namespace

CallExecution::CallExecution(CallContext* context,
                             uint64_t id,
                             const HttpRequest& request,
                             CallParameters parameters,
                             std::shared_ptr<HttpResponder> responder)
    : m_context(context),
      m_id(id),
      m_request(request),
      m_parameters(std::move(parameters)),
      m_row_key(CallRowKey(m_parameters.customer,
                           m_parameters.service,
                           m_parameters.key)),
      m_responder(std::move(responder)),
      m_machine(MakeOptions()) {}

CallExecution::~CallExecution() {
  for (const TimerHandle timer : m_timers) {
    m_context->loop->Cancel(timer);
  }
  m_context->client->Cancel(m_transfer);
}

CallMachineOptions CallExecution::MakeOptions() const {
  const CallRunnerOptions& options = m_context->options;
  return {
      .owner = options.owner,
      .request_hash = HashRequest(m_request, m_parameters),
      .clock = options.clock,
      .random = options.random,
      .choose_endpoint =
          [choose = options.choose_endpoint, service = m_parameters.service](
              const std::vector<std::string>& avoid) {
            return choose({.service = service, .avoid = avoid});
          },
      .wait_timeout = options.wait_timeout};
}

void CallExecution::Start() {
  m_responder->SetCloseHandler([weak = weak_from_this()](bool complete) {
    const auto self = weak.lock();
    if (self && !complete) {
      self->Execute(self->m_machine.OnCallerGone());
    }
  });
  Execute(m_machine.Start());
}

void CallExecution::Execute(const CallMachine::Actions& actions) {
  for (const CallAction& action : actions) {
    Perform(action);
  }
  if (m_machine.is_settled()) {
    Close();
  }
}

void CallExecution::Perform(const CallAction& action) {
  switch (action.kind) {
    case CallActionKind::kWriteRow:
      WriteRow(action);
      break;
    case CallActionKind::kReadRow:
      ReadRow();
      break;
    case CallActionKind::kPutObject:
      PutObject(action);
      break;
    case CallActionKind::kGetObject:
      GetObject(action);
      break;
    case CallActionKind::kDispatch:
      Dispatch(action.endpoint);
      break;
    case CallActionKind::kAnswer:
      Answer(action);
      break;
    case CallActionKind::kRefuse:
      Refuse(action.refusal);
      break;
    case CallActionKind::kSchedule:
      Schedule(action);
      break;
  }
}

void CallExecution::WriteRow(const CallAction& action) {
  m_context->metrics->Count("bramleybank_call_row_writes_total");
  m_context->table->Write(
      m_row_key, action.value, action.expected_version,
      [weak = weak_from_this()](const TableWriteResult& result) {
        if (const auto self = weak.lock()) {
          const std::string& state = self->m_machine.state();
          if (state == "claiming") {
            self->ReportStep(CallStep::kClaimAnswered);
          } else if (state == "recording") {
            self->ReportStep(CallStep::kRecorded);
          }
          self->Execute(self->m_machine.OnWriteResult(result));
        }
      });
}

void CallExecution::ReadRow() {
  m_context->metrics->Count("bramleybank_call_row_reads_total");
  m_context->table->Read(
      m_row_key, [weak = weak_from_this()](const TableReadResult& result) {
        if (const auto self = weak.lock()) {
          self->Execute(self->m_machine.OnReadResult(result));
        }
      });
}

void CallExecution::PutObject(const CallAction& action) {
  m_context->objects->Put(
      action.object, action.value, [weak = weak_from_this()](bool stored) {
        if (const auto self = weak.lock()) {
          self->Execute(self->m_machine.OnObjectPut(stored));
        }
      });
}

void CallExecution::GetObject(const CallAction& action) {
  m_context->objects->Get(
      action.object, [weak = weak_from_this()](const ObjectReadResult& result) {
        if (const auto self = weak.lock()) {
          self->Execute(self->m_machine.OnObjectRead(result));
        }
      });
}

void CallExecution::Schedule(const CallAction& action) {
  TimerHandle& timer = m_timers[static_cast<size_t>(action.timer)];
  m_context->loop->Cancel(timer);
  // The destructor cancels the timers, so `this` is valid when one fires.
  timer = m_context->loop->Schedule(
      action.delay, [self = this, which = action.timer] {
        const auto keep = self->shared_from_this();
        keep->Execute(keep->m_machine.OnTimer(which));
      });
}

void CallExecution::Dispatch(const std::string& endpoint) {
  HttpClientRequest request =
      MakeServiceRequest(m_request, m_parameters, endpoint);
  request.headers.emplace_back(
      "X-Call-Id",
      CallId(m_parameters.customer, m_parameters.service, m_parameters.key));
  request.total_timeout = m_context->options.service_timeout;
  request.single_attempt = true;
  m_body.clear();
  HttpClientCallbacks callbacks;
  callbacks.on_data = [weak = weak_from_this()](std::string_view data) {
    if (const auto self = weak.lock()) {
      self->OnData(data);
    }
  };
  callbacks.on_done = [weak = weak_from_this(),
                       endpoint](const HttpOutcome& outcome) {
    if (const auto self = weak.lock()) {
      self->OnDone(endpoint, outcome);
    }
  };
  m_transfer = m_context->client->Start(request, std::move(callbacks));
  ReportStep(CallStep::kDispatched);
}

void CallExecution::OnData(std::string_view data) {
  if (m_body.size() + data.size() <= kMaxServiceAnswerBytes) {
    m_body.append(data);
    return;
  }
  m_body.clear();
  m_context->client->Cancel(std::exchange(m_transfer, TransferHandle()));
  // Posted, because this runs inside a callback of the cancelled transfer.
  m_context->loop->Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Execute(self->m_machine.OnAnswerLost());
    }
  });
}

void CallExecution::OnDone(const std::string& endpoint,
                           const HttpOutcome& outcome) {
  m_transfer = TransferHandle();
  if (m_context->options.on_endpoint_result) {
    m_context->options.on_endpoint_result(endpoint, outcome.complete);
  }
  if (outcome.complete) {
    ReportStep(CallStep::kAnswered);
    Execute(m_machine.OnAnswer({.status = outcome.status,
                                .headers = HeadersToForward(outcome.headers),
                                .body = std::move(m_body)}));
  } else if (outcome.request_bytes_sent == 0) {
    m_context->metrics->Count("bramleybank_call_retries_total", "reason",
                              "connect_failed");
    Execute(m_machine.OnConnectFailed());
  } else {
    LogLine(LogEventId::kCallOutcomeUnknown)
        .Field("service", m_parameters.service)
        .Field("claim", m_machine.claim())
        .Field("endpoint", endpoint)
        .Field("error", outcome.error);
    Execute(m_machine.OnAnswerLost());
  }
}

void CallExecution::Answer(const CallAction& action) {
  HttpHeaders headers = action.answer.headers;
  if (action.replayed) {
    headers.emplace_back("Idempotency-Replayed", "true");
    m_context->metrics->Count("bramleybank_call_replays_total");
  }
  m_responder->Respond(action.answer.status, headers, action.answer.body);
}

void CallExecution::Refuse(const HttpRefusal& refusal) {
  if (m_machine.state() == "released") {
    LogLine(LogEventId::kCallGivenUp)
        .Field("service", m_parameters.service)
        .Field("claim", m_machine.claim())
        .Field("reason", InfoOf(refusal.code).name);
  }
  SendRefusal(m_responder.get(), refusal, m_context->metrics);
}

void CallExecution::Close() {
  if (std::exchange(m_closed, true)) {
    return;
  }
  if (m_machine.is_abandoned()) {
    LogLine(LogEventId::kCallRecordAbandoned)
        .Field("service", m_parameters.service)
        .Field("claim", m_machine.claim());
  }
  m_context->metrics->Count("bramleybank_calls_total", "end",
                            m_machine.state());
  m_context->close_call(m_id);
}

void CallExecution::ReportStep(CallStep step) const {
  if (m_context->options.on_step) {
    m_context->options.on_step(step);
  }
}

}  // namespace bramleybank
