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

Duration ProxyPairState::DrawDelay() const {
  const auto limit = static_cast<uint64_t>(faults.jitter.count()) + 1;
  return faults.delay + Duration(static_cast<int64_t>(random() % limit));
}

ProxyConnection::ProxyConnection(ProxyPairState* state,
                                 int client_fd,
                                 int target_fd,
                                 std::function<void()> on_end)
    : m_state(state), m_fds{client_fd, target_fd}, m_on_end(std::move(on_end)) {
  // The first writable event means that the target is connected.
  m_pipes[kToTarget].is_write_blocked = true;
  UpdateWatches();
}

ProxyConnection::~ProxyConnection() {
  End();
  for (const int fd : m_fds) {
    close(fd);
  }
}

void ProxyConnection::UpdateWatches() {
  for (size_t side = 0; side < 2 && !m_ended && !m_is_silent; ++side) {
    const Pipe& in = m_pipes[side];
    const bool read = !in.has_ended && in.queued_bytes < kMaxQueuedBytes;
    const bool write = m_pipes[1 - side].is_write_blocked;
    if (m_fds[side] < 0) {
      continue;
    }
    m_state->loop->Watch(m_fds[side], read, write, [this, side](IoReady ready) {
      if (ready.readable) {
        Read(side);
      } else {
        m_pipes[1 - side].is_write_blocked = false;
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
      (side == 1 && m_state->faults.drop_answer)) {
    End();
  } else if (!is_half_open) {
    m_pipes[side].has_ended = bytes.empty();
    Queue(side, std::move(bytes));
    Pump(side);
  }
}

void ProxyConnection::Queue(size_t direction, std::string bytes) {
  Pipe& pipe = m_pipes[direction];
  const double rate = m_state->faults.bytes_per_s;
  pipe.busy_until = std::max(pipe.busy_until, m_state->loop->Now());
  if (rate > 0) {
    pipe.busy_until += Duration(
        static_cast<int64_t>(static_cast<double>(bytes.size()) * 1e6 / rate));
  }
  pipe.latest_due =
      std::max(pipe.latest_due, pipe.busy_until + m_state->DrawDelay());
  pipe.queued_bytes += bytes.size();
  pipe.chunks.push_back({pipe.latest_due, std::move(bytes)});
}

void ProxyConnection::Pump(size_t direction) {
  Pipe& pipe = m_pipes[direction];
  m_state->loop->Cancel(pipe.timer);
  while (!pipe.chunks.empty() && !pipe.is_write_blocked && !m_ended &&
         !m_is_silent && !m_state->faults.blocked[direction]) {
    const Duration wait = pipe.chunks.front().due - m_state->loop->Now();
    if (wait.count() > 0) {
      pipe.timer =
          m_state->loop->Schedule(wait, [this, direction] { Pump(direction); });
      break;
    }
    if (!SendFront(direction)) {
      break;
    }
  }
  UpdateWatches();
}

bool ProxyConnection::SendFront(size_t direction) {
  Pipe& pipe = m_pipes[direction];
  std::string& bytes = pipe.chunks.front().bytes;
  const int fd = m_fds[1 - direction];
  if (bytes.empty()) {
    shutdown(fd, SHUT_WR);
    pipe.chunks.pop_front();
    const Pipe& back = m_pipes[1 - direction];
    if (back.has_ended && back.chunks.empty()) {
      End();
    }
    return false;
  }
  // Without truncation, -1 converts to the largest number.
  const uint64_t limit =
      direction == kToClient
          ? static_cast<uint64_t>(m_state->faults.truncate_after_bytes)
          : UINT64_MAX;
  const size_t size = std::min<uint64_t>(
      bytes.size(), limit - std::min(limit, pipe.sent_bytes));
  const ssize_t count = send(fd, bytes.data(), size, MSG_NOSIGNAL);
  if (count < 0) {
    pipe.is_write_blocked = errno == EAGAIN || errno == EINTR;
    if (!pipe.is_write_blocked) {
      Reset();
    }
    return false;
  }
  const auto sent_bytes = static_cast<size_t>(count);
  pipe.sent_bytes += sent_bytes;
  pipe.queued_bytes -= sent_bytes;
  m_state->tcp_bytes[direction] += sent_bytes;
  bytes.erase(0, sent_bytes);
  if (bytes.empty()) {
    pipe.chunks.pop_front();
  }
  if (pipe.sent_bytes >= limit) {
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

void ProxyConnection::Silence() {
  m_is_silent = true;
  for (size_t side = 0; side < 2; ++side) {
    m_state->loop->Cancel(m_pipes[side].timer);
    m_state->loop->Unwatch(m_fds[side]);
  }
}

void ProxyConnection::End() {
  if (std::exchange(m_ended, true)) {
    return;
  }
  for (size_t side = 0; side < 2; ++side) {
    m_state->loop->Cancel(m_pipes[side].timer);
    m_state->loop->Unwatch(m_fds[side]);
  }
  m_state->loop->Post(m_on_end);
}

}  // namespace bramleybank
