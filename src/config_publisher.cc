// Appends a row to the configuration log by a conditional write.
#include "config_publisher.h"

#include <utility>

#include "config_log.h"

namespace bramleybank {
namespace {

constexpr int kMaxAttempts = 3;
constexpr size_t kMaxQueuedChanges = 64;

}  // namespace

ConfigPublisher::ConfigPublisher(ConfigLog* log,
                                 PlatformTable* table,
                                 SnapshotHook write_snapshot,
                                 std::function<void()> on_change_applied)
    : m_log(log),
      m_table(table),
      m_write_snapshot(std::move(write_snapshot)),
      m_on_change_applied(std::move(on_change_applied)) {}

void ConfigPublisher::Publish(const ConfigChange& change, Callback callback) {
  if (m_queue.size() >= kMaxQueuedChanges) {
    callback({PublishStatus::kRefused,
              0,
              {ResultCode::kOverloaded,
               "too many configuration changes are queued"}});
    return;
  }
  m_queue.push_back({change, std::move(callback)});
  StartNext();
}

void ConfigPublisher::StartNext() {
  if (m_busy || m_queue.empty()) {
    return;
  }
  m_busy = true;
  ConfigChange& change = m_queue.front().change;
  if (const auto number = m_log->FindChange(change.id)) {
    Finish({PublishStatus::kAccepted, *number, {}});
    return;
  }
  if (!m_log->has_config()) {
    Refuse(ResultCode::kNotReady, "this daemon has no configuration yet");
    return;
  }
  if (const auto fault = m_log->Validate(change)) {
    Refuse(fault->code, fault->detail);
    return;
  }
  change.number = m_log->number() + 1;
  Write();
}

void ConfigPublisher::Write() {
  const ConfigChange& change = m_queue.front().change;
  m_table->Write(ConfigLogKey(change.number), FormatConfigChange(change),
                 kNoRow,
                 [this](const TableWriteResult& result) { OnWritten(result); });
}

void ConfigPublisher::OnWritten(const TableWriteResult& result) {
  switch (result.status) {
    case TableWriteStatus::kWritten:
      Accept();
      return;
    case TableWriteStatus::kConflict:
    case TableWriteStatus::kUnknown:
      ReadBack();
      return;
    case TableWriteStatus::kNotWritten:
      if (m_queue.front().attempts == 0) {
        Refuse(ResultCode::kPlatformDown,
               "the write did not reach the platform's table or was refused by "
               "it");
      } else {
        // An earlier write with an unknown outcome may still take effect.
        RetryOrGiveUp();
      }
      return;
  }
}

void ConfigPublisher::ReadBack() {
  m_table->Read(ConfigLogKey(m_queue.front().change.number),
                [this](const TableReadResult& result) { OnReadBack(result); });
}

void ConfigPublisher::OnReadBack(const TableReadResult& result) {
  if (result.status == TableReadStatus::kFound) {
    Reason error;
    const auto stored = ParseConfigChange(result.row.value, &error);
    if (stored && stored->id == m_queue.front().change.id) {
      Accept();
    } else {
      OnConflictingRow(result.row.value);
    }
    return;
  }
  // An earlier write may still arrive, or the conflicting row may have been
  // written by an earlier request with the same id. Writing the same row again
  // is safe: the first write takes effect and the other one conflicts.
  RetryOrGiveUp();
}

void ConfigPublisher::RetryOrGiveUp() {
  Pending& pending = m_queue.front();
  if (++pending.attempts < kMaxAttempts) {
    Write();
    return;
  }
  Finish({PublishStatus::kUnknown,
          pending.change.number,
          {ResultCode::kPlatformAnswerLost,
           "no answer to the write; repeat the change with the same id"}});
}

void ConfigPublisher::OnConflictingRow(const std::string& row) {
  const uint64_t number = m_queue.front().change.number;
  Reason error;
  std::optional<ConfigChange> stored = ParseConfigChange(row, &error);
  std::string detail = "change " + std::to_string(number);
  if (stored) {
    stored->number = number;
    detail += " (id " + stored->id + ", " + ConfigSubjectName(stored->subject) +
              ") was accepted first";
    if (m_log->Apply(*stored) == ConfigApplyResult::kApplied) {
      m_on_change_applied();
    }
  } else {
    detail += " was accepted first and is malformed: " + error.detail;
  }
  Finish({PublishStatus::kConflict,
          number,
          {ResultCode::kPlatformConflict, detail}});
}

void ConfigPublisher::Accept() {
  const ConfigChange change = m_queue.front().change;
  // ConfigSync may already have read the row and applied it.
  if (m_log->Apply(change) == ConfigApplyResult::kApplied) {
    m_on_change_applied();
  }
  if (change.number % kChangesPerSnapshot == 0) {
    m_snapshot_due = change.number;
  }
  WriteSnapshotIfDue();
  Finish({PublishStatus::kAccepted, change.number, {}});
}

void ConfigPublisher::WriteSnapshotIfDue() {
  // After a failed write the snapshot stays due, and the next accepted change
  // retries it.
  if (m_snapshot_due == 0) {
    return;
  }
  const uint64_t due = m_snapshot_due;
  m_write_snapshot(FormatConfigSnapshot(*m_log->Snapshot()),
                   [this, due](bool written) {
                     if (written && m_snapshot_due == due) {
                       m_snapshot_due = 0;
                     }
                   });
}

void ConfigPublisher::Refuse(ResultCode code, const std::string& detail) {
  Finish({PublishStatus::kRefused, 0, {code, detail}});
}

void ConfigPublisher::Finish(const PublishResult& result) {
  const Callback callback = std::move(m_queue.front().callback);
  m_queue.pop_front();
  m_busy = false;
  callback(result);
  StartNext();
}

}  // namespace bramleybank
