// HTTP server on libmicrohttpd in external polling mode. The event loop watches
// the library's epoll descriptor. A connection whose response is not ready is
// suspended, and resumed when there is something to send.
#include "http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <unordered_set>
#include <utility>

#include "event_loop.h"
#include "http_request.h"
#include "http_responder.h"
#include "release_memory.h"

namespace bramleybank {
namespace {

constexpr int kListenBacklog = 1024;
constexpr size_t kStreamBlockBytes = 4096;
constexpr char kDefaultRefusalBody[] = "{}";

size_t KeepPercentEncoding(void* /*cls*/,
                           MHD_Connection* /*conn*/,
                           char* text) {
  // Paths are forwarded as received, so percent-encoding is kept.
  return std::strlen(text);
}

MHD_Result CollectHeader(void* cls,
                         MHD_ValueKind /*kind*/,
                         const char* name,
                         const char* value) {
  static_cast<HttpHeaders*>(cls)->emplace_back(name,
                                               value != nullptr ? value : "");
  return MHD_YES;
}

int OpenListener(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    errno = EINVAL;
    return -1;
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const int saved = errno;
    close(fd);
    errno = saved;
    return -1;
  }
  return fd;
}

uint16_t BoundPort(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

}  // namespace

struct HttpServer::Impl {
  class Exchange;

  Impl(EventLoop* event_loop, const HttpServerOptions& server_options)
      : loop(event_loop), options(server_options) {}

  ~Impl();

  bool StartDaemon(int fd);
  /// Runs the library once and schedules the next run according to its timeout.
  /// The library's epoll descriptor does not signal connections on its internal
  /// ready list, so a timeout of 0 must lead to another run. Otherwise an
  /// accepted or resumed connection would wait for the next unrelated event.
  void RunLibrary();
  void ScheduleLibraryRun();
  void CheckForClosedCallers();
  /// The library does not accept connections beyond the limit.
  void CloseExcessConnections();

  static MHD_Result OnAccess(void* cls,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* upload_data,
                             size_t* upload_data_size,
                             void** con_cls);
  static void OnCompleted(void* cls,
                          MHD_Connection* connection,
                          void** con_cls,
                          MHD_RequestTerminationCode code);

  EventLoop* loop;
  HttpServerOptions options;
  Handler handler;
  RefusalHook refusal_hook;
  Reason reason;
  MHD_Daemon* daemon = nullptr;
  int listen_fd = -1;
  int epoll_fd = -1;
  bool run_posted = false;
  bool is_running = false;
  TimerHandle timeout_timer;
  TimerHandle close_check_timer;
  std::unordered_set<Exchange*> exchanges;
  // Expires with the server, so that a posted library run does nothing after
  // the destruction. Aborting open exchanges in the destructor posts such a
  // run.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// One request and its response. It lives until the library has reported the
/// end of the request and the handler has released its responder.
class HttpServer::Impl::Exchange
    : public HttpResponder,
      public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Impl* server, MHD_Connection* connection)
      : m_server(server), m_connection(connection) {
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    m_fd = info != nullptr ? info->connect_fd : -1;
  }

  void Respond(int status,
               const HttpHeaders& headers,
               std::string body) override {
    if (!CanStartResponse()) {
      return;
    }
    m_started = true;
    m_response = MHD_create_response_from_buffer(body.size(), body.data(),
                                                 MHD_RESPMEM_MUST_COPY);
    AddHeaders(status, headers);
    Wake();
  }

  void StartStream(int status, const HttpHeaders& headers) override {
    if (!CanStartResponse()) {
      return;
    }
    m_started = true;
    m_streaming = true;
    m_response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kStreamBlockBytes, &OnRead, this, nullptr);
    AddHeaders(status, headers);
    Wake();
  }

  void Write(std::string_view bytes) override {
    if (m_closed || !m_streaming || m_finished) {
      return;
    }
    m_buffer.append(bytes);
    Wake();
  }

  void Finish() override {
    m_finished = true;
    Wake();
  }

  void Abort() override {
    m_aborted = true;
    Wake();
  }

  void SetCloseHandler(std::function<void(bool)> handler) override {
    m_close_handler = std::move(handler);
  }
  void SetDrainHandler(std::function<void()> handler) override {
    m_drain_handler = std::move(handler);
  }
  size_t buffered_bytes() const override {
    return m_buffer.size() - m_buffer_offset;
  }
  bool is_open() const override { return !m_closed; }

  /// Processes a part of the request; called by the library for each part.
  MHD_Result OnRequestPart(const char* data, size_t* size);
  /// Calls the close handler, once.
  void Close(bool is_complete);
  /// Aborts the exchange if the caller has closed its connection.
  void AbortIfCallerClosed();
  void ReadHead(const char* url, const char* method);
  bool is_refused() const { return m_refusal != ResultCode::kOk; }
  MHD_Result QueueRefusal();
  /// Called when the server is destroyed before this exchange.
  void Detach() { m_server = nullptr; }

  HttpRequest request;

 private:
  bool CanStartResponse() const { return !m_closed && !m_started; }

  void AddHeaders(int status, const HttpHeaders& headers) {
    m_status = status;
    for (const auto& [name, value] : headers) {
      MHD_add_response_header(m_response, name.c_str(), value.c_str());
    }
  }

  /// Resumes the connection if it is suspended, and schedules a library run.
  void Wake() {
    if (m_closed || m_server == nullptr) {
      return;
    }
    if (m_suspended) {
      m_suspended = false;
      MHD_resume_connection(m_connection);
    }
    m_server->ScheduleLibraryRun();
  }

  void Suspend() {
    m_suspended = true;
    MHD_suspend_connection(m_connection);
  }

  MHD_Result QueueResponse() {
    MHD_Response* response = std::exchange(m_response, nullptr);
    const MHD_Result result = MHD_queue_response(
        m_connection, static_cast<unsigned>(m_status), response);
    MHD_destroy_response(response);
    return result;
  }

  static ssize_t OnRead(void* cls, uint64_t pos, char* out, size_t max);
  ssize_t Read(char* out, size_t max);

  Impl* m_server;
  MHD_Connection* m_connection;
  int m_fd = -1;
  // Set from the creation of the response until it is queued in the library.
  MHD_Response* m_response = nullptr;
  int m_status = 0;
  ResultCode m_refusal = ResultCode::kOk;
  size_t m_dropped_bytes = 0;
  bool m_dispatched = false;
  bool m_started = false;
  bool m_streaming = false;
  bool m_finished = false;
  bool m_aborted = false;
  bool m_suspended = false;
  // Invariant: m_connection is not used after this is set.
  bool m_closed = false;
  // Bytes before m_buffer_offset have been handed to the library.
  std::string m_buffer;
  size_t m_buffer_offset = 0;
  std::function<void(bool)> m_close_handler;
  std::function<void()> m_drain_handler;
};

ssize_t HttpServer::Impl::Exchange::OnRead(void* cls,
                                           uint64_t /*pos*/,
                                           char* out,
                                           size_t max) {
  return static_cast<Exchange*>(cls)->Read(out, max);
}

ssize_t HttpServer::Impl::Exchange::Read(char* out, size_t max) {
  if (m_aborted) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (buffered_bytes() == 0) {
    if (m_finished) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    Suspend();
    return 0;
  }
  const size_t count = std::min(max, buffered_bytes());
  std::memcpy(out, m_buffer.data() + m_buffer_offset, count);
  m_buffer_offset += count;
  if (buffered_bytes() == 0) {
    m_buffer.clear();
    m_buffer_offset = 0;
    if (m_drain_handler && m_server != nullptr) {
      m_server->loop->Post([self = shared_from_this()] {
        if (!self->m_closed && self->m_drain_handler) {
          const auto handler = self->m_drain_handler;
          handler();
        }
      });
    }
  }
  return static_cast<ssize_t>(count);
}

void HttpServer::Impl::Exchange::ReadHead(const char* url, const char* method) {
  request.method = method;
  request.path = url;
  MHD_get_connection_values(m_connection, MHD_HEADER_KIND, &CollectHeader,
                            &request.headers);
  MHD_get_connection_values(m_connection, MHD_GET_ARGUMENT_KIND, &CollectHeader,
                            &request.query);
  if (request.path.size() > m_server->options.max_url_bytes) {
    m_refusal = ResultCode::kUrlTooLong;
    return;
  }
  size_t header_bytes = 0;
  for (const auto& [name, value] : request.headers) {
    header_bytes += name.size() + value.size();
  }
  if (header_bytes > m_server->options.max_header_bytes) {
    m_refusal = ResultCode::kBadHeader;
    return;
  }
  if (HasAmbiguousLength(request.headers)) {
    m_refusal = ResultCode::kBadHeader;
    return;
  }
  const auto length = request.Header("Content-Length");
  if (length && std::strtoull(length->c_str(), nullptr, 10) >
                    m_server->options.max_body_bytes) {
    m_refusal = ResultCode::kBodyTooLarge;
  }
}

MHD_Result HttpServer::Impl::Exchange::QueueRefusal() {
  m_started = true;
  m_dispatched = true;
  std::string body = m_server->refusal_hook ? m_server->refusal_hook(m_refusal)
                                            : kDefaultRefusalBody;
  m_response = MHD_create_response_from_buffer(body.size(), body.data(),
                                               MHD_RESPMEM_MUST_COPY);
  AddHeaders(InfoOf(m_refusal).http_status,
             {{"Content-Type", "application/json"}, {"Connection", "close"}});
  return QueueResponse();
}

MHD_Result HttpServer::Impl::Exchange::OnRequestPart(const char* data,
                                                     size_t* size) {
  if (*size > 0) {
    // A body that is too large is read on but not kept. This bounds the memory,
    // and the caller receives the refusal instead of a reset.
    if (!is_refused() &&
        request.body.size() + *size <= m_server->options.max_body_bytes) {
      request.body.append(data, *size);
    } else {
      m_refusal = ResultCode::kBodyTooLarge;
      ReleaseMemory(&request.body);
      m_dropped_bytes += *size;
      if (m_dropped_bytes > kMaxDroppedBodyBytes) {
        return MHD_NO;
      }
    }
    *size = 0;
    return MHD_YES;
  }
  if (is_refused() && !m_started) {
    return QueueRefusal();
  }
  if (!m_dispatched) {
    m_dispatched = true;
    m_server->handler(request, shared_from_this());
    request = HttpRequest();
  }
  if (m_aborted) {
    return MHD_NO;
  }
  if (m_response != nullptr) {
    return QueueResponse();
  }
  Suspend();
  return MHD_YES;
}

void HttpServer::Impl::Exchange::Close(bool is_complete) {
  if (m_closed) {
    return;
  }
  m_closed = true;
  if (m_response != nullptr) {
    MHD_destroy_response(std::exchange(m_response, nullptr));
  }
  m_drain_handler = nullptr;
  const auto handler = std::exchange(m_close_handler, nullptr);
  if (handler) {
    handler(is_complete);
  }
}

void HttpServer::Impl::Exchange::AbortIfCallerClosed() {
  if (m_closed || !m_suspended || m_fd < 0) {
    return;
  }
  char byte = 0;
  const ssize_t count = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool is_closed = count == 0 || (count < 0 && errno != EAGAIN &&
                                        errno != EWOULDBLOCK && errno != EINTR);
  if (!is_closed) {
    return;
  }
  m_aborted = true;
  Wake();
}

HttpServer::Impl::~Impl() {
  loop->Cancel(timeout_timer);
  loop->Cancel(close_check_timer);
  if (epoll_fd >= 0) {
    loop->Unwatch(epoll_fd);
  }
  for (Exchange* exchange : std::unordered_set<Exchange*>(exchanges)) {
    exchange->Abort();
  }
  if (daemon != nullptr) {
    MHD_run(daemon);
    MHD_stop_daemon(daemon);
  }
  for (Exchange* exchange : exchanges) {
    exchange->Detach();
  }
}

MHD_Result HttpServer::Impl::OnAccess(void* cls,
                                      MHD_Connection* connection,
                                      const char* url,
                                      const char* method,
                                      const char* /*version*/,
                                      const char* upload_data,
                                      size_t* upload_data_size,
                                      void** con_cls) {
  auto* self = static_cast<Impl*>(cls);
  if (*con_cls == nullptr) {
    auto exchange = std::make_shared<Exchange>(self, connection);
    exchange->ReadHead(url, method);
    self->exchanges.insert(exchange.get());
    *con_cls = new std::shared_ptr<Exchange>(exchange);
    return exchange->is_refused() ? exchange->QueueRefusal() : MHD_YES;
  }
  const auto exchange = *static_cast<std::shared_ptr<Exchange>*>(*con_cls);
  return exchange->OnRequestPart(upload_data, upload_data_size);
}

void HttpServer::Impl::OnCompleted(void* cls,
                                   MHD_Connection* /*connection*/,
                                   void** con_cls,
                                   MHD_RequestTerminationCode code) {
  auto* self = static_cast<Impl*>(cls);
  auto* exchange_ref = static_cast<std::shared_ptr<Exchange>*>(*con_cls);
  if (exchange_ref == nullptr) {
    return;
  }
  *con_cls = nullptr;
  const std::shared_ptr<Exchange> exchange = std::move(*exchange_ref);
  delete exchange_ref;
  self->exchanges.erase(exchange.get());
  exchange->Close(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

bool HttpServer::Impl::StartDaemon(int fd) {
  daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &OnAccess,
      this, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED,
      &OnCompleted, this, MHD_OPTION_CONNECTION_LIMIT, options.max_connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, options.connection_pool_bytes,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(options.idle_timeout.count()),
      MHD_OPTION_UNESCAPE_CALLBACK, &KeepPercentEncoding, nullptr,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (daemon == nullptr) {
    return false;
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
  epoll_fd = info->epoll_fd;
  return epoll_fd >= 0;
}

void HttpServer::Impl::RunLibrary() {
  if (is_running) {
    ScheduleLibraryRun();
    return;
  }
  is_running = true;
  MHD_run(daemon);
  is_running = false;
  loop->Cancel(timeout_timer);
  timeout_timer = TimerHandle();
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(daemon, &timeout_ms) != MHD_YES) {
    return;
  }
  if (timeout_ms == 0) {
    ScheduleLibraryRun();
    return;
  }
  timeout_timer = loop->Schedule(std::chrono::milliseconds(timeout_ms),
                                 [this] { RunLibrary(); });
}

void HttpServer::Impl::ScheduleLibraryRun() {
  if (std::exchange(run_posted, true)) {
    return;
  }
  loop->Post([this, weak = std::weak_ptr<bool>(alive)] {
    if (weak.expired()) {
      return;
    }
    run_posted = false;
    RunLibrary();
  });
}

void HttpServer::Impl::CheckForClosedCallers() {
  // The library does not watch suspended connections. This detects callers that
  // have closed their connection before their response was ready.
  for (Exchange* exchange : std::unordered_set<Exchange*>(exchanges)) {
    exchange->AbortIfCallerClosed();
  }
  if (options.closes_excess_connections) {
    CloseExcessConnections();
    // The library watches its listening socket again only when it runs, and its
    // timeout does not cover that.
    ScheduleLibraryRun();
  }
  close_check_timer = loop->Schedule(kCallerCloseCheckInterval,
                                     [this] { CheckForClosedCallers(); });
}

void HttpServer::Impl::CloseExcessConnections() {
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  if (info == nullptr || info->num_connections < options.max_connections) {
    return;
  }
  for (int i = 0; i < kListenBacklog; ++i) {
    const int fd =
        accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    close(fd);
  }
}

HttpServer::HttpServer(EventLoop* loop, const HttpServerOptions& options)
    : m_impl(std::make_unique<Impl>(loop, options)) {
  assert(loop != nullptr);
}

HttpServer::~HttpServer() = default;

std::optional<uint16_t> HttpServer::Start(const std::string& ip,
                                          uint16_t port,
                                          Handler handler) {
  assert(handler);
  assert(m_impl->daemon == nullptr);
  m_impl->handler = std::move(handler);
  const int fd = OpenListener(ip, port);
  if (fd < 0) {
    m_impl->reason = {ResultCode::kBadSetting, "cannot listen on " + ip + ":" +
                                                   std::to_string(port) + ": " +
                                                   std::strerror(errno)};
    return std::nullopt;
  }
  const uint16_t bound_port = BoundPort(fd);
  if (!m_impl->StartDaemon(fd)) {
    close(fd);
    m_impl->reason = {ResultCode::kBadSetting,
                      "cannot start libmicrohttpd on " + ip};
    return std::nullopt;
  }
  m_impl->listen_fd = fd;
  Impl* impl = m_impl.get();
  impl->loop->Watch(impl->epoll_fd, true, false,
                    [impl](IoReady) { impl->RunLibrary(); });
  impl->CheckForClosedCallers();
  return bound_port;
}

void HttpServer::SetRefusalHook(RefusalHook hook) {
  m_impl->refusal_hook = std::move(hook);
}

size_t HttpServer::open_exchanges() const {
  return m_impl->exchanges.size();
}

const Reason& HttpServer::last_reason() const {
  return m_impl->reason;
}

}  // namespace bramleybank
