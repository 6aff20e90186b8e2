// Request parsing, limits and answers of one caller connection.
#include "gateway_caller.h"

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "http1_status.h"
#include "log_event.h"
#include "release_memory.h"
#include "tcp_connection.h"

namespace bramleybank {
namespace {

constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusHeadersTooLarge = 431;
constexpr std::string_view kLineEnd = "\r\n";
constexpr double kMicrosecondsPerSecond = 1e6;

std::string RefusalBody(ResultCode code) {
  const ResultCodeInfo& info = InfoOf(code);
  std::string body = R"({"error":{"code":)";
  body += std::to_string(static_cast<int>(code));
  body.append(R"(,"name":")").append(info.name);
  body.append(R"(","message":")").append(info.meaning).append("\"}}");
  return body;
}

size_t TotalSize(std::span<const std::string> parts) {
  size_t size = 0;
  for (const std::string& part : parts) {
    size += part.size();
  }
  return size;
}

std::string FormatSeconds(Duration duration) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f",
                static_cast<double>(duration.count()) / kMicrosecondsPerSecond);
  return text;
}

HttpHeaders RefusalHeaders(Duration retry_after) {
  HttpHeaders headers = {{"Content-Type", "application/json"}};
  if (retry_after > Duration{0}) {
    headers.emplace_back("Retry-After", FormatSeconds(retry_after));
  }
  return headers;
}

}  // namespace

const char* NameOf(CallerCloseReason reason) {
  switch (reason) {
    case CallerCloseReason::kIdle:
      return "idle";
    case CallerCloseReason::kStopping:
      return "stopping";
    case CallerCloseReason::kLastAnswer:
      return "last_answer";
    case CallerCloseReason::kByCaller:
      return "by_caller";
    case CallerCloseReason::kAborted:
      return "aborted";
    case CallerCloseReason::kStalled:
      return "stalled";
    case CallerCloseReason::kMemory:
      return "memory";
  }
  return "unknown";
}

GatewayCaller::GatewayCaller(EventLoop* loop, const GatewayCallerHooks* hooks)
    : m_loop(loop),
      m_hooks(hooks),
      m_parser(Http1Parser::Direction::kRequests,
               hooks->limits().max_header_bytes,
               {.on_head = [this](Http1Head head) { OnHead(std::move(head)); },
                .on_body = [this](std::string_view data) { OnBody(data); },
                .on_complete = [this] { OnRequestComplete(); }}),
      m_limits(hooks->limits()),
      m_last_activity(loop->Now()),
      m_account(hooks->memory,
                {.on_room = [this] { OnMemoryGranted(); },
                 .on_evicted = [this] { OnEvicted(); },
                 .refresh = [this] { RefreshMemory(); }}) {}

GatewayCaller::~GatewayCaller() {
  m_loop->Cancel(m_timer);
  if (m_connection) {
    m_connection->Close();
  }
}

void GatewayCaller::Start(int fd) {
  m_accepted_at = m_loop->Now();
  // The gateway keeps this object alive until on_closed is called.
  const std::weak_ptr<GatewayCaller> weak = weak_from_this();
  m_connection = TcpConnection::Adopt(
      m_loop, fd,
      {.on_connected = nullptr,
       .on_data =
           [weak](std::string_view data) {
             if (const auto self = weak.lock()) {
               self->OnData(data);
             }
           },
       .on_end =
           [weak](TcpCloseReason) {
             if (const auto self = weak.lock()) {
               self->CloseNow(CallerCloseReason::kByCaller);
             }
           },
       .on_drained =
           [weak] {
             if (const auto self = weak.lock()) {
               self->OnDrained();
             }
           }});
  ArmTimer();
}

void GatewayCaller::OnDrained() {
  m_last_activity = m_loop->Now();
  m_account.OnProgress();
  RecordMemory();
  if (m_on_drained) {
    m_on_drained();
  }
  if (m_waits_for_drain) {
    ReadNextRequest();
  }
}

void GatewayCaller::OnData(std::string_view data) {
  m_has_input = true;
  if (!m_waits_for_drain) {
    m_last_activity = m_loop->Now();
  }
  if (!m_is_busy && !m_waits_for_drain) {
    if (!m_parser.is_inside_message()) {
      m_message_start = m_pace_start = m_last_activity;
      m_message_bytes = 0;
      m_progress_mark = 0;
      m_account.OnProgress();
      ApplyLimits();
      ArmTimer();
    }
    m_message_bytes += data.size();
    // Single bytes are no progress: other callers may wait for the memory.
    if (m_message_bytes >= m_progress_mark + kMinCallerProgressBytes) {
      m_progress_mark = m_message_bytes;
      m_account.OnProgress();
    }
    if (!m_state.has_head && !ReserveForParsing(data)) {
      return;
    }
  }
  m_parser.Feed(data);
  CheckFault();
  RecordMemory();
  UpdateReading();
}

void GatewayCaller::ApplyLimits() {
  m_limits = m_hooks->limits();
  m_parser.set_max_head_bytes(m_limits.max_header_bytes);
}

void GatewayCaller::CheckFault() {
  if (m_closed || m_parser.error() == Http1ParseError::kNone || m_is_busy) {
    return;
  }
  if (m_parser.error() == Http1ParseError::kHeadTooLarge) {
    RefuseAndClose(kStatusHeadersTooLarge, ResultCode::kBadHeader);
  } else {
    RefuseAndClose(InfoOf(ResultCode::kBadHeader).http_status,
                   ResultCode::kBadHeader);
  }
}

void GatewayCaller::OnHead(Http1Head head) {
  m_state.has_head = true;
  m_state.keep_alive = head.keep_alive;
  m_state.is_head_request = head.method == "HEAD";
  m_request = {.method = std::move(head.method),
               .target = std::move(head.target),
               .headers = std::move(head.headers),
               .body = {},
               .received_at = m_message_start};
  m_header_memory = m_request.headers.size() * kHeaderFieldBytes;
  const auto length = FindHeader(m_request.headers, "Content-Length");
  // The parser has checked that the length is a number.
  const uint64_t stated =
      length ? std::strtoull(length->c_str(), nullptr, 10) : 0;
  if (stated > m_limits.max_body_bytes) {
    RefuseAndClose(InfoOf(ResultCode::kBodyTooLarge).http_status,
                   ResultCode::kBodyTooLarge);
    return;
  }
  m_expected_body =
      length ? static_cast<size_t>(stated) : m_limits.max_body_bytes;
  const auto expect = FindHeader(m_request.headers, "Expect");
  if (expect && HeaderNameEquals(*expect, "100-continue")) {
    m_connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void GatewayCaller::OnBody(std::string_view data) {
  if (m_closed) {
    return;
  }
  const size_t bytes = m_request.body.size() + data.size();
  if (bytes > m_limits.max_body_bytes) {
    RefuseAndClose(InfoOf(ResultCode::kBodyTooLarge).http_status,
                   ResultCode::kBodyTooLarge);
    return;
  }
  if (bytes > m_request.body.capacity()) {
    GrowBody(bytes);
  }
  m_request.body.append(data);
}

void GatewayCaller::OnRequestComplete() {
  if (m_closed) {
    return;
  }
  m_is_busy = true;
  EndMemoryWait();
  // The request and its copy that is being sent.
  m_passed_on_memory = 2 * m_request.body.capacity() + m_header_memory;
  RecordMemory();
  m_hooks->on_request(shared_from_this(), std::exchange(m_request, {}));
}

void GatewayCaller::CloseNow(CallerCloseReason reason) {
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_loop->Cancel(m_timer);
  m_connection->Close();
  m_on_drained = nullptr;
  const auto on_disconnect = std::exchange(m_on_disconnect, nullptr);
  if (m_is_busy && on_disconnect) {
    on_disconnect();
  }
  m_hooks->on_closed(this, reason);
}

void GatewayCaller::Abort() {
  m_on_disconnect = nullptr;
  CloseNow(CallerCloseReason::kAborted);
}

std::string GatewayCaller::RenderHead(int status, const HttpHeaders& headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(ReasonPhrase(status)).append(kLineEnd);
  for (const auto& [name, value] : headers) {
    head.append(name).append(": ").append(value).append(kLineEnd);
  }
  m_state.omits_body = m_state.is_head_request || HasNoBody(status);
  // A request that has arrived behind this one gets an answer too.
  m_state.states_close =
      !m_state.keep_alive ||
      (m_hooks->is_draining() && m_parser.unparsed_bytes() == 0);
  if (m_state.states_close) {
    head.append("Connection: close\r\n");
  }
  return head;
}

void GatewayCaller::Answer(int status,
                           const HttpHeaders& headers,
                           std::span<const std::string> body) {
  if (m_closed) {
    return;
  }
  std::string message = RenderHead(status, headers);
  // A response that never has a body must not state the length of one.
  if (!HasNoBody(status)) {
    message.append("Content-Length: ").append(std::to_string(TotalSize(body)));
    message.append(kLineEnd);
  }
  message.append(kLineEnd);
  if (m_state.omits_body) {
    body = {};
  }
  if (!body.empty()) {
    message.append(body.front());
    body = body.subspan(1);
  }
  m_connection->Write(message);
  for (const std::string& part : body) {
    m_connection->Write(part);
  }
  FinishAnswer();
}

void GatewayCaller::Refuse(ResultCode code, Duration retry_after) {
  AnswerRefusal(InfoOf(code).http_status, code, retry_after);
}

void GatewayCaller::AnswerRefusal(int status,
                                  ResultCode code,
                                  Duration retry_after) {
  const std::string body = RefusalBody(code);
  Answer(status, RefusalHeaders(retry_after), {&body, 1});
}

void GatewayCaller::RefuseAndClose(int status,
                                   ResultCode code,
                                   Duration retry_after) {
  m_hooks->on_refused(code);
  m_state.keep_alive = false;
  AnswerRefusal(status, code, retry_after);
}

void GatewayCaller::StartStream(int status, const HttpHeaders& headers) {
  if (m_closed) {
    return;
  }
  std::string message = RenderHead(status, headers);
  if (!HasNoBody(status)) {
    message.append("Transfer-Encoding: chunked\r\n");
  }
  message.append(kLineEnd);
  m_connection->Write(message);
}

void GatewayCaller::WriteStream(std::string_view bytes) {
  if (m_closed || bytes.empty() || m_state.omits_body) {
    return;
  }
  char size[20];
  const auto end =
      std::to_chars(size, size + sizeof(size), bytes.size(), 16).ptr;
  std::string chunk(size, end);
  chunk.append(kLineEnd).append(bytes).append(kLineEnd);
  m_connection->Write(chunk);
}

void GatewayCaller::FinishStream() {
  if (m_closed) {
    return;
  }
  if (!m_state.omits_body) {
    m_connection->Write("0\r\n\r\n");
  }
  FinishAnswer();
}

void GatewayCaller::FinishAnswer() {
  m_is_busy = false;
  m_on_disconnect = nullptr;
  m_on_drained = nullptr;
  m_last_activity = m_loop->Now();
  if (m_state.states_close) {
    CloseGracefully(CallerCloseReason::kLastAnswer);
    return;
  }
  m_state = {};
  ArmTimer();
  m_passed_on_memory = 0;
  m_header_memory = 0;
  m_account.OnProgress();
  RecordMemory();
  // The next request may already be buffered. It is parsed in a separate event
  // loop task, because this method runs inside the call that answered.
  m_loop->Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->ReadNextRequest();
    }
  });
}

void GatewayCaller::SetDisconnectHandler(std::function<void()> handler) {
  m_on_disconnect = std::move(handler);
}

void GatewayCaller::SetDrainedHandler(std::function<void()> handler) {
  m_on_drained = std::move(handler);
}

size_t GatewayCaller::backlog_bytes() const {
  return m_closed ? 0 : m_connection->unsent_bytes();
}

bool GatewayCaller::IsIdle() const {
  return !m_closed && !m_is_busy && !m_parser.is_inside_message() &&
         m_parser.unparsed_bytes() == 0 && !HasUndeliveredOutput();
}

bool GatewayCaller::HasNextRequest() const {
  return !m_closed && !m_is_busy && !m_waits_for_drain &&
         m_parser.unparsed_bytes() > 0;
}

bool GatewayCaller::HasUndeliveredOutput() const {
  return m_connection->has_undelivered_output();
}

bool GatewayCaller::AwaitsFirstRequest() const {
  return !m_has_input && m_loop->Now() - m_accepted_at < kDrainFirstRequestTime;
}

void GatewayCaller::CloseIfIdle(CallerCloseReason reason) {
  const auto self = shared_from_this();
  if (!IsIdle()) {
    return;
  }
  m_connection->ReadNow();
  if (!IsIdle()) {
    return;
  }
  CloseNow(reason);
}

void GatewayCaller::CloseIfStalled() {
  const uint64_t delivered = m_connection->delivered_bytes();
  if (delivered < m_delivered_mark + kMinCallerProgressBytes) {
    LogLine(LogEventId::kCallerCut)
        .Field("reason", NameOf(CallerCloseReason::kStalled))
        .Field("unsent", static_cast<long long>(m_connection->unsent_bytes()));
    CloseNow(CallerCloseReason::kStalled);
    return;
  }
  m_delivered_mark = delivered;
  m_last_activity = m_loop->Now();
  ArmTimer();
}

void GatewayCaller::CloseGracefully(CallerCloseReason reason) {
  m_closed = true;
  m_loop->Cancel(m_timer);
  ReleaseMemory(&m_request);
  EndMemoryWait();
  m_parser.Discard();
  m_passed_on_memory = 0;
  m_header_memory = 0;
  RecordMemory();
  m_connection->FinishAndClose(
      {.time = kCallerLinger,
       .stall_window = kCallerStallWindow,
       .min_progress = kMinCallerProgressBytes,
       .max_discarded = kMaxDiscardedCallerBytes,
       .on_discarded =
           [hooks = m_hooks, reason, is_first = true](size_t bytes) mutable {
             if (std::exchange(is_first, false)) {
               LogLine(LogEventId::kCallerInputDropped)
                   .Field("reason", NameOf(reason))
                   .Field("bytes", static_cast<long long>(bytes));
             }
             hooks->on_input_dropped(bytes);
           },
       .on_closed =
           [weak = weak_from_this(), reason](size_t unsent) {
             if (unsent > 0) {
               LogLine(LogEventId::kCallerCut)
                   .Field("reason", NameOf(reason))
                   .Field("unsent", static_cast<long long>(unsent));
             }
             if (const auto self = weak.lock()) {
               self->m_hooks->on_closed(self.get(), reason);
             }
           }});
}

void GatewayCaller::ArmTimer() {
  m_loop->Cancel(m_timer);
  const bool in_head = m_parser.is_inside_message() && !m_state.has_head;
  const Duration limit =
      in_head ? m_limits.header_timeout : m_limits.idle_timeout;
  m_timer = m_loop->Schedule(limit, [this] { OnTimer(); });
}

void GatewayCaller::OnTimer() {
  const auto self = shared_from_this();
  m_timer = TimerHandle();
  m_limits = m_hooks->limits();
  if (m_waits_for_memory) {
    // The budget decides when this wait ends.
    ArmTimer();
    return;
  }
  // What arrived while this process was paused or busy came in time.
  m_connection->ReadNow();
  if (m_closed) {
    return;
  }
  const TimePoint now = m_loop->Now();
  const bool in_head = m_parser.is_inside_message() && !m_state.has_head;
  if (in_head && now - m_message_start >= m_limits.header_timeout) {
    RefuseAndClose(kStatusRequestTimeout, ResultCode::kBadHeader);
    return;
  }
  if (!m_is_busy && m_state.has_head && IsTooSlow()) {
    LogLine(LogEventId::kCallerTooSlow)
        .Field("bytes", static_cast<long long>(m_message_bytes))
        .Field("ms", ToMilliseconds(now - m_pace_start));
    RefuseAndClose(kStatusRequestTimeout, ResultCode::kRequestTooSlow);
    return;
  }
  if (!m_is_busy && !in_head &&
      now - m_last_activity >= m_limits.idle_timeout) {
    if (HasUndeliveredOutput()) {
      CloseIfStalled();
    } else if (m_state.has_head) {
      RefuseAndClose(kStatusRequestTimeout, ResultCode::kBadHeader);
    } else {
      CloseIfIdle(CallerCloseReason::kIdle);
    }
    return;
  }
  ArmTimer();
}

}  // namespace bramleybank
