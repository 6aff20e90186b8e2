// Server side of the links between daemons.
#include "peer_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "log_event.h"
#include "memory_account.h"
#include "peer_session_p.h"
#include "release_memory.h"

namespace bramleybank {
namespace {

constexpr int kListenBacklog = 256;

}  // namespace

struct PeerServer::Impl {
  class Connection;

  Impl(EventLoop* event_loop, const PeerServerOptions& server_options)
      : loop(event_loop), options(server_options) {}
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Listen(const std::string& ip, uint16_t port);
  void Accept();

  EventLoop* loop;
  PeerServerOptions options;
  Handler handler;
  Reason reason;
  PeerTraffic traffic;
  int listen_fd = -1;
  // Sum of the received bodies of all open requests.
  size_t received_bytes = 0;
  size_t open_requests = 0;
  uint64_t refused_requests = 0;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections;
};

/// One connection and its open requests.
class PeerServer::Impl::Connection
    : public PeerSessionObserver,
      public std::enable_shared_from_this<Connection> {
 public:
  Connection(Impl* server, int fd)
      : m_server(server),
        m_session(std::make_shared<PeerSession>(server->loop,
                                                fd,
                                                PeerRole::kServer,
                                                this,
                                                &server->traffic)),
        m_account(server->options.memory,
                  {.on_room = nullptr,
                   .on_evicted = [this] { OnEvicted(); },
                   .refresh = [this] { RecordMemory(); }}) {}

  ~Connection() override {
    m_session->Close();
    for (auto& [stream, request] : m_requests) {
      DropBody(request);
    }
    m_server->open_requests -= m_requests.size();
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start() { m_session->Start(/*connecting=*/false); }

  void OnHeader(int32_t stream,
                std::string_view name,
                std::string_view value) override;
  void OnData(int32_t stream, std::string_view data) override;
  void OnMessageEnd(int32_t stream) override { m_ready.push_back(stream); }
  void OnStreamClosed(int32_t stream, uint32_t error) override;
  void OnGoAway() override {}
  void OnInputProcessed() override;
  void OnLost(const std::string& /*reason*/) override {
    const auto self = shared_from_this();
    m_server->connections.erase(this);
  }

 private:
  struct Request {
    std::string path;
    bool is_post = false;
    std::string body;
    // A response was submitted. Further data of the request is dropped.
    bool answered = false;
  };

  void Handle(int32_t stream);
  void Answer(int32_t stream, int status, std::string body);
  void DropBody(Request& request) {
    m_server->received_bytes -= request.body.size();
    m_body_memory -= request.body.capacity();
    ReleaseMemory(&request.body);
    m_body_memory += request.body.capacity();
  }
  /// @returns whether the budget grants the memory for the next data.
  bool GrowBody(Request& request, size_t bytes);
  void RecordMemory() {
    const size_t unsent = m_session->unsent_bytes();
    if (unsent < std::exchange(m_last_unsent, unsent)) {
      m_account.OnProgress();
    }
    m_account.Record(m_body_memory + unsent);
  }
  void OnEvicted() {
    const auto self = shared_from_this();
    LogLine(LogEventId::kMemoryEvicted)
        .Field("peer_bytes", static_cast<long long>(m_body_memory));
    m_session->Close();
    m_server->connections.erase(this);
  }

  Impl* m_server;
  std::shared_ptr<PeerSession> m_session;
  // By stream id; removed when the stream is closed.
  std::unordered_map<int32_t, Request> m_requests;
  // Streams whose requests are complete and not yet handled.
  std::vector<int32_t> m_ready;
  // Capacity of the bodies of all requests.
  size_t m_body_memory = 0;
  // Unsent bytes of replies when the memory was last recorded.
  size_t m_last_unsent = 0;
  MemoryAccount m_account;
};

void PeerServer::Impl::Connection::OnHeader(int32_t stream,
                                            std::string_view name,
                                            std::string_view value) {
  const auto [it, is_new] = m_requests.try_emplace(stream);
  if (is_new && ++m_server->open_requests > m_server->options.max_requests) {
    ++m_server->refused_requests;
    // Later headers and data of the stream are ignored.
    it->second.answered = true;
    m_session->ResetStream(stream, NGHTTP2_REFUSED_STREAM);
  }
  Request& request = it->second;
  if (name == ":path") {
    request.path = value.substr(0, kMaxPeerPathBytes + 1);
  } else if (name == ":method") {
    request.is_post = value == "POST";
  }
}

void PeerServer::Impl::Connection::OnData(int32_t stream,
                                          std::string_view data) {
  const auto it = m_requests.find(stream);
  if (it == m_requests.end() || it->second.answered) {
    return;
  }
  Request& request = it->second;
  if (request.body.size() + data.size() > m_server->options.max_body_bytes) {
    Answer(stream, 413, {});
    return;
  }
  if (m_server->received_bytes + data.size() >
          m_server->options.max_received_bytes ||
      !GrowBody(request, request.body.size() + data.size())) {
    ++m_server->refused_requests;
    Answer(stream, 503, {});
    return;
  }
  m_account.OnProgress();
  request.body.append(data);
  m_server->received_bytes += data.size();
}

bool PeerServer::Impl::Connection::GrowBody(Request& request, size_t bytes) {
  const size_t old = request.body.capacity();
  if (bytes <= old) {
    return true;
  }
  const size_t wanted = std::max(bytes, 2 * old);
  if (!m_account.Reserve(m_body_memory - old + wanted)) {
    return false;
  }
  request.body.reserve(wanted);
  m_body_memory += request.body.capacity() - old;
  return true;
}

void PeerServer::Impl::Connection::OnStreamClosed(int32_t stream,
                                                  uint32_t /*error*/) {
  const auto it = m_requests.find(stream);
  if (it != m_requests.end()) {
    DropBody(it->second);
    m_requests.erase(it);
    --m_server->open_requests;
    RecordMemory();
  }
}

void PeerServer::Impl::Connection::OnInputProcessed() {
  // Handlers run outside nghttp2 callbacks, because they may reply immediately.
  for (const int32_t stream : std::exchange(m_ready, {})) {
    Handle(stream);
  }
  RecordMemory();
}

void PeerServer::Impl::Connection::Handle(int32_t stream) {
  const auto it = m_requests.find(stream);
  if (it == m_requests.end() || it->second.answered) {
    return;
  }
  Request& request = it->second;
  if (!request.is_post || request.path.size() > kMaxPeerPathBytes) {
    Answer(stream, 400, {});
    return;
  }
  if (m_session->unsent_bytes() > kMaxPeerUnsentReplyBytes) {
    Answer(stream, 503, {});
    return;
  }
  // The handler may reply before it returns, which may remove the request.
  const std::string path = std::move(request.path);
  const std::string body = std::move(request.body);
  m_server->received_bytes -= body.size();
  m_body_memory -= body.capacity();
  request.body = {};
  m_body_memory += request.body.capacity();
  m_server->handler(
      path, body,
      [weak = weak_from_this(), stream](int status, std::string reply) {
        if (const auto self = weak.lock()) {
          self->Answer(stream, status, std::move(reply));
        }
      });
}

void PeerServer::Impl::Connection::Answer(int32_t stream,
                                          int status,
                                          std::string body) {
  const auto it = m_requests.find(stream);
  if (it == m_requests.end() || it->second.answered) {
    return;
  }
  it->second.answered = true;
  DropBody(it->second);
  m_session->SubmitResponse(stream, status, std::move(body));
}

PeerServer::Impl::~Impl() {
  // Destroyed first, because the connections use the other members.
  connections.clear();
  if (listen_fd >= 0) {
    loop->Unwatch(listen_fd);
    close(listen_fd);
  }
}

bool PeerServer::Impl::Listen(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    reason = {ResultCode::kBadSetting, "not an IPv4 address: " + ip};
    return false;
  }
  listen_fd = OpenPeerSocket();
  const int on = 1;
  setsockopt(listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(listen_fd, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listen_fd, kListenBacklog) != 0) {
    reason = {ResultCode::kBadSetting, "cannot listen on " + ip + ":" +
                                           std::to_string(port) + ": " +
                                           std::strerror(errno)};
    close(std::exchange(listen_fd, -1));
    return false;
  }
  return true;
}

void PeerServer::Impl::Accept() {
  while (true) {
    const int fd =
        accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    if (connections.size() >= options.max_connections) {
      close(fd);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto connection = std::make_shared<Connection>(this, fd);
    connections.emplace(connection.get(), connection);
    connection->Start();
  }
}

PeerServer::PeerServer(EventLoop* loop, const PeerServerOptions& options)
    : m_impl(std::make_unique<Impl>(loop, options)) {
  assert(loop != nullptr);
}

PeerServer::~PeerServer() = default;

std::optional<uint16_t> PeerServer::Start(const std::string& ip,
                                          uint16_t port,
                                          Handler handler) {
  assert(handler && m_impl->listen_fd < 0);
  if (!m_impl->Listen(ip, port)) {
    return std::nullopt;
  }
  m_impl->handler = std::move(handler);
  m_impl->loop->Watch(m_impl->listen_fd, true, false,
                      [impl = m_impl.get()](IoReady) { impl->Accept(); });
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(m_impl->listen_fd, reinterpret_cast<sockaddr*>(&address),
              &length);
  return ntohs(address.sin_port);
}

uint64_t PeerServer::refused_requests() const {
  return m_impl->refused_requests;
}

size_t PeerServer::open_connections() const {
  return m_impl->connections.size();
}

uint64_t PeerServer::bytes_sent() const {
  return m_impl->traffic.sent;
}

uint64_t PeerServer::bytes_received() const {
  return m_impl->traffic.received;
}

const Reason& PeerServer::last_reason() const {
  return m_impl->reason;
}

}  // namespace bramleybank
