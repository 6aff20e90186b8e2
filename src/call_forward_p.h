// HTTP side of one call that is not tracked in the table, so that it may run
// more than once.
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

/// Forwards one request. It is retried on other endpoints as long as no part of
/// an answer has been sent to the caller. An answer whose length is known and
/// small is buffered, so that a truncated one can be retried; any other answer
/// is streamed to the caller.
class CallForward : public std::enable_shared_from_this<CallForward> {
 public:
  CallForward(CallContext* context,
              uint64_t id,
              const HttpRequest& request,
              CallParameters parameters,
              std::shared_ptr<HttpResponder> responder);
  ~CallForward();
  CallForward(const CallForward&) = delete;
  CallForward& operator=(const CallForward&) = delete;

  void Start();

 private:
  void StartAttempt(const std::string& endpoint);
  void OnHeaders(int status, const HttpHeaders& headers);
  void OnData(std::string_view data);
  void OnDone(const HttpOutcome& outcome);
  /// @param may_have_run whether any byte of the request was sent.
  /// @param may_retry false once the idle timeout has expired, which leaves the
  /// caller no time for another attempt.
  void OnFailed(bool may_have_run, bool may_retry);
  void ReportEndpointResult(bool answered) const;
  void Refuse(ResultCode code);
  /// Restarts the timeout for the next byte from the endpoint.
  void RestartIdleTimer();
  void OnDrained();
  void Close();

  CallContext* m_context;
  uint64_t m_id;
  HttpRequest m_request;
  CallParameters m_parameters;
  std::shared_ptr<HttpResponder> m_responder;
  TransferHandle m_transfer;
  TimerHandle m_idle_timer;
  std::string m_endpoint;
  // Addresses of the endpoints tried so far.
  std::vector<std::string> m_tried_endpoints;
  // At least one byte of the request was sent to some endpoint.
  bool m_may_have_run = false;
  // The answer is being streamed to the caller.
  bool m_streaming = false;
  bool m_paused = false;
  int m_status = 0;
  HttpHeaders m_headers;
  // Body of a buffered answer.
  std::string m_body;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_FORWARD_P_H_
