// HTTP side of one non-idempotent call: carries out the actions of its
// CallMachine.
#ifndef BRAMLEYBANK_SRC_CALL_EXECUTION_P_H_
#define BRAMLEYBANK_SRC_CALL_EXECUTION_P_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "bramleybank/handle.h"
#include "call_context_p.h"
#include "call_machine.h"

namespace bramleybank {

class HttpResponder;

/// One call in execution. It is removed through CallContext::close_call once
/// its machine has settled.
class CallExecution : public std::enable_shared_from_this<CallExecution> {
 public:
  CallExecution(CallContext* context,
                uint64_t id,
                const HttpRequest& request,
                CallParameters parameters,
                std::shared_ptr<HttpResponder> responder);
  ~CallExecution();
  CallExecution(const CallExecution&) = delete;
  CallExecution& operator=(const CallExecution&) = delete;

  void Start();

 private:
  static constexpr size_t kTimerCount = 3;

  CallMachineOptions MakeOptions() const;
  void Execute(const CallMachine::Actions& actions);
  void Perform(const CallAction& action);
  void WriteRow(const CallAction& action);
  void ReadRow();
  void PutObject(const CallAction& action);
  void GetObject(const CallAction& action);
  void Schedule(const CallAction& action);
  void Dispatch(const std::string& endpoint);
  void OnData(std::string_view data);
  void OnDone(const std::string& endpoint, const HttpOutcome& outcome);
  void Answer(const CallAction& action);
  void Refuse(const HttpRefusal& refusal);
  void Close();
  void ReportStep(CallStep step) const;

  CallContext* m_context;
  uint64_t m_id;
  HttpRequest m_request;
  CallParameters m_parameters;
  std::string m_row_key;
  std::shared_ptr<HttpResponder> m_responder;
  CallMachine m_machine;
  std::array<TimerHandle, kTimerCount> m_timers;
  TransferHandle m_transfer;
  // Body of the endpoint's answer, as far as it has arrived.
  std::string m_body;
  // The call was closed. Inputs may still arrive in the same turn of the event
  // loop.
  bool m_closed = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_EXECUTION_P_H_
