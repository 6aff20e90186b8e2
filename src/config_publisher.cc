// Conditional write of the next row of the log.
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
              {ResultCode::kOverloaded, "too many changes are waiting"}});
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
        Refuse(ResultCode::kPlatformDown, "the platform's table is down");
      } else {
        // An earlier write without an answer may still take effect.
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
    const auto held = ParseConfigChange(result.row.value, &error);
    if (held && held->id == m_queue.front().change.id) {
      Accept();
    } else {
      OnConflictingRow(result.row.value);
    }
    return;
  }
  // A write may arrive later, or the row that conflicts is one of an earlier
  // request with this id. The same row is written again: whichever write comes
  // first takes effect, the other one conflicts.
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
  std::optional<ConfigChange> held = ParseConfigChange(row, &error);
  std::string detail = "change " + std::to_string(number);
  if (held) {
    held->number = number;
    detail += " (id " + held->id + ", " + ConfigSubjectName(held->subject) +
              ") came first";
    if (m_log->Apply(*held) == ConfigApplyResult::kApplied) {
      m_on_change_applied();
    }
  } else {
    detail += " came first and is malformed: " + error.detail;
  }
  Finish({PublishStatus::kConflict,
          number,
          {ResultCode::kPlatformConflict, detail}});
}

void ConfigPublisher::Accept() {
  const ConfigChange change = m_queue.front().change;
  // The log may have read the row back already.
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
  // After a failure it stays due, and the next accepted change tries again.
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
