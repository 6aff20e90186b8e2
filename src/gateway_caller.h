// One connection of a caller: reads requests one after the other and writes
// their answers.
#ifndef BRAMLEYBANK_SRC_GATEWAY_CALLER_H_
#define BRAMLEYBANK_SRC_GATEWAY_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "bramleybank/handle.h"
#include "bramleybank/result_code.h"
#include "gateway_config.h"
#include "gateway_request.h"
#include "gateway_settings.h"
#include "hooks.h"
#include "http1_parser.h"
#include "http_types.h"
#include "memory_account.h"

namespace bramleybank {

class EventLoop;
class GatewayCaller;
class TcpConnection;

/// Why the connection of a caller was closed.
enum class CallerCloseReason : uint8_t {
  /// No request arrived within the idle timeout.
  kIdle,
  /// The gateway stops and no request was open.
  kStopping,
  /// The answer to the last request has been sent.
  kLastAnswer,
  /// By the caller.
  kByCaller,
  /// In the middle of an answer that cannot be completed.
  kAborted,
  /// The caller does not read its answer.
  kStalled,
  /// Its memory is needed for others.
  kMemory,
};
const char* NameOf(CallerCloseReason reason);

/// Hooks shared by all caller connections.
struct GatewayCallerHooks {
  /// A complete request has been read. It is answered with Answer() or the
  /// stream methods.
  std::function<void(const std::shared_ptr<GatewayCaller>& caller,
                     GatewayRequest request)>
      on_request;
  /// The connection has been closed and the caller has its last answer, or was
  /// cut off.
  std::function<void(GatewayCaller* caller, CallerCloseReason reason)>
      on_closed;
  /// Bytes that arrived on a closing connection were dropped.
  std::function<void(size_t bytes)> on_input_dropped;
  /// @returns the limits of the current configuration.
  std::function<CallerLimits()> limits;
  /// A request was refused before it was complete.
  std::function<void(ResultCode code)> on_refused;
  /// Whether answers state that their connection closes.
  std::function<bool()> is_draining;
  /// Budget for what connections hold; null for no limit.
  MemoryBudget* memory = nullptr;
  MemorySettings memory_limits;
};

/// A caller's connection. Answers are sent in the order of the requests,
/// because the next request is read only after the answer to the last one.
class GatewayCaller : public std::enable_shared_from_this<GatewayCaller> {
 public:
  GatewayCaller(EventLoop* loop, const GatewayCallerHooks* hooks);
  ~GatewayCaller();
  GatewayCaller(const GatewayCaller&) = delete;
  GatewayCaller& operator=(const GatewayCaller&) = delete;

  /// Takes ownership of an accepted socket.
  void Start(int fd);

  /// Sends a complete answer. Content-Length is added here.
  /// @param body in parts.
  void Answer(int status,
              const HttpHeaders& headers,
              std::span<const std::string> body);
  /// Answers with an error of the gateway itself.
  /// @param retry_after value of Retry-After; zero sends no such header.
  void Refuse(ResultCode code, Duration retry_after);

  /// Sends an answer of unknown length as chunks.
  void StartStream(int status, const HttpHeaders& headers);
  void WriteStream(std::string_view bytes);
  void FinishStream();
  /// Closes the connection in the middle of an answer.
  void Abort();

  /// Called once when the caller disconnects before its answer is complete.
  void SetDisconnectHandler(std::function<void()> handler);
  /// Called when all buffered output has been sent.
  void SetDrainedHandler(std::function<void()> handler);
  size_t backlog_bytes() const;

  /// Closes the connection unless a request has arrived on it that is not
  /// answered yet, in the socket or in part included. A request that arrives
  /// later is not read, so that its caller sees a reset.
  void CloseIfIdle(CallerCloseReason reason);
  /// Whether the connection has just been accepted and its first request may be
  /// on the way.
  bool AwaitsFirstRequest() const;
  bool is_busy() const { return m_is_busy; }
  /// Whether bytes of a further request are about to be parsed.
  bool HasNextRequest() const;
  /// Whether the connection has been idle for so long that it may be closed to
  /// make room for another one.
  bool IsReplaceable() const;

 private:
  /// What is known of the current request and its answer.
  struct RequestState {
    bool has_head = false;
    bool is_head_request = false;
    bool keep_alive = true;
    // Whether the answer ends with its head.
    bool omits_body = false;
    // Whether the head of the answer states that the connection closes.
    bool states_close = false;
  };

  void OnData(std::string_view data);
  void OnDrained();
  /// Asks for the memory for a block of input that may contain many headers.
  /// @returns false after the connection has been closed for lack of it.
  bool ReserveForParsing(std::string_view data);
  /// Allocates memory for the body. If the budget does not grant it, allocates
  /// what the body needs now and stops reading.
  void GrowBody(size_t bytes);
  size_t HeldBytes() const;
  void RecordMemory() { m_account.Record(HeldBytes()); }
  void RefreshMemory();
  void OnMemoryGranted();
  void EndMemoryWait();
  /// Releases the memory of this connection for others.
  void OnEvicted();
  /// Reads unless bytes that have arrived must be processed first.
  void UpdateReading();
  /// Starts the next request, which may be buffered already, unless too much of
  /// the last answers is unread.
  void ReadNextRequest();
  bool IsTooSlow() const;
  void OnHead(Http1Head head);
  void OnBody(std::string_view data);
  void OnRequestComplete();
  void CheckFault();
  /// Sets the limits for the next request.
  void ApplyLimits();
  void RefuseAndClose(int status,
                      ResultCode code,
                      Duration retry_after = Duration{0});
  void AnswerRefusal(int status, ResultCode code, Duration retry_after);
  void FinishAnswer();
  void ArmTimer();
  void OnTimer();
  bool IsIdle() const;
  /// Whether the caller's VM has not received all answers yet. A close could
  /// then destroy an answer, if the caller has sent a further request.
  bool HasUndeliveredOutput() const;
  /// Closes the connection if its caller has hardly read since the last call.
  void CloseIfStalled();
  void CloseNow(CallerCloseReason reason);
  /// Closes the connection after the buffered output has been sent.
  void CloseGracefully(CallerCloseReason reason);
  std::string RenderHead(int status, const HttpHeaders& headers);

  EventLoop* m_loop;
  const GatewayCallerHooks* m_hooks;
  std::shared_ptr<TcpConnection> m_connection;
  Http1Parser m_parser;
  CallerLimits m_limits;
  GatewayRequest m_request;
  // Size that the body is expected to have; the limit if it is not stated.
  size_t m_expected_body = 0;
  // Memory of the headers of the current request, and of a request that has
  // been passed on.
  size_t m_header_memory = 0;
  size_t m_passed_on_memory = 0;
  // Reading has stopped until the budget grants memory.
  bool m_waits_for_memory = false;
  TimePoint m_wait_start;
  // The next request is not parsed until the caller has read more.
  bool m_waits_for_drain = false;
  // Start of the current message, without the time in which reading was
  // stopped, and the bytes of it.
  TimePoint m_pace_start;
  uint64_t m_message_bytes = 0;
  // The same when the budget was last told of progress.
  uint64_t m_progress_mark = 0;
  std::function<void()> m_on_disconnect;
  std::function<void()> m_on_drained;
  // The last time at which bytes arrived, an answer ended or the caller was
  // seen to read it.
  TimePoint m_last_activity;
  TimePoint m_message_start;
  // Bytes that the caller had received at the last check for a stall.
  uint64_t m_delivered_mark = 0;
  // The same at the last check of the budget.
  uint64_t m_memory_mark = 0;
  TimerHandle m_timer;
  TimePoint m_accepted_at;
  bool m_has_input = false;
  // A request is complete and its answer is not.
  bool m_is_busy = false;
  // Invariant: replaced as a whole when an answer ends, so that nothing of a
  // request acts on the next one.
  RequestState m_state;
  bool m_closed = false;
  MemoryAccount m_account;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_CALLER_H_
