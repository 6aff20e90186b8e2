// One forwarded address of the proxy.
#include "fault_proxy_pair.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <nlohmann/json.hpp>
#include <utility>

#include "event_loop.h"

namespace bramleybank {
namespace {

constexpr int kBacklog = 1024;
constexpr size_t kMaxDatagramBytes = 65536;
constexpr size_t kMaxFlows = 1024;

sockaddr_in ToSockaddr(const ProxyAddress& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

int NewSocket(int type) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  return fd;
}

bool Bind(int fd, const ProxyAddress& address) {
  const sockaddr_in to = ToSockaddr(address);
  return bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
}

/// @returns whether the socket is connected or connecting.
bool Connect(int fd, const ProxyAddress& address) {
  const sockaddr_in to = ToSockaddr(address);
  return connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 ||
         errno == EINPROGRESS;
}

}  // namespace

ProxyPairServer::ProxyPairServer(EventLoop* loop,
                                 ProxyPair pair,
                                 RandomHook random)
    : m_loop(loop),
      m_pair(std::move(pair)),
      m_shared{loop, &m_faults, &m_figures, std::move(random)} {}

ProxyPairServer::~ProxyPairServer() {
  StopListening();
  for (const auto& [source, fd] : m_flows) {
    m_loop->Unwatch(fd);
    close(fd);
  }
  if (m_udp_fd >= 0) {
    m_loop->Unwatch(m_udp_fd);
    close(m_udp_fd);
  }
}

bool ProxyPairServer::Start() {
  m_udp_fd = NewSocket(SOCK_DGRAM);
  if (!Bind(m_udp_fd, m_pair.listen)) {
    return false;
  }
  m_loop->Watch(m_udp_fd, true, false, [this](IoReady) { OnClientDatagram(); });
  return Listen();
}

bool ProxyPairServer::Listen() {
  m_listen_fd = NewSocket(SOCK_STREAM);
  if (!Bind(m_listen_fd, m_pair.listen) || listen(m_listen_fd, kBacklog) != 0) {
    return false;
  }
  m_loop->Watch(m_listen_fd, true, false, [this](IoReady) { Accept(); });
  return true;
}

void ProxyPairServer::StopListening() {
  if (m_listen_fd >= 0) {
    m_loop->Unwatch(m_listen_fd);
    close(std::exchange(m_listen_fd, -1));
  }
}

void ProxyPairServer::Accept() {
  const int fd =
      accept4(m_listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) {
    ++m_figures.connections;
    AddConnection(fd);
  }
}

void ProxyPairServer::AddConnection(int client_fd) {
  const int on = 1;
  setsockopt(client_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  int target_fd = -1;
  bool reset = m_faults.reset_new;
  if (!reset && !m_faults.half_open) {
    target_fd = NewSocket(SOCK_STREAM);
    reset = !Connect(target_fd, m_pair.target);
  }
  const uint64_t id = m_next_id++;
  auto& connection = m_connections[id];
  connection = std::make_unique<ProxyConnection>(
      &m_shared, client_fd, target_fd, [this, id] { m_connections.erase(id); });
  if (reset) {
    connection->Reset();
  }
}

void ProxyPairServer::SetFaults(const ProxyFaults& faults) {
  m_faults = faults;
  if (m_faults.refuse) {
    StopListening();
  } else if (m_listen_fd < 0) {
    Listen();
  }
  for (const auto& [id, connection] : m_connections) {
    connection->OnFaultsChanged();
  }
}

void ProxyPairServer::ResetAll() {
  for (const auto& [id, connection] : m_connections) {
    connection->Reset();
  }
}

void ProxyPairServer::OnClientDatagram() {
  std::string bytes(kMaxDatagramBytes, '\0');
  sockaddr_in from{};
  socklen_t length = sizeof(from);
  const ssize_t count = recvfrom(m_udp_fd, bytes.data(), bytes.size(), 0,
                                 reinterpret_cast<sockaddr*>(&from), &length);
  if (count >= 0) {
    bytes.resize(static_cast<size_t>(count));
    Forward(ProxyWay::kToTarget, std::move(bytes),
            {from.sin_addr.s_addr, from.sin_port});
  }
}

void ProxyPairServer::OnTargetDatagram(const UdpSource& source, int fd) {
  std::string bytes(kMaxDatagramBytes, '\0');
  const ssize_t count = recv(fd, bytes.data(), bytes.size(), 0);
  if (count >= 0) {
    bytes.resize(static_cast<size_t>(count));
    Forward(ProxyWay::kToClient, std::move(bytes), source);
  }
}

int ProxyPairServer::FlowOf(const UdpSource& source) {
  const auto it = m_flows.find(source);
  if (it != m_flows.end()) {
    return it->second;
  }
  if (m_flows.size() >= kMaxFlows) {
    return -1;
  }
  const int fd = NewSocket(SOCK_DGRAM);
  Connect(fd, m_pair.target);
  m_loop->Watch(fd, true, false,
                [this, source, fd](IoReady) { OnTargetDatagram(source, fd); });
  m_flows.emplace(source, fd);
  return fd;
}

void ProxyPairServer::Forward(ProxyWay way,
                              std::string bytes,
                              const UdpSource& source) {
  const auto index = static_cast<size_t>(way);
  const double draw = static_cast<double>(m_shared.random() >> 11U) * 0x1p-53;
  if (m_faults.cut[index] || draw < m_faults.udp_loss) {
    ++m_figures.datagrams_dropped;
    return;
  }
  const int fd = way == ProxyWay::kToTarget ? FlowOf(source) : m_udp_fd;
  const auto deliver = [this, way, index, source, fd,
                        bytes = std::move(bytes)] {
    sockaddr_in to = ToSockaddr(m_pair.target);
    if (way == ProxyWay::kToClient) {
      to.sin_addr.s_addr = source.first;
      to.sin_port = source.second;
    }
    if (sendto(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&to), sizeof(to)) >= 0) {
      m_figures.udp_bytes[index] += bytes.size();
    }
  };
  Duration delay = m_faults.delay;
  if (m_faults.jitter.count() > 0) {
    delay += Duration(static_cast<int64_t>(
        m_shared.random() % static_cast<uint64_t>(m_faults.jitter.count())));
  }
  if (delay.count() == 0) {
    deliver();
  } else {
    m_loop->Schedule(delay, deliver);
  }
}

nlohmann::json ProxyPairServer::Stats() const {
  return {{"tcp_bytes_to_target", m_figures.tcp_bytes[0]},
          {"tcp_bytes_to_client", m_figures.tcp_bytes[1]},
          {"udp_bytes_to_target", m_figures.udp_bytes[0]},
          {"udp_bytes_to_client", m_figures.udp_bytes[1]},
          {"connections", m_figures.connections},
          {"connections_open", m_connections.size()},
          {"datagrams_dropped", m_figures.datagrams_dropped}};
}

}  // namespace bramleybank
