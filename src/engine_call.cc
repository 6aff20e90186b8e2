// An attempt with bounds on the time and the size of its reply.
#include "engine_call.h"

#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"

namespace bramleybank {

EngineCall::EngineCall(EventLoop* loop,
                       const std::string& address,
                       std::string message,
                       Duration timeout,
                       Callback callback)
    : m_loop(loop), m_callback(std::move(callback)) {
  m_attempt = std::make_unique<GatewayAttempt>(
      loop, address, std::move(message), /*is_head_request=*/false,
      AttemptCallbacks{
          .on_head =
              [this](const Http1Head& head) { m_reply.status = head.status; },
          .on_body = [this](std::string_view data) { OnBody(data); },
          .on_end =
              [this](AttemptEnd end) {
                m_reply.was_closed_by_engine =
                    m_attempt->was_closed_by_endpoint();
                Finish(end);
              }});
  m_timer = loop->Schedule(timeout, [this] { Finish(AttemptEnd::kBroken); });
}

EngineCall::~EngineCall() {
  Cancel();
}

void EngineCall::Cancel() {
  m_loop->Cancel(std::exchange(m_timer, TimerHandle()));
  if (!m_attempt) {
    return;
  }
  m_attempt->Cancel();
  // This may run inside a callback of the attempt, so the attempt is freed in a
  // later turn of the loop.
  m_loop->Post(
      [attempt = std::shared_ptr<GatewayAttempt>(std::move(m_attempt))] {});
}

void EngineCall::OnBody(std::string_view data) {
  if (m_reply.body.size() + data.size() > kMaxEngineReplyBytes) {
    Finish(AttemptEnd::kBroken);
    return;
  }
  m_reply.body.append(data);
}

void EngineCall::Finish(AttemptEnd end) {
  Cancel();
  m_reply.end = end;
  const Callback callback = std::move(m_callback);
  const EngineReply reply = std::move(m_reply);
  callback(reply);
}

}  // namespace bramleybank
