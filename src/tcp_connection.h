// Non-blocking TCP connection on the event loop.
#ifndef BRAMLEYBANK_SRC_TCP_CONNECTION_H_
#define BRAMLEYBANK_SRC_TCP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bramleybank/handle.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;

/// Reason why a connection ended.
enum class TcpCloseReason : uint8_t {
  /// The peer closed its side in an orderly way.
  kClosed,
  /// The connection was reset, or a read or write failed.
  kBroken,
  /// The connection was never established.
  kNotConnected,
};

/// Callbacks of one connection. None is called after Close() or
/// FinishAndClose().
struct TcpCallbacks {
  std::function<void()> on_connected;
  std::function<void(std::string_view data)> on_data;
  /// Called at most once; the owner then calls Close().
  std::function<void(TcpCloseReason end)> on_end;
  /// Called when all written bytes have been handed to the operating system.
  std::function<void()> on_drained;
};

/// How a connection ends after FinishAndClose().
struct TcpLinger {
  /// Longest time until the connection is closed after the peer has received
  /// all output.
  Duration time{0};
  /// The connection is closed earlier if the peer receives less than
  /// `min_progress` bytes within this time.
  Duration stall_window{0};
  size_t min_progress = 1;
  /// Incoming bytes beyond this number are not read.
  size_t max_discarded = std::numeric_limits<size_t>::max();
  /// Incoming bytes were read and discarded.
  std::function<void(size_t bytes)> on_discarded;
  /// The connection has been closed before `unsent` bytes were handed to the
  /// operating system.
  std::function<void(size_t unsent)> on_closed;
};

/// @returns the bytes written to a socket that its peer has not acknowledged;
/// nothing if that is not known.
std::optional<size_t> UnacknowledgedBytes(int fd);

/// One TCP connection over IPv4. It stays alive while one of its callbacks
/// runs, even if the owner releases its pointer inside the callback.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  /// Takes ownership of an accepted descriptor.
  static std::shared_ptr<TcpConnection> Adopt(EventLoop* loop,
                                              int fd,
                                              TcpCallbacks callbacks);
  /// Starts to connect to `address` (ip:port). A failure is reported through
  /// on_end in a later iteration of the loop.
  static std::shared_ptr<TcpConnection> Connect(EventLoop* loop,
                                                const std::string& address,
                                                Duration timeout,
                                                TcpCallbacks callbacks);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  /// Sends bytes; those that the operating system does not accept yet are
  /// queued.
  void Write(std::string_view bytes);
  /// Sends the queued bytes, however slowly the peer reads, then shuts down the
  /// sending side. Incoming bytes are discarded until the peer closes or
  /// `linger` ends the connection. Closing with unread bytes would reset the
  /// connection, possibly before the peer has read the last response.
  void FinishAndClose(TcpLinger linger);
  /// Closes the connection immediately and discards unsent bytes.
  void Close();

  /// Delivers the bytes that have arrived but have not been read yet, unless
  /// reading is disabled.
  void ReadNow();
  /// Enables or disables reading, for flow control.
  void SetReading(bool reading);

  size_t unsent_bytes() const { return m_output.size() - m_sent_offset; }
  /// Memory for unsent bytes, including spare capacity.
  size_t held_bytes() const { return m_output.capacity(); }
  /// Bytes handed to the operating system. While this is 0 the peer cannot have
  /// received anything.
  uint64_t sent_bytes() const { return m_total_sent; }
  /// Bytes that the peer's operating system has received, or those handed to
  /// this one if that is not known. After the end of the connection: until
  /// then.
  uint64_t delivered_bytes() const;
  /// Whether the peer's operating system has yet to receive output.
  bool has_undelivered_output() const {
    return unsent_bytes() > 0 || delivered_bytes() < sent_bytes();
  }
  bool is_open() const { return m_fd >= 0; }

 private:
  enum class Phase : uint8_t { kConnecting, kOpen, kLingering, kClosed };

  TcpConnection(EventLoop* loop, int fd, TcpCallbacks callbacks);

  void OnReady(bool readable, bool writable);
  void OnConnectReady();
  void OnConnectTimeout();
  void ReadAvailable();
  void Flush();
  /// Sends directly as much as the operating system accepts.
  /// @returns the rest.
  std::string_view SendDirectly(std::string_view bytes);
  void Discard(size_t bytes);
  void UpdateWatch();
  void End(TcpCloseReason end);
  void PostEnd(TcpCloseReason end);
  void ShutDownWriteIfDrained();
  void ScheduleLingerCheck();
  void CheckLinger();

  EventLoop* m_loop;
  int m_fd;
  Phase m_phase = Phase::kOpen;
  bool m_reading = true;
  // Events that the event loop currently watches.
  bool m_watch_read = false;
  bool m_watch_write = false;
  bool m_write_shut_down = false;
  TcpCallbacks m_callbacks;
  // Set by FinishAndClose().
  TcpLinger m_linger;
  // delivered_bytes() when it was last seen to have grown by the minimum, and
  // the time for which this process has run since then.
  uint64_t m_progress_mark = 0;
  Duration m_stalled_for{0};
  bool m_had_output = false;
  size_t m_discarded = 0;
  // Bytes from m_sent_offset on have not been sent yet.
  std::string m_output;
  size_t m_sent_offset = 0;
  uint64_t m_total_sent = 0;
  // Set when the descriptor is closed.
  uint64_t m_delivered_at_end = 0;
  // Connect timeout while connecting, linger timeout after FinishAndClose().
  TimerHandle m_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_TCP_CONNECTION_H_
