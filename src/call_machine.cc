// Implements the rules for calls in section 7 of the design page.
#include "call_machine.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bramleybank/limits.h"
#include "chart_call_p.h"

namespace bramleybank {
namespace {

constexpr int kMaxBackoffDoublings = 6;

std::shared_ptr<const Chart> CallChart() {
  static const auto chart = LoadEmbeddedChart(kCallChart);
  return chart;
}

std::string MakeClaim(const CallMachineOptions& options) {
  return options.owner + "-" + std::to_string(options.random());
}

}  // namespace

CallMachine::CallMachine(CallMachineOptions options)
    : m_options(std::move(options)),
      m_chart(CallChart()),
      m_claim(MakeClaim(m_options)) {
  assert(m_options.clock && m_options.choose_endpoint);
}

CallMachine::Actions CallMachine::TakeActions() {
  return std::exchange(m_actions, {});
}

void CallMachine::Fire(std::string_view event) {
  const bool known = m_chart.Fire(event);
  assert(known);
  static_cast<void>(known);
}

bool CallMachine::is_settled() const {
  return m_chart.is_final() && m_pending == Pending::kNone && m_replied;
}

void CallMachine::Write(Pending pending,
                        CallRowState state,
                        uint64_t expected_version) {
  CallRow row = state == CallRowState::kDone ? m_result : CallRow();
  row.state = state;
  row.claim = m_claim;
  row.request_hash = m_options.request_hash;
  m_pending = pending;
  m_actions.push_back({.kind = CallActionKind::kWriteRow,
                       .value = FormatCallRow(row),
                       .expected_version = expected_version});
}

void CallMachine::Read(Pending pending) {
  m_pending = pending;
  m_actions.push_back({.kind = CallActionKind::kReadRow});
}

void CallMachine::Schedule(CallTimer timer, Duration delay) {
  m_actions.push_back(
      {.kind = CallActionKind::kSchedule, .timer = timer, .delay = delay});
}

void CallMachine::BackOff(Pending pending) {
  const int doublings = std::min(m_backoff_count++, kMaxBackoffDoublings);
  const Duration limit =
      std::min<Duration>(kMaxCallBackoff, kMinCallBackoff * (1 << doublings));
  // Half of the delay is random, so that the reads of waiting daemons spread
  // out.
  const auto half = static_cast<uint64_t>(limit.count() / 2);
  const Duration delay(
      static_cast<int64_t>(half + m_options.random() % (half + 1)));
  m_pending = Pending::kBackoff;
  m_retry_operation = pending;
  Schedule(CallTimer::kBackoff, delay);
}

void CallMachine::Retry(Pending pending) {
  switch (pending) {
    case Pending::kReadBack:
      Read(Pending::kReadBack);
      break;
    case Pending::kResultObject:
    case Pending::kResult:
      WriteResult();
      break;
    case Pending::kRelease:
      Release(m_release_version);
      break;
    default:
      assert(false);
  }
}

CallMachine::Actions CallMachine::Start() {
  m_start = m_options.clock();
  m_deadline = m_start + kCallClaimTimeout;
  m_endpoint = m_options.choose_endpoint({});
  Schedule(CallTimer::kDeadline, kCallClaimTimeout);
  if (m_endpoint) {
    Fire("claim");
    WriteClaim(kNoRow);
  } else {
    // Nothing can be dispatched, but a recorded result can be replayed.
    Fire("look_up");
    Read(Pending::kReadBack);
  }
  return TakeActions();
}

void CallMachine::WriteClaim(uint64_t expected_version) {
  m_claim_expected_version = expected_version;
  m_claim_unknown = false;
  Write(Pending::kClaim, CallRowState::kClaimed, expected_version);
}

CallMachine::Actions CallMachine::OnWriteResult(
    const TableWriteResult& result) {
  switch (std::exchange(m_pending, Pending::kNone)) {
    case Pending::kClaim:
      OnClaimResult(result);
      break;
    case Pending::kResult:
      OnResultWritten(result);
      break;
    case Pending::kRelease:
      OnReleaseWritten(result);
      break;
    default:
      assert(false);
  }
  return TakeActions();
}

CallMachine::Actions CallMachine::OnReadResult(const TableReadResult& result) {
  switch (std::exchange(m_pending, Pending::kNone)) {
    case Pending::kReadBack:
      OnReadBack(result);
      break;
    case Pending::kResultRead:
      OnResultRead(result);
      break;
    case Pending::kReleaseRead:
      OnReleaseRead(result);
      break;
    default:
      assert(false);
  }
  return TakeActions();
}

void CallMachine::OnClaimResult(const TableWriteResult& result) {
  if (result.status == TableWriteStatus::kWritten) {
    m_claim_version = result.version;
  }
  m_claim_unknown = result.status == TableWriteStatus::kUnknown;
  if (m_chart.is_final()) {
    // The call was given up while the write was in flight.
    if (m_claim_version || m_claim_unknown) {
      Release(m_claim_version.value_or(m_claim_expected_version));
    }
    return;
  }
  switch (result.status) {
    case TableWriteStatus::kWritten:
      Dispatch("claim_written");
      break;
    case TableWriteStatus::kConflict:
      m_row_seen = true;
      Fire("claim_conflict");
      Read(Pending::kReadBack);
      break;
    case TableWriteStatus::kUnknown:
      Fire("claim_unknown");
      Read(Pending::kReadBack);
      break;
    case TableWriteStatus::kNotWritten:
      Fire("claim_not_written");
      Refuse(ResultCode::kPlatformDown, RefusalOutcome::kNotRun);
      break;
  }
}

void CallMachine::OnReadBack(const TableReadResult& result) {
  if (m_chart.is_final()) {
    if (m_claim_unknown) {
      Release(m_claim_expected_version);
    }
    return;
  }
  const bool unchanged = result.status == TableReadStatus::kFound &&
                         m_claim_unknown &&
                         result.row.version == m_claim_expected_version;
  if (result.status != TableReadStatus::kFound || unchanged) {
    // While the row is missing or unchanged, the claim write may still take
    // effect.
    OnInconclusiveRead(result);
    return;
  }
  m_row_seen = true;
  const auto row = ParseCallRow(result.row.value);
  if (row && row->claim == m_claim && row->state == CallRowState::kClaimed) {
    m_claim_unknown = false;
    m_claim_version = result.row.version;
    Dispatch("own_claim");
    return;
  }
  // The row has a version that the claim write does not expect, so that write
  // can no longer take effect.
  m_claim_unknown = false;
  if (!row) {
    RefuseUnclaimed(ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
    return;
  }
  OnOtherClaimRow(*row, result.row.version);
}

void CallMachine::OnInconclusiveRead(const TableReadResult& result) {
  if (m_claim_unknown) {
    GiveUp(result.status == TableReadStatus::kUnavailable
               ? ResultCode::kPlatformDown
               : ResultCode::kPlatformAnswerLost);
  } else if (!m_row_seen) {
    RefuseUnclaimed(ResultCode::kNoEndpoint, RefusalOutcome::kNotRun);
  } else if (is_past_deadline() ||
             result.status == TableReadStatus::kNotFound) {
    RefuseUnclaimed(ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
  } else {
    BackOff(Pending::kReadBack);
  }
}

void CallMachine::OnOtherClaimRow(const CallRow& row, uint64_t version) {
  if (row.request_hash != m_options.request_hash) {
    RefuseUnclaimed(ResultCode::kKeyReuse, RefusalOutcome::kNotRun);
    return;
  }
  switch (row.state) {
    case CallRowState::kClaimed:
      WaitForClaimant();
      break;
    case CallRowState::kLost:
      RefuseUnclaimed(ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
      break;
    case CallRowState::kReleased:
      // Chosen again, because the endpoint chosen first may be leaving by now.
      m_endpoint = m_options.choose_endpoint({});
      if (!m_endpoint) {
        RefuseUnclaimed(ResultCode::kNoEndpoint, RefusalOutcome::kNotRun);
        return;
      }
      Fire("released_row");
      m_deadline = m_options.clock() + kCallClaimTimeout;
      Schedule(CallTimer::kDeadline, kCallClaimTimeout);
      WriteClaim(version);
      break;
    case CallRowState::kDone:
      if (row.object.empty()) {
        Fire("result_found");
        Answer(row.answer, /*replayed=*/true);
        return;
      }
      m_result = row;
      m_pending = Pending::kReplayObject;
      m_actions.push_back(
          {.kind = CallActionKind::kGetObject, .object = row.object});
      break;
  }
}

void CallMachine::WaitForClaimant() {
  m_deadline = m_start + m_options.wait_timeout;
  if (is_past_deadline()) {
    RefuseUnclaimed(ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
    return;
  }
  BackOff(Pending::kReadBack);
}

CallMachine::Actions CallMachine::OnObjectRead(const ObjectReadResult& result) {
  assert(m_pending == Pending::kReplayObject);
  m_pending = Pending::kNone;
  if (m_chart.is_final()) {
    return TakeActions();
  }
  if (result.status == ObjectReadStatus::kFound) {
    m_result.answer.body = result.bytes;
    Fire("result_found");
    Answer(m_result.answer, /*replayed=*/true);
  } else {
    RefuseUnclaimed(ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
  }
  return TakeActions();
}

void CallMachine::Dispatch(std::string_view event) {
  // After a pause of the process beyond the deadline, or once the caller has
  // been answered, the first byte must not be sent.
  if (!may_dispatch()) {
    GiveUp(ResultCode::kCallGivenUp);
    return;
  }
  Fire(event);
  m_actions.push_back(
      {.kind = CallActionKind::kDispatch, .endpoint = *m_endpoint});
}

CallMachine::Actions CallMachine::OnConnectFailed() {
  if (!m_chart.is_in("dispatching")) {
    return TakeActions();
  }
  m_failed_endpoints.push_back(*m_endpoint);
  const bool may_retry =
      m_failed_endpoints.size() < static_cast<size_t>(kMaxCallConnects);
  m_endpoint =
      may_retry ? m_options.choose_endpoint(m_failed_endpoints) : std::nullopt;
  if (m_endpoint) {
    Dispatch("connect_failed");
  } else {
    GiveUp(ResultCode::kServiceUnreachable);
  }
  return TakeActions();
}

CallMachine::Actions CallMachine::OnAnswer(const CallAnswer& answer) {
  if (m_chart.is_in("dispatching")) {
    m_result.answer = answer;
    if (answer.body.size() > kMaxInlineResultBytes) {
      m_result.object = "call-result/" + m_claim;
    }
    Fire("answered");
    Schedule(CallTimer::kAnswer, kRecordBeforeAnswerTimeout);
    Record(CallRowState::kDone);
  }
  return TakeActions();
}

CallMachine::Actions CallMachine::OnAnswerLost() {
  if (m_chart.is_in("dispatching")) {
    Fire("answer_lost");
    Refuse(ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
    Record(CallRowState::kLost);
  }
  return TakeActions();
}

void CallMachine::GiveUp(ResultCode code) {
  Fire("give_up");
  Refuse(code, RefusalOutcome::kNotRun);
  if (m_pending == Pending::kNone) {
    Release(m_claim_version.value_or(m_claim_expected_version));
  }
}

CallMachine::Actions CallMachine::OnCallerGone() {
  if (m_replied) {
    return TakeActions();
  }
  if (m_chart.is_in("claiming") ||
      (m_chart.is_in("reading_back") && m_claim_unknown)) {
    GiveUp(ResultCode::kCallGivenUp);
  } else if (m_chart.is_in("reading_back")) {
    RefuseUnclaimed(ResultCode::kCallGivenUp, RefusalOutcome::kUnknown);
  }
  // The caller has disconnected, so the refusal is dropped.
  m_replied = true;
  std::erase_if(m_actions, [](const CallAction& action) {
    return action.kind == CallActionKind::kRefuse;
  });
  return TakeActions();
}

CallMachine::Actions CallMachine::OnTimer(CallTimer timer) {
  if (timer == CallTimer::kBackoff && m_pending == Pending::kBackoff) {
    m_pending = Pending::kNone;
    Retry(m_retry_operation);
  } else if (timer == CallTimer::kAnswer && m_chart.is_in("recording")) {
    Answer(m_result.answer, /*replayed=*/false);
  } else if (timer == CallTimer::kDeadline && is_past_deadline()) {
    if (m_chart.is_in("claiming") ||
        (m_chart.is_in("reading_back") && m_claim_unknown)) {
      GiveUp(ResultCode::kCallGivenUp);
    } else if (m_chart.is_in("reading_back")) {
      RefuseUnclaimed(ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
    }
  }
  return TakeActions();
}

void CallMachine::Answer(const CallAnswer& answer, bool replayed) {
  if (std::exchange(m_replied, true)) {
    return;
  }
  m_actions.push_back({.kind = CallActionKind::kAnswer,
                       .answer = answer,
                       .replayed = replayed});
}

void CallMachine::Refuse(ResultCode code, RefusalOutcome outcome) {
  if (std::exchange(m_replied, true)) {
    return;
  }
  HttpRefusal refusal{.code = code,
                      .message = {},
                      .outcome = outcome,
                      .position = {},
                      .retry_after_s = {}};
  if (outcome == RefusalOutcome::kNotRun && code != ResultCode::kKeyReuse) {
    refusal.retry_after_s = 1;
  }
  m_actions.push_back(
      {.kind = CallActionKind::kRefuse, .refusal = std::move(refusal)});
}

void CallMachine::RefuseUnclaimed(ResultCode code, RefusalOutcome outcome) {
  Fire("refuse");
  if (m_pending == Pending::kBackoff) {
    m_pending = Pending::kNone;
  }
  Refuse(code, outcome);
}

}  // namespace bramleybank
