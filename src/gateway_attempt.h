// One exchange with an endpoint over a connection of its own.
#ifndef BRAMLEYBANK_SRC_GATEWAY_ATTEMPT_H_
#define BRAMLEYBANK_SRC_GATEWAY_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "hooks.h"
#include "http1_parser.h"

namespace bramleybank {

class EventLoop;
class TcpConnection;
enum class TcpEnd : uint8_t;

/// How an exchange ended.
enum class AttemptEnd : uint8_t {
  /// The answer is whole.
  kComplete,
  /// No byte of the request left this VM.
  kNotSent,
  /// The request may have arrived, and the answer is not whole.
  kBroken,
};

/// Callbacks of one exchange. None is called after Cancel().
struct AttemptCallbacks {
  std::function<void(const Http1Head& head)> on_head;
  std::function<void(std::string_view data)> on_body;
  /// Called once, in a turn of the loop of its own.
  std::function<void(AttemptEnd end)> on_end;
};

/// Each exchange has a fresh connection that is closed after it. A kept
/// connection may be dead without notice, and then nobody can tell whether a
/// request that was sent on it has run; a late second answer on it could be
/// taken for the next one.
class GatewayAttempt {
 public:
  /// @param message the whole request.
  GatewayAttempt(EventLoop* loop,
                 const std::string& address,
                 std::string message,
                 bool is_head_request,
                 AttemptCallbacks callbacks);
  ~GatewayAttempt();
  GatewayAttempt(const GatewayAttempt&) = delete;
  GatewayAttempt& operator=(const GatewayAttempt&) = delete;

  /// Closes the connection, which makes the endpoint drop the request.
  void Cancel();
  /// Stops and restarts reading, for flow control.
  void SetReading(bool reading);
  /// Whether the endpoint may have got any of the request.
  bool was_sent() const;

 private:
  void OnData(std::string_view data);
  void OnTcpEnd(TcpEnd end);
  void EndSoon(AttemptEnd end);
  void CloseConnection();

  EventLoop* m_loop;
  const std::string m_message;
  AttemptCallbacks m_callbacks;
  Http1Parser m_parser;
  std::shared_ptr<TcpConnection> m_connection;
  // The end has been or will be reported.
  bool m_ended = false;
  bool m_is_cancelled = false;
  bool m_was_sent = false;
  // Posted callbacks find it expired once the attempt is gone.
  std::shared_ptr<GatewayAttempt*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_ATTEMPT_H_
