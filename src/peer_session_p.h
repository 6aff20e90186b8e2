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

/// Events of a connection. All but OnInputProcessed and OnLost come from
/// inside nghttp2, where the connection must not be closed.
class PeerSessionObserver {
 public:
  virtual ~PeerSessionObserver() = default;

  virtual void OnHeader(int32_t stream,
                        std::string_view name,
                        std::string_view value) = 0;
  virtual void OnData(int32_t stream, std::string_view data) = 0;
  /// The other side has sent its whole message.
  virtual void OnMessageEnd(int32_t stream) = 0;
  /// @param error HTTP/2 error code; 0 for an ordinary end.
  virtual void OnStreamClosed(int32_t stream, uint32_t error) = 0;
  /// The other side takes no further streams.
  virtual void OnGoAway() = 0;
  /// A block of input has been processed.
  virtual void OnInputProcessed() = 0;
  /// The connection is gone. No event follows.
  virtual void OnLost(const std::string& reason) = 0;
};

/// Bytes on the wire, above TCP.
struct PeerTraffic {
  uint64_t sent = 0;
  uint64_t received = 0;

  friend bool operator==(const PeerTraffic&, const PeerTraffic&) = default;
};

enum class PeerRole { kClient, kServer };

/// One connection. It is lost when the socket fails, the other side breaks the
/// protocol, or nothing arrives for kPeerSilenceTimeout in spite of a PING.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  /// @param fd non-blocking socket, owned from now on.
  /// @param observer outlives the session or calls Close().
  /// @param traffic totals to be increased; outlives the session.
  PeerSession(EventLoop* loop,
              int fd,
              PeerRole role,
              PeerSessionObserver* observer,
              PeerTraffic* traffic);
  ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  /// Starts serving the socket.
  /// @param connecting connect() is under way; kConnectTimeout applies.
  void Start(bool connecting);
  /// Closes the connection without a further event.
  void Close();

  /// Moves from `body` on success.
  /// @returns the stream, or nothing when the connection takes no more.
  std::optional<int32_t> SubmitRequest(const std::string& authority,
                                       const std::string& path,
                                       std::string& body);
  void SubmitResponse(int32_t stream, int status, std::string body);
  /// Ends a stream; its unsent body is dropped.
  void ResetStream(int32_t stream, uint32_t error);

  /// Bytes of bodies that are not yet handed to the operating system.
  size_t unsent_bytes() const { return m_unsent_bytes; }
  /// For tests of the end of the stream numbers.
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
  // Bytes from nghttp2 that the socket has not taken, from m_output_offset on.
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

/// @returns a non-blocking TCP socket without Nagle's delay, or -1.
int OpenPeerSocket();

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PEER_SESSION_P_H_
