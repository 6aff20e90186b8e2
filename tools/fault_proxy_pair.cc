// One forwarded address of the proxy.
#include "fault_proxy_pair.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "event_loop.h"

namespace bramleybank {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;
constexpr size_t kMaxFlows = 1024;
constexpr int kOn = 1;

int NewSocket(int type) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &kOn, sizeof(kOn));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof(kOn));
  }
  return fd;
}

const sockaddr* AsSockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

ProxyPairServer::ProxyPairServer(EventLoop* loop,
                                 ProxyPair pair,
                                 RandomHook random)
    : m_pair(std::move(pair)),
      m_state{.loop = loop, .random = std::move(random)} {}

ProxyPairServer::~ProxyPairServer() {
  for (const auto& [source, fd] : m_flows) {
    m_state.loop->Unwatch(fd);
    close(fd);
  }
  for (const int fd : {m_udp_fd, m_listen_fd}) {
    m_state.loop->Unwatch(fd);
    close(fd);
  }
}

bool ProxyPairServer::Start() {
  m_udp_fd = NewSocket(SOCK_DGRAM);
  m_state.loop->Watch(m_udp_fd, true, false, [this](IoReady) {
    Receive(kToTarget, m_udp_fd, m_pair.target);
  });
  return bind(m_udp_fd, AsSockaddr(m_pair.listen), sizeof(sockaddr_in)) == 0 &&
         Listen();
}

bool ProxyPairServer::Listen() {
  m_listen_fd = NewSocket(SOCK_STREAM);
  m_state.loop->Watch(m_listen_fd, true, false, [this](IoReady) { Accept(); });
  return bind(m_listen_fd, AsSockaddr(m_pair.listen), sizeof(sockaddr_in)) ==
             0 &&
         listen(m_listen_fd, SOMAXCONN) == 0;
}

void ProxyPairServer::Accept() {
  const int client =
      accept4(m_listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0) {
    return;
  }
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof(kOn));
  const ProxyFaults& faults = m_state.faults;
  int target = -1;
  if (!faults.reset_new && !faults.half_open) {
    target = NewSocket(SOCK_STREAM);
    // A failed connect is detected when the connection reads from the socket.
    (void)connect(target, AsSockaddr(m_pair.target), sizeof(sockaddr_in));
  }
  const uint64_t id = ++m_accepted;
  auto& connection = m_connections[id];
  connection = std::make_unique<ProxyConnection>(
      &m_state, client, target, [this, id] { m_connections.erase(id); });
  if (faults.reset_new) {
    connection->Reset();
  }
}

std::string ProxyPairServer::Control(const nlohmann::json& message) {
  std::string error = ApplyProxyFaults(message, &m_state.faults);
  if (!error.empty()) {
    return error;
  }
  if (m_state.faults.refuse && m_listen_fd >= 0) {
    m_state.loop->Unwatch(m_listen_fd);
    close(std::exchange(m_listen_fd, -1));
  } else if (!m_state.faults.refuse && m_listen_fd < 0 && !Listen()) {
    return "the address is not free";
  }
  const auto asks_for = [&](const char* key) {
    return message.contains(key) && message[key] == true;
  };
  const bool reset = asks_for("reset_all");
  const bool silence = asks_for("silence_all");
  for (const auto& [id, connection] : m_connections) {
    if (reset) {
      connection->Reset();
    }
    if (silence) {
      connection->Silence();
    }
    connection->Pump(kToTarget);
    connection->Pump(kToClient);
  }
  return error;
}

int ProxyPairServer::FindOrOpenFlow(const sockaddr_in& source) {
  const std::pair key{source.sin_addr.s_addr, source.sin_port};
  const auto it = m_flows.find(key);
  if (it != m_flows.end() || m_flows.size() >= kMaxFlows) {
    return it != m_flows.end() ? it->second : -1;
  }
  const int fd = m_flows[key] = NewSocket(SOCK_DGRAM);
  m_state.loop->Watch(fd, true, false, [this, source, fd](IoReady) {
    Receive(kToClient, fd, source);
  });
  return fd;
}

void ProxyPairServer::Receive(size_t direction, int fd, const sockaddr_in& to) {
  std::string bytes(kMaxDatagramBytes, '\0');
  sockaddr_in from{};
  socklen_t length = sizeof(from);
  const ssize_t count = recvfrom(fd, bytes.data(), bytes.size(), 0,
                                 reinterpret_cast<sockaddr*>(&from), &length);
  const double draw = static_cast<double>(m_state.random() >> 11U) * 0x1p-53;
  if (count < 0 || m_state.faults.blocked[direction] ||
      draw < m_state.faults.udp_loss) {
    m_datagrams_dropped += count < 0 ? 0 : 1;
    return;
  }
  bytes.resize(static_cast<size_t>(count));
  const int via_fd = direction == kToTarget ? FindOrOpenFlow(from) : m_udp_fd;
  const auto deliver = [this, direction, via_fd, to, bytes = std::move(bytes)] {
    if (sendto(via_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, AsSockaddr(to),
               sizeof(to)) >= 0) {
      m_udp_bytes[direction] += bytes.size();
    }
  };
  m_state.loop->Schedule(m_state.DrawDelay(), deliver);
}

nlohmann::json ProxyPairServer::Stats() const {
  return {{"tcp_bytes_to_target", m_state.tcp_bytes[kToTarget]},
          {"tcp_bytes_to_client", m_state.tcp_bytes[kToClient]},
          {"udp_bytes_to_target", m_udp_bytes[kToTarget]},
          {"udp_bytes_to_client", m_udp_bytes[kToClient]},
          {"connections", m_accepted},
          {"connections_open", m_connections.size()},
          {"datagrams_dropped", m_datagrams_dropped}};
}

}  // namespace bramleybank
