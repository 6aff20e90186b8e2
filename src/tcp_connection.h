// A non-blocking TCP connection on the event loop.
#ifndef BRAMLEYBANK_SRC_TCP_CONNECTION_H_
#define BRAMLEYBANK_SRC_TCP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bramleybank/handle.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;

/// How a connection ended.
enum class TcpCloseReason : uint8_t {
  /// The peer closed its side in order.
  kClosed,
  /// The connection was reset, or a read or write failed.
  kBroken,
  /// The connection was never established.
  kNotConnected,
};

/// Callbacks of one connection. None is called after Close().
struct TcpCallbacks {
  std::function<void()> on_connected;
  std::function<void(std::string_view data)> on_data;
  /// Called at most once; the owner then calls Close().
  std::function<void(TcpCloseReason end)> on_end;
  /// Called when everything written has been handed to the operating system.
  std::function<void()> on_drained;
};

/// One TCP connection over IPv4. It stays alive while its own callbacks run,
/// also when the owner drops its pointer inside one.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  /// Takes over an accepted descriptor.
  static std::shared_ptr<TcpConnection> Adopt(EventLoop* loop,
                                              int fd,
                                              TcpCallbacks callbacks);
  /// Starts to connect to `address` (ip:port). A failure is reported through
  /// on_end in a later turn of the loop.
  static std::shared_ptr<TcpConnection> Connect(EventLoop* loop,
                                                const std::string& address,
                                                Duration timeout,
                                                TcpCallbacks callbacks);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  /// Sends bytes, or queues them until the peer reads.
  void Write(std::string_view bytes);
  /// Sends nothing more. Bytes that arrive are discarded until the peer closes
  /// or `linger` has passed, so that a close with unread bytes does not reset
  /// the connection before the peer has read the last answer.
  void FinishAndClose(Duration linger);
  /// Ends the connection now; unsent bytes are dropped.
  void Close();

  /// Stops and restarts reading, for flow control.
  void SetReading(bool reading);

  size_t unsent_bytes() const { return m_output.size() - m_sent; }
  /// Bytes handed to the operating system. While it is 0 the peer cannot have
  /// seen anything.
  uint64_t sent_bytes() const { return m_total_sent; }
  bool is_open() const { return m_fd >= 0; }

 private:
  enum class Phase : uint8_t { kConnecting, kOpen, kLingering, kClosed };

  TcpConnection(EventLoop* loop, int fd, TcpCallbacks callbacks);

  void OnReady(bool readable, bool writable);
  void OnConnectReady();
  void ReadAvailable();
  void Flush();
  void UpdateWatch();
  void End(TcpCloseReason end);
  void EndSoon(TcpCloseReason end);
  void ShutDownWhenDrained();

  EventLoop* m_loop;
  int m_fd;
  Phase m_phase = Phase::kOpen;
  bool m_reading = true;
  // What the event loop watches now.
  bool m_watch_read = false;
  bool m_watch_write = false;
  bool m_shut_down = false;
  TcpCallbacks m_callbacks;
  // Bytes not yet sent start at m_sent.
  std::string m_output;
  size_t m_sent = 0;
  uint64_t m_total_sent = 0;
  // Connect timeout, then linger timeout.
  TimerHandle m_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_TCP_CONNECTION_H_
