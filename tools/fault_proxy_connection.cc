// One TCP connection through the proxy.
#include "fault_proxy_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "event_loop.h"

namespace bramleybank {
namespace {

constexpr size_t kReadBytes = 16 * 1024;
constexpr size_t kMaxQueuedBytes = 256 * 1024;

}  // namespace

Duration ProxyShared::DrawDelay() const {
  const auto bound = static_cast<uint64_t>(faults.jitter.count()) + 1;
  return faults.delay + Duration(static_cast<int64_t>(random() % bound));
}

ProxyConnection::ProxyConnection(ProxyShared* shared,
                                 int client_fd,
                                 int target_fd,
                                 std::function<void()> on_end)
    : m_shared(shared),
      m_fds{client_fd, target_fd},
      m_on_end(std::move(on_end)) {
  // The first writable event tells that the target is connected.
  m_pipes[kToTarget].is_blocked = true;
  UpdateWatches();
}

ProxyConnection::~ProxyConnection() {
  End();
  for (const int fd : m_fds) {
    close(fd);
  }
}

void ProxyConnection::UpdateWatches() {
  for (size_t side = 0; side < 2 && !m_ended; ++side) {
    const Pipe& in = m_pipes[side];
    const bool read = !in.has_ended && in.queued < kMaxQueuedBytes;
    const bool write = m_pipes[1 - side].is_blocked;
    if (m_fds[side] < 0) {
      continue;
    }
    m_shared->loop->Watch(m_fds[side], read, write,
                          [this, side](IoReady ready) {
                            if (ready.readable) {
                              Read(side);
                            } else {
                              m_pipes[1 - side].is_blocked = false;
                              Pump(1 - side);
                            }
                          });
  }
}

void ProxyConnection::Read(size_t side) {
  std::string bytes(kReadBytes, '\0');
  const ssize_t count = recv(m_fds[side], bytes.data(), bytes.size(), 0);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      Reset();
    }
    return;
  }
  bytes.resize(static_cast<size_t>(count));
  const bool is_half_open = m_fds[1] < 0;
  if ((is_half_open && bytes.empty()) ||
      (side == 1 && m_shared->faults.drop_answer)) {
    End();
  } else if (!is_half_open) {
    m_pipes[side].has_ended = bytes.empty();
    Queue(side, std::move(bytes));
    Pump(side);
  }
}

void ProxyConnection::Queue(size_t way, std::string bytes) {
  Pipe& pipe = m_pipes[way];
  const double rate = m_shared->faults.bytes_per_s;
  pipe.busy_until = std::max(pipe.busy_until, m_shared->loop->Now());
  if (rate > 0) {
    pipe.busy_until += Duration(
        static_cast<int64_t>(static_cast<double>(bytes.size()) * 1e6 / rate));
  }
  pipe.last_due =
      std::max(pipe.last_due, pipe.busy_until + m_shared->DrawDelay());
  pipe.queued += bytes.size();
  pipe.parts.push_back({pipe.last_due, std::move(bytes)});
}

void ProxyConnection::Pump(size_t way) {
  Pipe& pipe = m_pipes[way];
  m_shared->loop->Cancel(pipe.timer);
  while (!pipe.parts.empty() && !pipe.is_blocked && !m_ended &&
         !m_shared->faults.cut[way]) {
    const Duration wait = pipe.parts.front().due - m_shared->loop->Now();
    if (wait.count() > 0) {
      pipe.timer = m_shared->loop->Schedule(wait, [this, way] { Pump(way); });
      break;
    }
    if (!SendFront(way)) {
      break;
    }
  }
  UpdateWatches();
}

bool ProxyConnection::SendFront(size_t way) {
  Pipe& pipe = m_pipes[way];
  std::string& bytes = pipe.parts.front().bytes;
  const int fd = m_fds[1 - way];
  if (bytes.empty()) {
    shutdown(fd, SHUT_WR);
    pipe.parts.pop_front();
    const Pipe& back = m_pipes[1 - way];
    if (back.has_ended && back.parts.empty()) {
      End();
    }
    return false;
  }
  // Without truncation the limit of -1 becomes the largest number.
  const uint64_t bound =
      way == kToClient ? static_cast<uint64_t>(m_shared->faults.truncate_after)
                       : UINT64_MAX;
  const size_t size =
      std::min<uint64_t>(bytes.size(), bound - std::min(bound, pipe.sent));
  const ssize_t count = send(fd, bytes.data(), size, MSG_NOSIGNAL);
  if (count < 0) {
    pipe.is_blocked = errno == EAGAIN || errno == EINTR;
    if (!pipe.is_blocked) {
      Reset();
    }
    return false;
  }
  const auto sent = static_cast<size_t>(count);
  pipe.sent += sent;
  pipe.queued -= sent;
  m_shared->tcp_bytes[way] += sent;
  bytes.erase(0, sent);
  if (bytes.empty()) {
    pipe.parts.pop_front();
  }
  if (pipe.sent >= bound) {
    End();
  }
  return !m_ended;
}

void ProxyConnection::Reset() {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  for (const int fd : m_fds) {
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  End();
}

void ProxyConnection::End() {
  if (std::exchange(m_ended, true)) {
    return;
  }
  for (size_t side = 0; side < 2; ++side) {
    m_shared->loop->Cancel(m_pipes[side].timer);
    m_shared->loop->Unwatch(m_fds[side]);
  }
  m_shared->loop->Post(m_on_end);
}

}  // namespace bramleybank
