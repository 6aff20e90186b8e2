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
constexpr size_t kClient = 0;
constexpr size_t kToClient = static_cast<size_t>(ProxyWay::kToClient);

}  // namespace

ProxyConnection::ProxyConnection(const Shared* shared,
                                 int client_fd,
                                 int target_fd,
                                 std::function<void()> on_end)
    : m_shared(shared),
      m_fds{client_fd, target_fd},
      m_on_end(std::move(on_end)) {
  // The first writable event tells that the target is connected.
  m_pipes[0].blocked = true;
  UpdateWatch(0);
  UpdateWatch(1);
}

ProxyConnection::~ProxyConnection() {
  for (Pipe& pipe : m_pipes) {
    m_shared->loop->Cancel(pipe.timer);
  }
  for (const int fd : m_fds) {
    if (fd >= 0) {
      m_shared->loop->Unwatch(fd);
      close(fd);
    }
  }
}

void ProxyConnection::UpdateWatch(size_t side) {
  const int fd = m_fds[side];
  if (fd < 0 || m_ended) {
    return;
  }
  const Pipe& in = m_pipes[side];
  const Pipe& out = m_pipes[1 - side];
  const bool read = !in.read_end && in.queued < kMaxQueuedBytes;
  m_shared->loop->Watch(fd, read, out.blocked, [this, side](IoReady ready) {
    OnReady(side, ready.readable);
  });
}

void ProxyConnection::OnReady(size_t side, bool readable) {
  if (m_ended) {
    return;
  }
  if (readable) {
    Read(side);
  } else {
    m_pipes[1 - side].blocked = false;
    Pump(1 - side);
  }
  UpdateWatch(0);
  UpdateWatch(1);
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
  if (m_fds[1] < 0) {
    // Half open: what the client sends is dropped.
    if (bytes.empty()) {
      End();
    }
    return;
  }
  if (side != kClient && m_shared->faults->drop_answer) {
    End();
    return;
  }
  Pipe& pipe = m_pipes[side];
  pipe.read_end = bytes.empty();
  Queue(&pipe, std::move(bytes), pipe.read_end);
  Pump(side);
}

void ProxyConnection::Queue(Pipe* pipe, std::string bytes, bool is_end) {
  const ProxyFaults& faults = *m_shared->faults;
  const TimePoint now = m_shared->loop->Now();
  pipe->busy_until = std::max(pipe->busy_until, now);
  if (faults.bytes_per_s > 0) {
    pipe->busy_until += Duration(static_cast<int64_t>(
        static_cast<double>(bytes.size()) * 1e6 / faults.bytes_per_s));
  }
  Duration jitter{0};
  if (faults.jitter.count() > 0) {
    jitter = Duration(static_cast<int64_t>(
        m_shared->random() % static_cast<uint64_t>(faults.jitter.count())));
  }
  pipe->last_due =
      std::max(pipe->last_due, pipe->busy_until + faults.delay + jitter);
  pipe->queued += bytes.size();
  pipe->parts.push_back({pipe->last_due, std::move(bytes), is_end});
}

void ProxyConnection::Pump(size_t way) {
  Pipe& pipe = m_pipes[way];
  m_shared->loop->Cancel(pipe.timer);
  while (!pipe.parts.empty() && !pipe.blocked && !m_ended &&
         !m_shared->faults->cut[way]) {
    const TimePoint now = m_shared->loop->Now();
    if (pipe.parts.front().due > now) {
      pipe.timer = m_shared->loop->Schedule(pipe.parts.front().due - now,
                                            [this, way] { Pump(way); });
      break;
    }
    if (!SendFront(way)) {
      break;
    }
  }
  UpdateWatch(0);
  UpdateWatch(1);
}

bool ProxyConnection::SendFront(size_t way) {
  Pipe& pipe = m_pipes[way];
  Part& part = pipe.parts.front();
  const int fd = m_fds[1 - way];
  if (part.is_end) {
    shutdown(fd, SHUT_WR);
    pipe.parts.pop_front();
    if (m_pipes[1 - way].read_end && m_pipes[1 - way].parts.empty()) {
      End();
    }
    return !m_ended;
  }
  const int64_t limit = m_shared->faults->truncate_after;
  const bool truncates = way == kToClient && limit != kNoTruncation;
  size_t size = part.bytes.size();
  if (truncates) {
    const auto bound = static_cast<uint64_t>(limit);
    size = std::min<uint64_t>(size, bound - std::min(bound, pipe.sent));
  }
  const ssize_t count = send(fd, part.bytes.data(), size, MSG_NOSIGNAL);
  if (count < 0) {
    pipe.blocked = errno == EAGAIN || errno == EINTR;
    if (!pipe.blocked) {
      Reset();
    }
    return false;
  }
  const auto sent = static_cast<size_t>(count);
  pipe.sent += sent;
  pipe.queued -= sent;
  m_shared->figures->tcp_bytes[way] += sent;
  part.bytes.erase(0, sent);
  if (part.bytes.empty()) {
    pipe.parts.pop_front();
  }
  if (truncates && std::cmp_greater_equal(pipe.sent, limit)) {
    End();
  }
  return !m_ended;
}

void ProxyConnection::Reset() {
  for (const int fd : m_fds) {
    if (fd >= 0) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
  }
  End();
}

void ProxyConnection::OnFaultsChanged() {
  Pump(0);
  Pump(1);
}

void ProxyConnection::End() {
  if (!std::exchange(m_ended, true)) {
    for (const int fd : m_fds) {
      if (fd >= 0) {
        m_shared->loop->Unwatch(fd);
      }
    }
    m_shared->loop->Post(m_on_end);
  }
}

}  // namespace bramleybank
