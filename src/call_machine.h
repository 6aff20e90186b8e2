// Decisions of one non-idempotent call in one daemon: claim, dispatch, record.
// It interprets charts/call.scxml.
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
  /// Limit on the time before dispatch, or on waiting for another claimant.
  kDeadline,
  /// The answer goes to the caller although it is not recorded yet.
  kAnswer,
  /// The next try of a platform operation.
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

/// One thing that the adapter has to do. Only the fields that the kind needs
/// are set.
struct CallAction {
  CallActionKind kind = CallActionKind::kReadRow;
  /// Row or object to write.
  std::string value = {};
  /// kWriteRow: version that the row must have.
  uint64_t expected_version = kNoRow;
  /// Name of the object to write or read.
  std::string object = {};
  /// kDispatch: address of the endpoint.
  std::string endpoint = {};
  /// kAnswer.
  CallAnswer answer = {};
  /// kAnswer: the answer comes from the row, not from this run.
  bool replayed = false;
  /// kRefuse.
  HttpRefusal refusal = {};
  /// kSchedule.
  CallTimer timer = CallTimer::kDeadline;
  Duration delay{0};

  friend bool operator==(const CallAction&, const CallAction&) = default;
};

/// What a call needs from its surroundings.
struct CallMachineOptions {
  /// Member id and incarnation of this daemon; part of the claim's value.
  std::string owner;
  /// Hash of method, path and body.
  std::string request_hash;
  ClockHook clock;
  RandomHook random;
  /// Chooses an endpoint away from the addresses given, or nothing.
  std::function<std::optional<std::string>(const std::vector<std::string>&)>
      choose_endpoint;
  /// Limit on waiting for the result of another daemon's claim.
  Duration wait_timeout = kCallWaitTimeout;
};

/// One call. Each input returns the actions that follow from it. At most one
/// platform operation is open at any time.
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
  /// Bytes were sent and no whole answer arrived.
  Actions OnAnswerLost();
  Actions OnCallerGone();
  Actions OnTimer(CallTimer timer);

  const std::string& state() const { return m_chart.state(); }
  /// Unique value of this call's claim.
  const std::string& claim() const { return m_claim; }
  /// Whether nothing is left to do, in the background either.
  bool is_settled() const;
  /// Whether a result or release was dropped because the table did not take
  /// it; the row then stays claimed and the call is never run again.
  bool is_abandoned() const { return m_abandoned; }

 private:
  /// The open platform operation.
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

  Actions Take();
  void Fire(std::string_view event);
  void Write(Pending pending, CallRowState state, uint64_t expected_version);
  void Read(Pending pending);
  void Schedule(CallTimer timer, Duration delay);
  /// Repeats `pending` after a growing delay with jitter.
  void BackOff(Pending pending);
  void Repeat(Pending pending);

  void WriteClaim(uint64_t expected_version);
  void OnClaimResult(const TableWriteResult& result);
  void OnReadBack(const TableReadResult& result);
  void OnUnreadableRow(const TableReadResult& result);
  void OnForeignRow(const CallRow& row, uint64_t version);
  void WaitForClaimant();
  void Dispatch(std::string_view event);
  void Record(CallRowState state);
  void WriteResult();
  void OnResultWritten(const TableWriteResult& result);
  void OnResultRead(const TableReadResult& result);
  void FinishRecording(std::string_view event);

  /// Ends the call before its first byte and releases its claim.
  void GiveUp(ResultCode code);
  void Release(uint64_t expected_version);
  void OnReleaseWritten(const TableWriteResult& result);
  void OnReleaseRead(const TableReadResult& result);

  void Answer(const CallAnswer& answer, bool replayed);
  void Refuse(ResultCode code, RefusalOutcome outcome);
  /// Ends a call that has no claim to release.
  void RefuseUnclaimed(ResultCode code, RefusalOutcome outcome);
  bool is_late() const { return m_options.clock() >= m_deadline; }
  bool may_dispatch() const { return !m_replied && !is_late(); }
  bool has_background_time() const;

  CallMachineOptions m_options;
  ChartMachine m_chart;
  std::string m_claim;
  Actions m_actions;
  Pending m_pending = Pending::kNone;
  // What BackOff() repeats.
  Pending m_repeat = Pending::kNone;
  int m_backoffs = 0;
  TimePoint m_start;
  // Before it the call may be dispatched, or the caller kept waiting.
  TimePoint m_deadline;
  // When the background writes began.
  TimePoint m_background_start;
  std::optional<std::string> m_endpoint;
  // Endpoints that accepted no connection.
  std::vector<std::string> m_avoid;
  // Version that the last claim write expected.
  uint64_t m_base_version = kNoRow;
  // Version of the row while it holds this call's claim.
  std::optional<uint64_t> m_claim_version;
  // A claim write without an answer may still take effect.
  bool m_claim_unknown = false;
  // A claim write met another row.
  bool m_row_seen = false;
  // Row that is being recorded, and the body that goes to the object store.
  CallRow m_result;
  std::string m_result_body;
  uint64_t m_release_version = kNoRow;
  // Answered, refused or gone. Invariant: never dispatches once it is set.
  bool m_replied = false;
  bool m_abandoned = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_MACHINE_H_
