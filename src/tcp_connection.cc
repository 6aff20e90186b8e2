// Non-blocking sockets. TCP keep-alive probes end connections whose peer has
// disappeared without a reset.
#include "tcp_connection.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "event_loop.h"
#include "release_memory.h"
#include "tcp_address.h"

namespace bramleybank {
namespace {

constexpr size_t kReadBlockBytes = 16 * 1024;
// Maximum number of reads of one connection before other connections are
// served.
constexpr int kMaxReadsPerTurn = 4;
// Sent bytes are removed from the front of m_output once there are this many.
constexpr size_t kCompactThresholdBytes = 64 * 1024;

// Keep-alive probes on an idle connection detect a peer that has disappeared,
// or that has restarted and does not know the connection any more.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void SetOption(int fd, int level, int option, int value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

void SetOptions(int fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace

std::optional<size_t> UnacknowledgedBytes(int fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0
             ? std::optional(static_cast<size_t>(bytes))
             : std::nullopt;
}

TcpConnection::TcpConnection(EventLoop* loop, int fd, TcpCallbacks callbacks)
    : m_loop(loop), m_fd(fd), m_callbacks(std::move(callbacks)) {}

std::shared_ptr<TcpConnection> TcpConnection::Adopt(EventLoop* loop,
                                                    int fd,
                                                    TcpCallbacks callbacks) {
  std::shared_ptr<TcpConnection> self(
      new TcpConnection(loop, fd, std::move(callbacks)));
  SetOptions(fd);
  self->UpdateWatch();
  return self;
}

std::shared_ptr<TcpConnection> TcpConnection::Connect(
    EventLoop* loop,
    const std::string& address,
    Duration timeout,
    TcpCallbacks callbacks) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::shared_ptr<TcpConnection> self(
      new TcpConnection(loop, fd, std::move(callbacks)));
  self->m_phase = Phase::kConnecting;
  const auto target = ParseTcpAddress(address);
  if (fd < 0 || !target) {
    self->PostEnd(TcpCloseReason::kNotConnected);
    return self;
  }
  SetOptions(fd);
  const auto* raw_address = reinterpret_cast<const sockaddr*>(&*target);
  if (connect(fd, raw_address, sizeof(*target)) != 0 && errno != EINPROGRESS) {
    self->PostEnd(TcpCloseReason::kNotConnected);
    return self;
  }
  self->m_timer = loop->Schedule(timeout, [weak = self->weak_from_this()] {
    if (const auto connection = weak.lock()) {
      connection->OnConnectTimeout();
    }
  });
  self->UpdateWatch();
  return self;
}

TcpConnection::~TcpConnection() {
  Close();
}

void TcpConnection::Write(std::string_view bytes) {
  if (m_fd < 0 || m_write_shut_down || m_phase == Phase::kLingering) {
    return;
  }
  if (m_phase == Phase::kOpen && m_output.empty()) {
    bytes = SendDirectly(bytes);
  }
  m_output.append(bytes);
  if (m_phase == Phase::kOpen) {
    Flush();
  }
}

std::string_view TcpConnection::SendDirectly(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      // Flush() handles the error.
      break;
    }
    m_total_sent += static_cast<uint64_t>(count);
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return bytes;
}

void TcpConnection::Flush() {
  while (m_sent_offset < m_output.size()) {
    const ssize_t count = send(m_fd, m_output.data() + m_sent_offset,
                               m_output.size() - m_sent_offset, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      if (errno != EAGAIN) {
        PostEnd(TcpCloseReason::kBroken);
      }
      break;
    }
    m_sent_offset += static_cast<size_t>(count);
    m_total_sent += static_cast<uint64_t>(count);
  }
  if (m_sent_offset == m_output.size()) {
    // The memory of a large message is released.
    if (m_output.capacity() > kCompactThresholdBytes) {
      ReleaseMemory(&m_output);
    }
    m_output.clear();
    m_sent_offset = 0;
  } else if (m_sent_offset >= kCompactThresholdBytes) {
    m_output.erase(0, m_sent_offset);
    m_sent_offset = 0;
  }
  UpdateWatch();
}

void TcpConnection::FinishAndClose(TcpLinger linger) {
  if (m_phase == Phase::kLingering) {
    return;
  }
  m_linger = std::move(linger);
  if (m_phase != Phase::kOpen) {
    Close();
    return;
  }
  m_phase = Phase::kLingering;
  m_callbacks = {};
  m_reading = true;
  m_progress_mark = delivered_bytes();
  m_had_output = unsent_bytes() > 0;
  ScheduleLingerCheck();
  ShutDownWriteIfDrained();
  UpdateWatch();
}

void TcpConnection::ScheduleLingerCheck() {
  // The timer holds a reference, so the connection lives until Close() cancels
  // the timer.
  m_timer = m_loop->Schedule(
      m_linger.time,
      [self = shared_from_this()]() mutable { self->CheckLinger(); });
}

void TcpConnection::CheckLinger() {
  const uint64_t delivered = delivered_bytes();
  // The time in which this process was paused does not count.
  m_stalled_for += m_linger.time;
  if (delivered >= m_progress_mark + m_linger.min_progress) {
    m_progress_mark = delivered;
    m_stalled_for = Duration{0};
  }
  const bool has_output = unsent_bytes() > 0 || delivered < m_total_sent;
  const bool is_stalled = m_stalled_for >= m_linger.stall_window;
  // The peer gets the linger time after the check that found output last.
  if (has_output ? is_stalled : !m_had_output) {
    Close();
    return;
  }
  m_had_output = has_output;
  ScheduleLingerCheck();
}

uint64_t TcpConnection::delivered_bytes() const {
  if (m_fd < 0) {
    return m_delivered_at_end;
  }
  return m_total_sent - UnacknowledgedBytes(m_fd).value_or(0);
}

void TcpConnection::ShutDownWriteIfDrained() {
  if (unsent_bytes() == 0 && !m_write_shut_down) {
    m_write_shut_down = true;
    shutdown(m_fd, SHUT_WR);
  }
}

void TcpConnection::Close() {
  m_loop->Cancel(m_timer);
  m_timer = TimerHandle();
  m_callbacks = {};
  m_phase = Phase::kClosed;
  if (m_fd >= 0) {
    m_delivered_at_end = delivered_bytes();
    m_loop->Unwatch(m_fd);
    close(m_fd);
    m_fd = -1;
  }
  const TcpLinger linger = std::exchange(m_linger, {});
  if (linger.on_closed) {
    linger.on_closed(unsent_bytes());
  }
}

void TcpConnection::SetReading(bool reading) {
  m_reading = reading;
  if (m_fd >= 0) {
    UpdateWatch();
  }
}

void TcpConnection::UpdateWatch() {
  if (m_fd < 0) {
    return;
  }
  const bool connecting = m_phase == Phase::kConnecting;
  const bool read = !connecting && m_reading;
  const bool write = connecting || unsent_bytes() > 0;
  if (read == m_watch_read && write == m_watch_write) {
    return;
  }
  m_watch_read = read;
  m_watch_write = write;
  m_loop->Watch(m_fd, read, write, [weak = weak_from_this()](IoReady ready) {
    if (const auto self = weak.lock()) {
      self->OnReady(ready.readable, ready.writable);
    }
  });
}

void TcpConnection::OnReady(bool readable, bool writable) {
  if (m_phase == Phase::kConnecting) {
    OnConnectReady();
    return;
  }
  if (writable) {
    Flush();
    if (m_fd < 0) {
      return;
    }
    if (m_phase == Phase::kLingering) {
      ShutDownWriteIfDrained();
    } else if (unsent_bytes() == 0 && m_callbacks.on_drained) {
      const auto drained = m_callbacks.on_drained;
      drained();
    }
  }
  if (readable) {
    ReadAvailable();
  }
}

void TcpConnection::OnConnectTimeout() {
  // In a busy loop the event of an established connection may still wait for
  // its turn.
  pollfd state{.fd = m_fd, .events = POLLOUT, .revents = 0};
  if (poll(&state, 1, 0) > 0) {
    OnConnectReady();
  } else {
    End(TcpCloseReason::kNotConnected);
  }
}

void TcpConnection::OnConnectReady() {
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    End(TcpCloseReason::kNotConnected);
    return;
  }
  m_loop->Cancel(m_timer);
  m_timer = TimerHandle();
  m_phase = Phase::kOpen;
  const auto connected = m_callbacks.on_connected;
  if (connected) {
    connected();
  }
  if (m_fd >= 0) {
    Flush();
  }
}

void TcpConnection::ReadNow() {
  const auto self = shared_from_this();
  if (m_phase == Phase::kOpen) {
    ReadAvailable();
  }
}

void TcpConnection::ReadAvailable() {
  static thread_local std::array<char, kReadBlockBytes> block;
  for (int i = 0; i < kMaxReadsPerTurn && m_fd >= 0 && m_reading; ++i) {
    const ssize_t count = recv(m_fd, block.data(), block.size(), 0);
    if (count < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        End(TcpCloseReason::kBroken);
      }
      return;
    }
    if (count == 0) {
      End(TcpCloseReason::kClosed);
      return;
    }
    if (m_callbacks.on_data) {
      const auto on_data = m_callbacks.on_data;
      on_data({block.data(), static_cast<size_t>(count)});
    } else if (m_linger.on_discarded) {
      Discard(static_cast<size_t>(count));
    }
    if (static_cast<size_t>(count) < block.size()) {
      return;
    }
  }
}

void TcpConnection::Discard(size_t bytes) {
  m_discarded += bytes;
  m_linger.on_discarded(bytes);
  if (m_discarded > m_linger.max_discarded) {
    SetReading(false);
  }
}

void TcpConnection::PostEnd(TcpCloseReason end) {
  m_loop->Post([weak = weak_from_this(), end] {
    if (const auto self = weak.lock()) {
      self->End(end);
    }
  });
}

void TcpConnection::End(TcpCloseReason end) {
  const auto on_end = std::move(m_callbacks.on_end);
  Close();
  if (on_end) {
    on_end(end);
  }
}

}  // namespace bramleybank
