// HTTP side of one call that may run more than once or that is not tracked.
#ifndef BRAMLEYBANK_SRC_CALL_FORWARD_P_H_
#define BRAMLEYBANK_SRC_CALL_FORWARD_P_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bramleybank/handle.h"
#include "bramleybank/result_code.h"
#include "call_context_p.h"

namespace bramleybank {

class HttpResponder;

/// Forwards one request, with retries on other endpoints as long as nothing of
/// an answer has been passed on. An answer of known small length is buffered,
/// so that a truncated one can be retried; others stream through.
class CallForward : public std::enable_shared_from_this<CallForward> {
 public:
  CallForward(CallContext* context,
              uint64_t id,
              const HttpRequest& request,
              CallRoute route,
              std::shared_ptr<HttpResponder> responder);
  ~CallForward();
  CallForward(const CallForward&) = delete;
  CallForward& operator=(const CallForward&) = delete;

  void Start();

 private:
  void Try(const std::string& endpoint);
  void OnHeaders(int status, const HttpHeaders& headers);
  void OnData(std::string_view data);
  void OnDone(const HttpOutcome& outcome);
  /// @param may_have_run whether a byte of the request was sent.
  /// @param may_retry whether the caller's patience allows another try.
  void OnFailed(bool may_have_run, bool may_retry);
  void Report(bool answered) const;
  void Refuse(ResultCode code);
  /// Restarts the limit on the time without a byte from the endpoint.
  void RestartIdleTimer();
  void OnDrained();
  void Close();

  CallContext* m_context;
  uint64_t m_id;
  HttpRequest m_request;
  CallRoute m_route;
  std::shared_ptr<HttpResponder> m_responder;
  TransferHandle m_transfer;
  TimerHandle m_idle_timer;
  std::string m_endpoint;
  // Endpoints tried so far.
  std::vector<std::string> m_tried;
  // A byte of the request has been sent to some endpoint.
  bool m_may_have_run = false;
  // The answer has been started towards the caller.
  bool m_streaming = false;
  bool m_paused = false;
  int m_status = 0;
  HttpHeaders m_headers;
  // Answer that is buffered.
  std::string m_body;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_FORWARD_P_H_
