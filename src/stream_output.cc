// Writes a stream to its caller and signals back pressure.
#include "stream_output.h"

#include <cassert>
#include <ctime>
#include <utility>

#include "bramleybank/limits.h"
#include "http_refusal.h"
#include "http_responder.h"
#include "http_sse_parser.h"
#include "metric_registry.h"
#include "stream_cursor.h"
#include "stream_format.h"

namespace bramleybank {

StreamOutput::StreamOutput(const GenerationRequest* request,
                           uint64_t generation,
                           std::string self,
                           MetricRegistry* metrics,
                           StreamOutputHooks hooks)
    : m_request(request),
      m_generation(generation),
      m_self(std::move(self)),
      m_metrics(metrics),
      m_hooks(std::move(hooks)) {
  assert(m_hooks.on_closed && m_hooks.on_back_pressure);
}

StreamOutput::~StreamOutput() {
  if (m_responder) {
    m_responder->SetCloseHandler(nullptr);
    m_responder->SetDrainHandler(nullptr);
  }
}

void StreamOutput::SetResponder(std::shared_ptr<HttpResponder> responder) {
  if (m_responder) {
    m_responder->SetCloseHandler(nullptr);
    m_responder->SetDrainHandler(nullptr);
    m_responder->Abort();
  }
  m_responder = std::move(responder);
  m_has_begun = false;
  m_responder->SetCloseHandler([this](bool is_complete) {
    m_responder.reset();
    m_is_paused = false;
    m_hooks.on_closed(is_complete);
  });
  m_responder->SetDrainHandler([this] {
    if (std::exchange(m_is_paused, false)) {
      m_hooks.on_back_pressure(false);
    }
  });
}

void StreamOutput::SetFingerprint(const std::string& fingerprint) {
  m_format = std::make_unique<StreamFormat>(m_request->kind, m_generation,
                                            m_request->model, fingerprint,
                                            std::time(nullptr));
}

const std::string& StreamOutput::EventId(const OutputSource& source,
                                         uint64_t position) {
  if (m_id_prefix.empty() || source != m_id_source) {
    m_id_source = source;
    m_id_prefix = FormatStreamCursor({.generation = m_generation,
                                      .request_hash = m_request->body_hash,
                                      .owner = m_self,
                                      .copy_holder = source.copy_holder,
                                      .engine = source.engine,
                                      .attempt = source.attempt,
                                      .position = 0});
    m_id_prefix.pop_back();
  }
  m_id = m_id_prefix;
  m_id += std::to_string(position);
  return m_id;
}

void StreamOutput::Begin() {
  if (std::exchange(m_has_begun, true)) {
    return;
  }
  m_responder->StartStream(200, {{"Content-Type", "text/event-stream"},
                                 {"Cache-Control", "no-cache"}});
}

void StreamOutput::Write(std::string_view bytes) {
  m_responder->Write(bytes);
  if (m_responder->buffered_bytes() > kMaxBufferedOutputBytes &&
      !std::exchange(m_is_paused, true)) {
    m_metrics->Count("bramleybank_slow_caller_pauses_total");
    m_hooks.on_back_pressure(true);
  }
}

void StreamOutput::WriteToken(const OutputSource& source,
                              uint64_t position,
                              std::string_view text) {
  if (!m_request->stream) {
    m_text += text;
    return;
  }
  if (!m_responder) {
    return;
  }
  Begin();
  Write(m_format->FormatToken(EventId(source, position), text));
}

void StreamOutput::Finish(const OutputSource& source,
                          std::string_view reason,
                          uint64_t count) {
  if (!m_responder) {
    return;
  }
  if (!m_request->stream) {
    m_responder->Respond(200, {{"Content-Type", "application/json"}},
                         m_format->FormatFullAnswer(m_text, reason, count));
    return;
  }
  Begin();
  Write(m_format->FormatFinish(EventId(source, count), reason, count));
  m_responder->Finish();
}

void StreamOutput::Refuse(const HttpRefusal& refusal) {
  if (!m_responder) {
    return;
  }
  if (!m_has_begun) {
    SendRefusal(m_responder.get(), refusal, m_metrics);
    return;
  }
  m_metrics->Count("bramleybank_refusals_total", "reason",
                   InfoOf(refusal.code).name);
  Write(FormatSseEvent({}, "error", FormatRefusal(refusal)));
  m_responder->Finish();
}

void StreamOutput::HandOver(const OutputSource& source, uint64_t position) {
  if (!m_responder) {
    return;
  }
  Begin();
  Write(FormatSseEvent(EventId(source, position), "handover", "{}"));
  m_responder->Finish();
}

void StreamOutput::Abort() {
  if (m_responder) {
    m_responder->Abort();
  }
}

}  // namespace bramleybank
