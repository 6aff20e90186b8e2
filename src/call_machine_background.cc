// Background writes of a call, which may last longer than its caller's request:
// the result after the answer, and the release after the call was given up.
#include <cassert>
#include <utility>

#include "bramleybank/limits.h"
#include "call_machine.h"

namespace bramleybank {

bool CallMachine::has_background_time() const {
  return m_options.clock() - m_background_start < kCallBackgroundTimeout;
}

void CallMachine::Record(CallRowState state) {
  assert(m_claim_version);
  m_background_start = m_options.clock();
  m_backoff_count = 0;
  m_result.state = state;
  if (!m_result.object.empty()) {
    m_result_body = m_result.answer.body;
  }
  WriteResult();
}

void CallMachine::WriteResult() {
  if (m_result_body.empty()) {
    Write(Pending::kResult, m_result.state, *m_claim_version);
    return;
  }
  m_pending = Pending::kResultObject;
  m_actions.push_back({.kind = CallActionKind::kPutObject,
                       .value = m_result_body,
                       .object = m_result.object});
}

CallMachine::Actions CallMachine::OnObjectPut(bool stored) {
  assert(m_pending == Pending::kResultObject);
  m_pending = Pending::kNone;
  if (stored) {
    m_result_body.clear();
    WriteResult();
  } else if (has_background_time()) {
    BackOff(Pending::kResultObject);
  } else {
    FinishRecording("abandon");
  }
  return TakeActions();
}

void CallMachine::OnResultWritten(const TableWriteResult& result) {
  if (result.status == TableWriteStatus::kWritten) {
    FinishRecording("recorded");
  } else if (result.status == TableWriteStatus::kConflict) {
    // An earlier write whose answer was lost may have taken effect.
    Read(Pending::kResultRead);
  } else if (has_background_time()) {
    BackOff(Pending::kResult);
  } else {
    FinishRecording("abandon");
  }
}

void CallMachine::OnResultRead(const TableReadResult& result) {
  if (result.status == TableReadStatus::kUnavailable && has_background_time()) {
    BackOff(Pending::kResult);
    return;
  }
  const auto row = ParseCallRow(result.row.value);
  const bool recorded =
      row && row->claim == m_claim && row->state == m_result.state;
  FinishRecording(recorded ? "recorded" : "abandon");
}

void CallMachine::FinishRecording(std::string_view event) {
  Fire(event);
  m_abandoned = event == "abandon";
  if (m_result.state == CallRowState::kDone) {
    Answer(m_result.answer, /*replayed=*/false);
  }
}

void CallMachine::Release(uint64_t expected_version) {
  if (m_background_start == TimePoint()) {
    m_background_start = m_options.clock();
    m_backoff_count = 0;
  }
  m_release_version = expected_version;
  Write(Pending::kRelease, CallRowState::kReleased, expected_version);
}

void CallMachine::OnReleaseWritten(const TableWriteResult& result) {
  if (result.status == TableWriteStatus::kWritten) {
    return;
  }
  if (result.status == TableWriteStatus::kConflict) {
    Read(Pending::kReleaseRead);
  } else if (has_background_time()) {
    BackOff(Pending::kRelease);
  } else {
    m_abandoned = true;
  }
}

void CallMachine::OnReleaseRead(const TableReadResult& result) {
  if (result.status == TableReadStatus::kUnavailable) {
    if (has_background_time()) {
      BackOff(Pending::kRelease);
    } else {
      m_abandoned = true;
    }
    return;
  }
  const auto row = ParseCallRow(result.row.value);
  if (row && row->claim == m_claim && row->state == CallRowState::kClaimed) {
    Release(result.row.version);
  }
  // Otherwise nothing is left to release: the row is not a claim of this call,
  // and a late claim write expects a version that no longer exists.
}

}  // namespace bramleybank
