// One HTTP exchange with an endpoint over its own connection.
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
enum class TcpCloseReason : uint8_t;

/// How an exchange ended.
enum class AttemptEnd : uint8_t {
  /// The answer is complete.
  kComplete,
  /// No byte of the request has left this VM.
  kNotSent,
  /// The request may have arrived, and the answer is incomplete.
  kBroken,
};

/// Callbacks of one exchange. None is called after Cancel().
struct AttemptCallbacks {
  std::function<void(const Http1Head& head)> on_head;
  std::function<void(std::string_view data)> on_body;
  /// Called once, from a separate event loop task.
  std::function<void(AttemptEnd end)> on_end;
};

/// Sends one request over a fresh connection that is closed afterwards. A
/// pooled connection may be dead without notice, and then it is unknown whether
/// a request sent on it has run. A late second answer on a pooled connection
/// could also be taken for the answer to the next request.
class GatewayAttempt {
 public:
  /// @param message the complete request.
  GatewayAttempt(EventLoop* loop,
                 const std::string& address,
                 std::string message,
                 bool is_head_request,
                 AttemptCallbacks callbacks);
  ~GatewayAttempt();
  GatewayAttempt(const GatewayAttempt&) = delete;
  GatewayAttempt& operator=(const GatewayAttempt&) = delete;

  /// Closes the connection, which makes the endpoint cancel the request.
  void Cancel();
  /// Pauses and resumes reading, for flow control.
  void SetReading(bool reading);
  /// Whether the endpoint may have received any byte of the request.
  bool was_sent() const;
  /// Whether the endpoint accepted the connection and then closed or reset it.
  bool was_closed_by_endpoint() const { return m_was_closed_by_endpoint; }

 private:
  void OnData(std::string_view data);
  void OnTcpEnd(TcpCloseReason end);
  /// Whether the endpoint's operating system has received the whole request. An
  /// endpoint that closes before may have broken off its answer.
  bool WasReceived() const;
  void PostEnd(AttemptEnd end);
  void CloseConnection();

  EventLoop* m_loop;
  // Empty once it has been passed to the connection.
  std::string m_message;
  AttemptCallbacks m_callbacks;
  Http1Parser m_parser;
  std::shared_ptr<TcpConnection> m_connection;
  // The end has been reported or its report is posted.
  bool m_ended = false;
  bool m_is_cancelled = false;
  bool m_was_sent = false;
  bool m_is_connected = false;
  bool m_was_closed_by_endpoint = false;
  // Posted callbacks hold a weak reference, which expires with this object.
  std::shared_ptr<GatewayAttempt*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_ATTEMPT_H_
