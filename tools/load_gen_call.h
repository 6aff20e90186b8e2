// Client side of one plain-service call: a lookup, or a non-idempotent booking
// with a unique key.
#ifndef BRAMLEYBANK_TOOLS_LOAD_GEN_CALL_H_
#define BRAMLEYBANK_TOOLS_LOAD_GEN_CALL_H_

#include <functional>
#include <string>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "load_gen_plan.h"
#include "load_gen_retry.h"

namespace bramleybank {

struct HttpOutcome;
struct LoadContext;

/// One call. A call that gets no answer is retried with the same key at the
/// next address.
class LoadCall {
 public:
  /// @param on_end called once, after which the object may be destroyed.
  LoadCall(const LoadContext* context,
           PlannedRequest request,
           TimePoint intended,
           std::function<void()> on_end);
  ~LoadCall();
  LoadCall(const LoadCall&) = delete;
  LoadCall& operator=(const LoadCall&) = delete;

  void Start();

 private:
  void Send();
  void OnDone(const HttpOutcome& outcome);
  void OnAnswer(const HttpOutcome& outcome);
  void OnRefusal(const HttpOutcome& outcome);
  void ScheduleRetry();
  void End(const std::string& result);
  std::string StatName(const std::string& name) const;

  const LoadContext* m_context;
  PlannedRequest m_request;
  TimePoint m_intended;
  std::function<void()> m_on_end;
  std::string m_target;
  TransferHandle m_transfer;
  TimerHandle m_retry_timer;
  RetryBackoff m_backoff;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_LOAD_GEN_CALL_H_
