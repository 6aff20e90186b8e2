// Appends an operator's changes to the configuration log on the platform.
#ifndef BRAMLEYBANK_SRC_CONFIG_PUBLISHER_H_
#define BRAMLEYBANK_SRC_CONFIG_PUBLISHER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "bramleybank/result_code.h"
#include "config_change.h"
#include "platform_table.h"

namespace bramleybank {

class ConfigLog;

enum class PublishStatus {
  kAccepted,
  /// The change is invalid for the current configuration, or it could not be
  /// written.
  kRefused,
  /// Another change was accepted under this number; nothing was written. The
  /// operator checks the new configuration and decides whether to repeat the
  /// change.
  kConflict,
  /// No answer to the write: the change may have been accepted, or may still be
  /// accepted later. Repeating it with the same id is safe.
  kUnknown,
};

struct PublishResult {
  PublishStatus status = PublishStatus::kUnknown;
  /// Number of the accepted change, or of the change that it conflicts with.
  uint64_t number = 0;
  Reason reason;

  friend bool operator==(const PublishResult&, const PublishResult&) = default;
};

/// Publishes changes one at a time, in the order of the calls.
class ConfigPublisher {
 public:
  using Callback = std::function<void(const PublishResult& result)>;
  /// Writes the snapshot object; the callback tells whether that succeeded.
  using SnapshotHook =
      std::function<void(const std::string& text,
                         std::function<void(bool written)> callback)>;

  /// @param log, table must outlive this object and its requests.
  /// @param write_snapshot called about every kChangesPerSnapshot changes.
  /// @param on_change_applied called when a new change was applied to the log,
  /// published by this daemon or by another one.
  ConfigPublisher(ConfigLog* log,
                  PlatformTable* table,
                  SnapshotHook write_snapshot,
                  std::function<void()> on_change_applied);

  /// @param change its number is ignored; the publisher assigns one.
  void Publish(const ConfigChange& change, Callback callback);

 private:
  struct Pending {
    ConfigChange change;
    Callback callback;
    // Writes whose outcome is still unknown.
    int attempts = 0;
  };

  void StartNext();
  void Write();
  void OnWritten(const TableWriteResult& result);
  void ReadBack();
  void OnReadBack(const TableReadResult& result);
  void RetryOrGiveUp();
  void OnConflictingRow(const std::string& row);
  void Accept();
  void WriteSnapshotIfDue();
  void Finish(const PublishResult& result);
  void Refuse(ResultCode code, const std::string& detail);

  ConfigLog* m_log;
  PlatformTable* m_table;
  SnapshotHook m_write_snapshot;
  std::function<void()> m_on_change_applied;
  // When m_busy is set, the first entry is being written.
  std::deque<Pending> m_queue;
  bool m_busy = false;
  // Number whose snapshot has not been written yet; 0 for none.
  uint64_t m_snapshot_due = 0;
};

inline constexpr uint64_t kChangesPerSnapshot = 1000;

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_PUBLISHER_H_
