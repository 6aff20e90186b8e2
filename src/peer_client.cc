// Client side of the links between daemons.
#include "peer_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "peer_session_p.h"

namespace bramleybank {
namespace {

std::optional<sockaddr_in> ParsePeerAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end ||
      inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) !=
          1) {
    return std::nullopt;
  }
  address.sin_port = htons(port);
  return address;
}

}  // namespace

struct PeerClient::Impl : std::enable_shared_from_this<PeerClient::Impl> {
  class Connection;

  Impl(EventLoop* event_loop, const PeerClientOptions& client_options)
      : loop(event_loop), options(client_options) {}

  /// Runs a callback in the next turn of the event loop, so that the calling
  /// code is never reentered.
  void Complete(Callback callback, PeerReply reply);
  void RunFinished();
  /// @returns the open connection to a peer, or a new one; null with `detail`
  /// set on failure.
  std::shared_ptr<Connection> GetConnection(const std::string& peer,
                                            std::string* detail);
  /// Gives a connection no new calls. It closes when it has no open calls.
  void Retire(Connection* connection);
  /// Removes a connection from the lists.
  /// @returns it, so that it stays valid until its member function returns.
  std::shared_ptr<Connection> RemoveConnection(Connection* connection);

  EventLoop* loop;
  PeerClientOptions options;
  PeerTraffic traffic;
  // Connections that accept calls, by peer address.
  std::unordered_map<std::string, std::shared_ptr<Connection>> connections;
  // Connections that only finish their open calls.
  std::vector<std::shared_ptr<Connection>> retired;
  std::vector<std::pair<Callback, PeerReply>> finished;
  // The PeerClient was destroyed; no callback may run.
  bool closed = false;
};

/// One connection and its open calls.
class PeerClient::Impl::Connection : public PeerSessionObserver {
 public:
  Connection(Impl* client, std::string peer)
      : m_client(client), m_peer(std::move(peer)) {}

  ~Connection() override {
    if (m_session) {
      m_session->Close();
    }
    m_client->loop->Cancel(m_idle_timer);
    for (const auto& [stream, call] : m_calls) {
      m_client->loop->Cancel(call.timer);
    }
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @returns why the connect could not be started; empty on success.
  std::string Start();
  /// Moves from `body` and `callback` on success.
  /// @returns false when the connection accepts no more calls.
  bool Call(const std::string& path,
            std::string& body,
            Duration timeout,
            Callback& callback);

  void CloseIfRetired();

  const std::string& peer() const { return m_peer; }
  size_t open_calls() const { return m_calls.size(); }
  size_t unsent_bytes() const { return m_session->unsent_bytes(); }

  void OnHeader(int32_t stream,
                std::string_view name,
                std::string_view value) override;
  void OnData(int32_t stream, std::string_view data) override;
  void OnMessageEnd(int32_t stream) override;
  void OnStreamClosed(int32_t stream, uint32_t error) override;
  void OnGoAway() override { m_client->Retire(this); }
  void OnInputProcessed() override { CloseIfRetired(); }
  void OnLost(const std::string& reason) override;

 private:
  struct OpenCall {
    Callback callback;
    TimerHandle timer;
    int http_status = 0;
    std::string body;
  };

  void Finish(int32_t stream, PeerReply reply);

  Impl* m_client;
  std::string m_peer;
  std::shared_ptr<PeerSession> m_session;
  std::unordered_map<int32_t, OpenCall> m_calls;
  // Runs while there are no open calls.
  TimerHandle m_idle_timer;
};

std::string PeerClient::Impl::Connection::Start() {
  const auto address = ParsePeerAddress(m_peer);
  if (!address) {
    return "malformed peer address";
  }
  const int fd = OpenPeerSocket();
  if (fd < 0) {
    return std::strerror(errno);
  }
  const int result = connect(fd, reinterpret_cast<const sockaddr*>(&*address),
                             sizeof(*address));
  if (result != 0 && errno != EINPROGRESS) {
    std::string detail = std::strerror(errno);
    close(fd);
    return detail;
  }
  m_session = std::make_shared<PeerSession>(
      m_client->loop, fd, PeerRole::kClient, this, &m_client->traffic);
  m_session->SetNextStream(m_client->options.first_stream);
  m_session->Start(/*connecting=*/result != 0);
  return {};
}

bool PeerClient::Impl::Connection::Call(const std::string& path,
                                        std::string& body,
                                        Duration timeout,
                                        Callback& callback) {
  const auto stream = m_session->SubmitRequest(m_peer, path, body);
  if (!stream) {
    return false;
  }
  m_client->loop->Cancel(std::exchange(m_idle_timer, TimerHandle()));
  OpenCall& call = m_calls[*stream];
  call.callback = std::move(callback);
  call.timer = m_client->loop->Schedule(timeout, [this, stream = *stream] {
    m_session->ResetStream(stream, NGHTTP2_CANCEL);
    Finish(stream, {.status = PeerStatus::kTimedOut,
                    .detail = "no reply within the timeout"});
    CloseIfRetired();
  });
  return true;
}

void PeerClient::Impl::Connection::OnHeader(int32_t stream,
                                            std::string_view name,
                                            std::string_view value) {
  const auto it = m_calls.find(stream);
  if (it != m_calls.end() && name == ":status") {
    std::from_chars(value.data(), value.data() + value.size(),
                    it->second.http_status);
  }
}

void PeerClient::Impl::Connection::OnData(int32_t stream,
                                          std::string_view data) {
  const auto it = m_calls.find(stream);
  if (it == m_calls.end()) {
    return;
  }
  if (it->second.body.size() + data.size() > kMaxPeerBodyBytes) {
    m_session->ResetStream(stream, NGHTTP2_CANCEL);
    Finish(stream,
           {.status = PeerStatus::kRefused, .detail = "reply too large"});
    return;
  }
  it->second.body.append(data);
}

void PeerClient::Impl::Connection::OnMessageEnd(int32_t stream) {
  const auto it = m_calls.find(stream);
  if (it == m_calls.end()) {
    return;
  }
  PeerReply reply{.http_status = it->second.http_status};
  if (reply.http_status == 200) {
    reply.status = PeerStatus::kOk;
    reply.body = std::move(it->second.body);
  } else {
    reply.status = PeerStatus::kRefused;
    reply.detail = "status " + std::to_string(reply.http_status);
    // A refusal may arrive early; the rest of the body is then not sent.
    m_session->ResetStream(stream, NGHTTP2_NO_ERROR);
  }
  Finish(stream, std::move(reply));
}

void PeerClient::Impl::Connection::OnStreamClosed(int32_t stream,
                                                  uint32_t error) {
  const bool refused =
      error == NGHTTP2_REFUSED_STREAM || error == NGHTTP2_ENHANCE_YOUR_CALM;
  Finish(stream,
         {.status = refused ? PeerStatus::kRefused : PeerStatus::kUnreachable,
          .detail =
              std::string("stream closed: ") + nghttp2_http2_strerror(error)});
}

void PeerClient::Impl::Connection::Finish(int32_t stream, PeerReply reply) {
  const auto it = m_calls.find(stream);
  if (it == m_calls.end()) {
    return;
  }
  m_client->loop->Cancel(it->second.timer);
  m_client->Complete(std::move(it->second.callback), std::move(reply));
  m_calls.erase(it);
  if (m_calls.empty()) {
    m_idle_timer = m_client->loop->Schedule(
        m_client->options.idle_timeout,
        [this] { const auto self = m_client->RemoveConnection(this); });
  }
}

void PeerClient::Impl::Connection::CloseIfRetired() {
  if (!m_calls.empty()) {
    return;
  }
  for (const auto& connection : m_client->retired) {
    if (connection.get() == this) {
      const auto self = m_client->RemoveConnection(this);
      return;
    }
  }
}

void PeerClient::Impl::Connection::OnLost(const std::string& reason) {
  const auto self = m_client->RemoveConnection(this);
  while (!m_calls.empty()) {
    Finish(m_calls.begin()->first,
           {.status = PeerStatus::kUnreachable, .detail = reason});
  }
}

void PeerClient::Impl::Complete(Callback callback, PeerReply reply) {
  finished.emplace_back(std::move(callback), std::move(reply));
  if (finished.size() == 1) {
    loop->Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->RunFinished();
      }
    });
  }
}

void PeerClient::Impl::RunFinished() {
  const auto batch = std::exchange(finished, {});
  for (const auto& [callback, reply] : batch) {
    if (closed) {
      return;
    }
    callback(reply);
  }
}

std::shared_ptr<PeerClient::Impl::Connection> PeerClient::Impl::GetConnection(
    const std::string& peer,
    std::string* detail) {
  const auto it = connections.find(peer);
  if (it != connections.end()) {
    return it->second;
  }
  auto connection = std::make_shared<Connection>(this, peer);
  *detail = connection->Start();
  if (!detail->empty()) {
    return nullptr;
  }
  connections.emplace(peer, connection);
  return connection;
}

void PeerClient::Impl::Retire(Connection* connection) {
  const auto it = connections.find(connection->peer());
  if (it != connections.end() && it->second.get() == connection) {
    retired.push_back(std::move(it->second));
    connections.erase(it);
  }
}

std::shared_ptr<PeerClient::Impl::Connection>
PeerClient::Impl::RemoveConnection(Connection* connection) {
  Retire(connection);
  for (auto it = retired.begin(); it != retired.end(); ++it) {
    if (it->get() == connection) {
      auto self = std::move(*it);
      retired.erase(it);
      return self;
    }
  }
  return nullptr;
}

PeerClient::PeerClient(EventLoop* loop, const PeerClientOptions& options)
    : m_impl(std::make_shared<Impl>(loop, options)) {
  assert(loop != nullptr);
}

PeerClient::~PeerClient() {
  m_impl->closed = true;
  m_impl->connections.clear();
  m_impl->retired.clear();
}

void PeerClient::Call(const std::string& peer_address,
                      const std::string& path,
                      std::string body,
                      Duration timeout,
                      Callback callback) {
  assert(callback);
  const auto fail = [&](PeerStatus status, const std::string& detail) {
    m_impl->Complete(std::move(callback), {.status = status, .detail = detail});
  };
  if (body.size() > kMaxPeerBodyBytes || path.size() > kMaxPeerPathBytes ||
      body.size() > m_impl->options.max_queued_bytes) {
    fail(PeerStatus::kRefused, "request too large");
    return;
  }
  // The second round is for a connection whose stream ids are exhausted, which
  // happens after 2^30 calls: 24 days at 500 batches per second.
  for (int round = 0; round < 2; ++round) {
    std::string detail;
    const auto connection = m_impl->GetConnection(peer_address, &detail);
    if (!connection) {
      fail(PeerStatus::kUnreachable, detail);
      return;
    }
    if (connection->unsent_bytes() + body.size() >
            m_impl->options.max_queued_bytes ||
        connection->open_calls() >= kMaxPeerOpenCalls) {
      fail(PeerStatus::kRefused, "queue to the peer is full");
      return;
    }
    if (connection->Call(path, body, timeout, callback)) {
      return;
    }
    m_impl->Retire(connection.get());
    connection->CloseIfRetired();
  }
  fail(PeerStatus::kUnreachable, "no stream id available");
}

size_t PeerClient::open_connections() const {
  return m_impl->connections.size() + m_impl->retired.size();
}

size_t PeerClient::open_calls() const {
  size_t calls = 0;
  for (const auto& [peer, connection] : m_impl->connections) {
    calls += connection->open_calls();
  }
  for (const auto& connection : m_impl->retired) {
    calls += connection->open_calls();
  }
  return calls;
}

uint64_t PeerClient::bytes_sent() const {
  return m_impl->traffic.sent;
}

uint64_t PeerClient::bytes_received() const {
  return m_impl->traffic.received;
}

}  // namespace bramleybank
