// Private to peer_client and peer_server: one HTTP/2 connection over TCP,
// driven by nghttp2 and the event loop.
#ifndef BRAMLEYBANK_SRC_PEER_SESSION_P_H_
#define BRAMLEYBANK_SRC_PEER_SESSION_P_H_

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "bramleybank/handle.h"
#include "event_loop.h"
#include "hooks.h"

namespace bramleybank {

/// Events of a connection. All except OnInputProcessed and OnLost are called
/// from within nghttp2, where the connection must not be closed.
class PeerSessionObserver {
 public:
  virtual ~PeerSessionObserver() = default;

  virtual void OnHeader(int32_t stream,
                        std::string_view name,
                        std::string_view value) = 0;
  virtual void OnData(int32_t stream, std::string_view data) = 0;
  /// The peer has sent its whole message.
  virtual void OnMessageEnd(int32_t stream) = 0;
  /// @param error HTTP/2 error code; 0 for a normal close.
  virtual void OnStreamClosed(int32_t stream, uint32_t error) = 0;
  /// The peer accepts no further streams.
  virtual void OnGoAway() = 0;
  /// A block of input has been processed.
  virtual void OnInputProcessed() = 0;
  /// The connection was lost. No event follows.
  virtual void OnLost(const std::string& reason) = 0;
};

/// Bytes sent and received, without TCP headers.
struct PeerTraffic {
  uint64_t sent = 0;
  uint64_t received = 0;

  friend bool operator==(const PeerTraffic&, const PeerTraffic&) = default;
};

enum class PeerRole { kClient, kServer };

/// One connection. It is lost when the socket fails, the peer violates the
/// protocol, or nothing arrives for kPeerSilenceTimeout although a PING was
/// sent.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  /// @param fd non-blocking socket; the session takes ownership.
  /// @param observer outlives the session or calls Close().
  /// @param traffic totals that the session increases; outlives the session.
  PeerSession(EventLoop* loop,
              int fd,
              PeerRole role,
              PeerSessionObserver* observer,
              PeerTraffic* traffic);
  ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  /// Starts serving the socket.
  /// @param connecting connect() is in progress; kConnectTimeout applies.
  void Start(bool connecting);
  /// Closes the connection. No event follows.
  void Close();

  /// Moves from `body` on success.
  /// @returns the stream id, or nothing when no stream can be opened.
  std::optional<int32_t> SubmitRequest(const std::string& authority,
                                       const std::string& path,
                                       std::string& body);
  void SubmitResponse(int32_t stream, int status, std::string body);
  /// Resets a stream and drops its unsent body.
  void ResetStream(int32_t stream, uint32_t error);

  /// Body bytes that nghttp2 has not yet turned into frames.
  size_t unsent_bytes() const { return m_unsent_bytes; }
  /// For tests of exhausted stream ids.
  void SetNextStream(int32_t stream);

 private:
  struct OutgoingBody {
    std::string body;
    size_t offset = 0;
  };

  void CreateNghttp2Session(PeerRole role);
  static ssize_t ReadBody(nghttp2_session* session,
                          int32_t stream,
                          uint8_t* buffer,
                          size_t length,
                          uint32_t* flags,
                          nghttp2_data_source* source,
                          void* user_data);
  nghttp2_data_provider MakeBodyProvider();
  void DropBody(int32_t stream);
  void OnReady(IoReady ready);
  bool FinishConnect();
  void ReadInput();
  void WriteOutput();
  /// @returns whether there is anything to send.
  bool FillOutput();
  void ScheduleWrite();
  void WatchSocket(bool write);
  void CheckKeepAlive();
  void CloseWithError(const std::string& reason);

  EventLoop* m_loop;
  // -1 once closed.
  int m_fd;
  PeerSessionObserver* m_observer;
  PeerTraffic* m_traffic;
  nghttp2_session* m_session = nullptr;
  Duration m_ping_delay;
  bool m_connecting = false;
  bool m_write_posted = false;
  bool m_watching_write = false;
  // Bytes from nghttp2; those from m_output_offset on are not yet sent.
  std::string m_output;
  size_t m_output_offset = 0;
  std::unordered_map<int32_t, OutgoingBody> m_bodies;
  // Sum of the unsent parts of m_bodies.
  size_t m_unsent_bytes = 0;
  TimerHandle m_connect_timer;
  TimerHandle m_check_timer;
  TimePoint m_next_check;
  TimePoint m_last_received;
  TimePoint m_last_sent;
};

/// @returns a non-blocking TCP socket with TCP_NODELAY, or -1.
int OpenPeerSocket();

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PEER_SESSION_P_H_
