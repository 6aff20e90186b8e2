// Implements the HTTP/2 connection between daemons with nghttp2.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <utility>

#include "bramleybank/limits.h"
#include "peer_session_p.h"

namespace bramleybank {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
constexpr size_t kMaxOutputBytes = 64 * 1024;
// Blocks read in one turn of the event loop, so that one busy connection does
// not starve the others.
constexpr int kMaxReadsPerTurn = 4;
// Windows of at least the largest body, so that flow control does not slow down
// ordinary traffic.
constexpr int32_t kStreamWindowBytes = kMaxPeerBodyBytes;
constexpr int32_t kConnectionWindowBytes = 4 * kMaxPeerBodyBytes;
// A keep-alive check that runs later than this shows that this process itself
// was stalled, so that the missing input says nothing about the peer.
constexpr Duration kLateCheckThreshold = std::chrono::milliseconds(500);

nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

PeerSession::PeerSession(EventLoop* loop,
                         int fd,
                         PeerRole role,
                         PeerSessionObserver* observer,
                         PeerTraffic* traffic)
    : m_loop(loop),
      m_fd(fd),
      m_observer(observer),
      m_traffic(traffic),
      m_ping_delay(role == PeerRole::kClient ? kPeerPingDelay
                                             : kPeerServerPingDelay) {
  assert(loop != nullptr && fd >= 0 && observer != nullptr);
  CreateNghttp2Session(role);
}

PeerSession::~PeerSession() {
  Close();
  nghttp2_session_del(m_session);
}

void PeerSession::CreateNghttp2Session(PeerRole role) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(
      callbacks, [](nghttp2_session*, const nghttp2_frame* frame,
                    const uint8_t* name, size_t name_size, const uint8_t* value,
                    size_t value_size, uint8_t, void* user) {
        const auto* self = static_cast<PeerSession*>(user);
        if (self->m_observer != nullptr) {
          self->m_observer->OnHeader(
              frame->hd.stream_id,
              {reinterpret_cast<const char*>(name), name_size},
              {reinterpret_cast<const char*>(value), value_size});
        }
        return 0;
      });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, [](nghttp2_session*, uint8_t, int32_t stream,
                    const uint8_t* data, size_t size, void* user) {
        const auto* self = static_cast<PeerSession*>(user);
        if (self->m_observer != nullptr) {
          self->m_observer->OnData(stream,
                                   {reinterpret_cast<const char*>(data), size});
        }
        return 0;
      });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* user) {
        const auto* self = static_cast<PeerSession*>(user);
        if (self->m_observer == nullptr) {
          return 0;
        }
        const bool carries_message =
            frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carries_message &&
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
          self->m_observer->OnMessageEnd(frame->hd.stream_id);
        } else if (frame->hd.type == NGHTTP2_GOAWAY) {
          self->m_observer->OnGoAway();
        }
        return 0;
      });
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks,
      [](nghttp2_session*, int32_t stream, uint32_t error, void* user) {
        auto* self = static_cast<PeerSession*>(user);
        self->DropBody(stream);
        if (self->m_observer != nullptr) {
          self->m_observer->OnStreamClosed(stream, error);
        }
        return 0;
      });

  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  // By default nghttp2 keeps closed streams for priorities, which are not used.
  nghttp2_option_set_no_closed_streams(option, 1);
  const auto create = role == PeerRole::kClient ? &nghttp2_session_client_new2
                                                : &nghttp2_session_server_new2;
  const int result = create(&m_session, callbacks, this, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  assert(result == 0 && m_session != nullptr);
  (void)result;

  const std::array<nghttp2_settings_entry, 3> settings{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxPeerStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  // ENABLE_PUSH is a setting of clients only.
  const size_t count =
      role == PeerRole::kClient ? settings.size() : settings.size() - 1;
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), count);
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

void PeerSession::Start(bool connecting) {
  m_connecting = connecting;
  m_last_received = m_last_sent = m_loop->Now();
  WatchSocket(/*write=*/true);
  const std::weak_ptr<PeerSession> weak = weak_from_this();
  if (connecting) {
    m_connect_timer = m_loop->Schedule(kConnectTimeout, [weak] {
      if (const auto self = weak.lock()) {
        self->CloseWithError("connect timed out");
      }
    });
    return;
  }
  CheckKeepAlive();
}

void PeerSession::Close() {
  m_observer = nullptr;
  m_loop->Cancel(m_connect_timer);
  m_loop->Cancel(m_check_timer);
  if (m_fd >= 0) {
    m_loop->Unwatch(m_fd);
    close(m_fd);
    m_fd = -1;
  }
}

void PeerSession::CloseWithError(const std::string& reason) {
  PeerSessionObserver* observer = m_observer;
  Close();
  if (observer != nullptr) {
    observer->OnLost(reason);
  }
}

// --- Messages ---------------------------------------------------------------

ssize_t PeerSession::ReadBody(nghttp2_session* /*session*/,
                              int32_t stream,
                              uint8_t* buffer,
                              size_t length,
                              uint32_t* flags,
                              nghttp2_data_source* /*source*/,
                              void* user_data) {
  auto* self = static_cast<PeerSession*>(user_data);
  const auto it = self->m_bodies.find(stream);
  if (it == self->m_bodies.end()) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  OutgoingBody& out = it->second;
  const size_t size = std::min(length, out.body.size() - out.offset);
  std::copy_n(out.body.data() + out.offset, size, buffer);
  out.offset += size;
  self->m_unsent_bytes -= size;
  if (out.offset == out.body.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(size);
}

nghttp2_data_provider PeerSession::MakeBodyProvider() {
  nghttp2_data_provider provider{};
  provider.source.ptr = this;
  provider.read_callback = &ReadBody;
  return provider;
}

void PeerSession::DropBody(int32_t stream) {
  const auto it = m_bodies.find(stream);
  if (it != m_bodies.end()) {
    m_unsent_bytes -= it->second.body.size() - it->second.offset;
    m_bodies.erase(it);
  }
}

std::optional<int32_t> PeerSession::SubmitRequest(const std::string& authority,
                                                  const std::string& path,
                                                  std::string& body) {
  if (m_fd < 0) {
    return std::nullopt;
  }
  const std::array<nghttp2_nv, 4> headers{
      MakeHeader(":method", "POST"), MakeHeader(":scheme", "http"),
      MakeHeader(":authority", authority), MakeHeader(":path", path)};
  const nghttp2_data_provider provider = MakeBodyProvider();
  const int32_t stream = nghttp2_submit_request(
      m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (stream < 0) {
    return std::nullopt;
  }
  m_unsent_bytes += body.size();
  m_bodies[stream] = {std::move(body)};
  ScheduleWrite();
  return stream;
}

void PeerSession::SubmitResponse(int32_t stream, int status, std::string body) {
  if (m_fd < 0) {
    return;
  }
  const std::string status_text = std::to_string(status);
  const nghttp2_nv header = MakeHeader(":status", status_text);
  const nghttp2_data_provider provider = MakeBodyProvider();
  if (nghttp2_submit_response(m_session, stream, &header, 1, &provider) != 0) {
    return;
  }
  m_unsent_bytes += body.size();
  m_bodies[stream] = {std::move(body)};
  ScheduleWrite();
}

void PeerSession::ResetStream(int32_t stream, uint32_t error) {
  DropBody(stream);
  if (m_fd >= 0) {
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, error);
    ScheduleWrite();
  }
}

void PeerSession::SetNextStream(int32_t stream) {
  nghttp2_session_set_next_stream_id(m_session, stream);
}

// --- Socket -----------------------------------------------------------------

void PeerSession::WatchSocket(bool write) {
  m_watching_write = write;
  // Readability has no meaning while connect() is in progress.
  m_loop->Watch(m_fd, !m_connecting, write,
                [weak = weak_from_this()](IoReady ready) {
                  if (const auto self = weak.lock()) {
                    self->OnReady(ready);
                  }
                });
}

void PeerSession::OnReady(IoReady ready) {
  if (m_fd < 0 || (m_connecting && !FinishConnect())) {
    return;
  }
  if (ready.readable) {
    ReadInput();
  }
  WriteOutput();
}

bool PeerSession::FinishConnect() {
  int socket_error = 0;
  socklen_t length = sizeof(socket_error);
  getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &socket_error, &length);
  if (socket_error != 0) {
    CloseWithError(std::strerror(socket_error));
    return false;
  }
  m_connecting = false;
  m_loop->Cancel(m_connect_timer);
  m_last_received = m_last_sent = m_loop->Now();
  CheckKeepAlive();
  WatchSocket(/*write=*/true);
  return true;
}

void PeerSession::ReadInput() {
  std::array<uint8_t, kReadBytes> buffer;
  for (int round = 0; round < kMaxReadsPerTurn && m_fd >= 0; ++round) {
    const ssize_t size = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (size < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        CloseWithError(std::strerror(errno));
      }
      return;
    }
    if (size == 0) {
      CloseWithError("closed by the peer");
      return;
    }
    m_last_received = m_loop->Now();
    m_traffic->received += static_cast<uint64_t>(size);
    const ssize_t used = nghttp2_session_mem_recv(m_session, buffer.data(),
                                                  static_cast<size_t>(size));
    if (used < 0) {
      CloseWithError(nghttp2_strerror(static_cast<int>(used)));
      return;
    }
    if (m_observer != nullptr) {
      m_observer->OnInputProcessed();
    }
    if (static_cast<size_t>(size) < buffer.size()) {
      return;
    }
  }
}

bool PeerSession::FillOutput() {
  if (m_output_offset < m_output.size()) {
    return true;
  }
  m_output.clear();
  m_output_offset = 0;
  while (m_output.size() < kMaxOutputBytes) {
    const uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(m_session, &data);
    if (size <= 0) {
      break;
    }
    m_output.append(reinterpret_cast<const char*>(data),
                    static_cast<size_t>(size));
  }
  return !m_output.empty();
}

void PeerSession::WriteOutput() {
  if (m_connecting) {
    return;
  }
  while (m_fd >= 0 && FillOutput()) {
    const ssize_t size = send(m_fd, m_output.data() + m_output_offset,
                              m_output.size() - m_output_offset, MSG_NOSIGNAL);
    if (size < 0 && errno == EAGAIN) {
      break;
    }
    if (size < 0 && errno != EINTR) {
      CloseWithError(std::strerror(errno));
      return;
    }
    if (size > 0) {
      m_output_offset += static_cast<size_t>(size);
      m_traffic->sent += static_cast<uint64_t>(size);
      m_last_sent = m_loop->Now();
    }
  }
  if (m_fd < 0) {
    return;
  }
  const bool blocked = m_output_offset < m_output.size();
  if (!blocked && nghttp2_session_want_read(m_session) == 0 &&
      nghttp2_session_want_write(m_session) == 0) {
    CloseWithError("HTTP/2 session ended");
    return;
  }
  if (blocked != m_watching_write) {
    WatchSocket(blocked);
  }
}

void PeerSession::ScheduleWrite() {
  if (m_write_posted) {
    return;
  }
  // Messages that are submitted in one turn of the event loop share a write.
  m_write_posted = true;
  m_loop->Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->m_write_posted = false;
      self->WriteOutput();
    }
  });
}

// --- Keep-alive -------------------------------------------------------------

void PeerSession::CheckKeepAlive() {
  const TimePoint now = m_loop->Now();
  const bool was_late =
      m_check_timer.is_valid() && now - m_next_check > kLateCheckThreshold;
  if (was_late) {
    m_last_received = now;
  }
  if (now - m_last_received >= kPeerSilenceTimeout) {
    CloseWithError("nothing received for " +
                   std::to_string(kPeerSilenceTimeout.count()) + " ms");
    return;
  }
  if (was_late || now - m_last_received >= m_ping_delay ||
      now - m_last_sent >= m_ping_delay) {
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    ScheduleWrite();
  }
  m_next_check = now + kPeerCheckInterval;
  m_check_timer =
      m_loop->Schedule(kPeerCheckInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->CheckKeepAlive();
        }
      });
}

int OpenPeerSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  return fd;
}

}  // namespace bramleybank
