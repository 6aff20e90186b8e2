// State machine of one non-idempotent call in one daemon: claim, dispatch,
// record. It interprets charts/call.scxml.
#ifndef BRAMLEYBANK_SRC_CALL_MACHINE_H_
#define BRAMLEYBANK_SRC_CALL_MACHINE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "call_row.h"
#include "chart_machine.h"
#include "hooks.h"
#include "http_refusal.h"
#include "platform_objects.h"
#include "platform_table.h"

namespace bramleybank {

enum class CallTimer {
  /// Time limit for the dispatch, or for waiting for another claimant.
  kDeadline,
  /// Time limit for the record. When it expires, the answer is sent to the
  /// caller although it is not recorded yet.
  kAnswer,
  /// Next attempt of a platform operation.
  kBackoff,
};

enum class CallActionKind {
  kWriteRow,
  kReadRow,
  kPutObject,
  kGetObject,
  kDispatch,
  kAnswer,
  kRefuse,
  kSchedule,
};

/// One action that the user of the machine must carry out. Only the fields that
/// its kind needs are set.
struct CallAction {
  CallActionKind kind = CallActionKind::kReadRow;
  /// Content of the row or object to write.
  std::string value = {};
  /// kWriteRow: version that the row must have.
  uint64_t expected_version = kNoRow;
  /// Name of the object to write or read.
  std::string object = {};
  /// kDispatch: address of the endpoint.
  std::string endpoint = {};
  /// kAnswer.
  CallAnswer answer = {};
  /// kAnswer: the answer was read from the row, and this machine did not
  /// dispatch the call.
  bool replayed = false;
  /// kRefuse.
  HttpRefusal refusal = {};
  /// kSchedule.
  CallTimer timer = CallTimer::kDeadline;
  Duration delay{0};

  friend bool operator==(const CallAction&, const CallAction&) = default;
};

/// Hooks and limits of a CallMachine.
struct CallMachineOptions {
  /// Member id and incarnation of this daemon; part of the claim's value.
  std::string owner;
  /// Hash of method, path and body.
  std::string request_hash;
  ClockHook clock;
  RandomHook random;
  /// Chooses an endpoint other than the given addresses, or nothing.
  std::function<std::optional<std::string>(const std::vector<std::string>&)>
      choose_endpoint;
  /// Limit on waiting for the result of another daemon's claim.
  Duration wait_timeout = kCallWaitTimeout;
};

/// One call. Each input returns the actions to carry out. At most one platform
/// operation is pending at any time.
class CallMachine {
 public:
  using Actions = std::vector<CallAction>;

  explicit CallMachine(CallMachineOptions options);

  Actions Start();
  /// Result of the last kWriteRow.
  Actions OnWriteResult(const TableWriteResult& result);
  /// Result of the last kReadRow.
  Actions OnReadResult(const TableReadResult& result);
  /// Result of the last kPutObject.
  Actions OnObjectPut(bool stored);
  /// Result of the last kGetObject.
  Actions OnObjectRead(const ObjectReadResult& result);
  /// The endpoint accepted no connection; no byte was sent.
  Actions OnConnectFailed();
  /// The endpoint answered. Ignored unless the call is being dispatched.
  Actions OnAnswer(const CallAnswer& answer);
  /// Bytes were sent, but no complete answer arrived.
  Actions OnAnswerLost();
  Actions OnCallerGone();
  Actions OnTimer(CallTimer timer);

  const std::string& state() const { return m_chart.state(); }
  /// Unique value of this call's claim.
  const std::string& claim() const { return m_claim; }
  /// Whether the call has ended and no background write is left.
  bool is_settled() const;
  /// Whether a result or release was dropped because it could not be written.
  /// The row then stays claimed and the call is never run again.
  bool is_abandoned() const { return m_abandoned; }

 private:
  /// The pending platform operation.
  enum class Pending {
    kNone,
    kClaim,
    kReadBack,
    kReplayObject,
    kResultObject,
    kResult,
    kResultRead,
    kRelease,
    kReleaseRead,
    kBackoff,
  };

  Actions TakeActions();
  void Fire(std::string_view event);
  void Write(Pending pending, CallRowState state, uint64_t expected_version);
  void Read(Pending pending);
  void Schedule(CallTimer timer, Duration delay);
  /// Retries `pending` after an exponential backoff with jitter.
  void BackOff(Pending pending);
  void Retry(Pending pending);

  void WriteClaim(uint64_t expected_version);
  void OnClaimResult(const TableWriteResult& result);
  void OnReadBack(const TableReadResult& result);
  void OnInconclusiveRead(const TableReadResult& result);
  void OnOtherClaimRow(const CallRow& row, uint64_t version);
  void WaitForClaimant();
  void Dispatch(std::string_view event);
  void Record(CallRowState state);
  void WriteResult();
  void OnResultWritten(const TableWriteResult& result);
  void OnResultRead(const TableReadResult& result);
  void FinishRecording(std::string_view event);

  /// Ends the call before its first byte is sent, and releases its claim.
  void GiveUp(ResultCode code);
  void Release(uint64_t expected_version);
  void OnReleaseWritten(const TableWriteResult& result);
  void OnReleaseRead(const TableReadResult& result);

  void Answer(const CallAnswer& answer, bool replayed);
  void Refuse(ResultCode code, RefusalOutcome outcome);
  /// Ends a call that has no claim to release.
  void RefuseUnclaimed(ResultCode code, RefusalOutcome outcome);
  bool is_past_deadline() const { return m_options.clock() >= m_deadline; }
  bool may_dispatch() const { return !m_replied && !is_past_deadline(); }
  bool has_background_time() const;

  CallMachineOptions m_options;
  ChartMachine m_chart;
  std::string m_claim;
  Actions m_actions;
  Pending m_pending = Pending::kNone;
  // Operation that is retried when the backoff ends.
  Pending m_retry_operation = Pending::kNone;
  int m_backoff_count = 0;
  TimePoint m_start;
  // Until then the call may be dispatched, or its caller waits for another
  // claimant.
  TimePoint m_deadline;
  // Start of the first background write.
  TimePoint m_background_start;
  std::optional<std::string> m_endpoint;
  // Addresses of the endpoints that accepted no connection.
  std::vector<std::string> m_failed_endpoints;
  // Row version that the last claim write expected.
  uint64_t m_claim_expected_version = kNoRow;
  // Version of the row while it holds this call's claim.
  std::optional<uint64_t> m_claim_version;
  // The answer of a claim write was lost; the write may still take effect.
  bool m_claim_unknown = false;
  // A claim write conflicted with a row, or a read found one.
  bool m_row_seen = false;
  // Row that is being recorded, or replayed with a body from the object store.
  CallRow m_result;
  // Body that is still to be written to the object store.
  std::string m_result_body;
  uint64_t m_release_version = kNoRow;
  // The caller was answered or refused, or it disconnected. Invariant: the call
  // is never dispatched once this is set.
  bool m_replied = false;
  bool m_abandoned = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_MACHINE_H_
