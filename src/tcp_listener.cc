// Listening socket with a limited number of accepts per loop iteration.
#include "tcp_listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <limits>
#include <utility>

#include "event_loop.h"
#include "tcp_address.h"

namespace bramleybank {
namespace {

constexpr int kListenBacklog = 1024;
// Limits the accepts per loop iteration, so that a burst of connections does
// not delay streams.
constexpr int kMaxAcceptsPerTurn = 16;

}  // namespace

TcpListener::TcpListener(EventLoop* loop) : m_loop(loop) {}

TcpListener::~TcpListener() {
  Stop();
}

std::optional<uint16_t> TcpListener::Start(const std::string& address,
                                           AcceptHandler handler) {
  auto target = ParseTcpAddress(address);
  m_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t length = sizeof(sockaddr_in);
  if (!target || bind(m_fd, reinterpret_cast<sockaddr*>(&*target), length) ||
      listen(m_fd, kListenBacklog) ||
      getsockname(m_fd, reinterpret_cast<sockaddr*>(&*target), &length)) {
    m_last_reason = {ResultCode::kBadSetting, "cannot listen on " + address +
                                                  ": " + std::strerror(errno)};
    Stop();
    return std::nullopt;
  }
  m_handler = std::move(handler);
  m_loop->Watch(m_fd, true, false,
                [this](IoReady) { Accept(kMaxAcceptsPerTurn); });
  return ntohs(target->sin_port);
}

void TcpListener::Stop() {
  if (m_fd < 0) {
    return;
  }
  m_loop->Unwatch(m_fd);
  close(m_fd);
  m_fd = -1;
}

size_t TcpListener::pending_connections() const {
  // For a listening socket the kernel reports its accept queue in this field.
  tcp_info info{};
  socklen_t length = sizeof(info);
  const bool is_known =
      m_fd >= 0 && getsockopt(m_fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
  return is_known ? info.tcpi_unacked : 0;
}

void TcpListener::AcceptPending() {
  Accept(std::numeric_limits<int>::max());
}

void TcpListener::Accept(int max_connections) {
  for (int i = 0; i < max_connections && m_fd >= 0; ++i) {
    const int fd =
        accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    m_handler(fd);
  }
}

}  // namespace bramleybank
