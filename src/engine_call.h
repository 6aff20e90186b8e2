// One request to an engine about itself, and its reply.
#ifndef BRAMLEYBANK_SRC_ENGINE_CALL_H_
#define BRAMLEYBANK_SRC_ENGINE_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bramleybank/handle.h"
#include "gateway_attempt.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;

/// What an engine has answered.
struct EngineReply {
  AttemptEnd end = AttemptEnd::kBroken;
  /// HTTP status; 0 if no head has arrived.
  int status = 0;
  std::string body;
  /// The engine accepted the connection and ended it before `end`.
  bool was_closed_by_engine = false;

  bool is_complete() const { return end == AttemptEnd::kComplete; }

  friend bool operator==(const EngineReply&, const EngineReply&) = default;
};

/// Sends a request and collects the reply. A reply that takes longer than
/// `timeout` or is larger than kMaxEngineReplyBytes counts as broken.
class EngineCall {
 public:
  /// Called once, unless the call is destroyed before. It may destroy the call.
  using Callback = std::function<void(const EngineReply& reply)>;

  /// @param message the complete request.
  EngineCall(EventLoop* loop,
             const std::string& address,
             std::string message,
             Duration timeout,
             Callback callback);
  ~EngineCall();
  EngineCall(const EngineCall&) = delete;
  EngineCall& operator=(const EngineCall&) = delete;

 private:
  void OnBody(std::string_view data);
  void Finish(AttemptEnd end);
  void Cancel();

  EventLoop* m_loop;
  Callback m_callback;
  EngineReply m_reply;
  std::unique_ptr<GatewayAttempt> m_attempt;
  TimerHandle m_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENGINE_CALL_H_
