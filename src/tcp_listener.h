// TCP listener on the event loop.
#ifndef BRAMLEYBANK_SRC_TCP_LISTENER_H_
#define BRAMLEYBANK_SRC_TCP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "bramleybank/result_code.h"

namespace bramleybank {

class EventLoop;

/// One listening socket.
class TcpListener {
 public:
  using AcceptHandler = std::function<void(int fd)>;

  explicit TcpListener(EventLoop* loop);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// @param address ip:port; port 0 selects a free port.
  /// @returns the port, or std::nullopt with last_reason() set.
  std::optional<uint16_t> Start(const std::string& address,
                                AcceptHandler handler);
  /// Stops accepting and closes the socket. Connections in the accept queue are
  /// reset.
  void Stop();

  /// Accepts all connections in the accept queue.
  void AcceptPending();
  /// @returns the number of connections in the accept queue.
  size_t pending_connections() const;

  const Reason& last_reason() const { return m_last_reason; }

 private:
  void Accept(int max_connections);

  EventLoop* m_loop;
  int m_fd = -1;
  AcceptHandler m_handler;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_TCP_LISTENER_H_
