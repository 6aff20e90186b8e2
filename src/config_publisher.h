// Writes an operator's change to the log on the platform.
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
  /// The change does not fit the configuration, or nothing can be written.
  kRefused,
  /// Another change took the number first; nothing was written. The operator
  /// looks at the new configuration and decides again.
  kConflict,
  /// No answer: the change may be or become accepted. Repeating it with the
  /// same id is safe.
  kUnknown,
};

struct PublishResult {
  PublishStatus status = PublishStatus::kUnknown;
  /// Number of the accepted change, or of the one that came first.
  uint64_t number = 0;
  Reason reason;

  friend bool operator==(const PublishResult&, const PublishResult&) = default;
};

/// Accepts changes one after the other.
class ConfigPublisher {
 public:
  using Callback = std::function<void(const PublishResult& result)>;
  /// Writes the snapshot object.
  using SnapshotHook =
      std::function<void(const std::string& text,
                         std::function<void(bool written)> callback)>;

  /// @param log, table outlive this object and its requests.
  /// @param write_snapshot called about every 1,000 changes.
  /// @param on_change_applied called when the log has a new change, own or
  /// foreign.
  ConfigPublisher(ConfigLog* log,
                  PlatformTable* table,
                  SnapshotHook write_snapshot,
                  std::function<void()> on_change_applied);

  /// @param change its number is ignored.
  void Publish(const ConfigChange& change, Callback callback);

 private:
  struct Pending {
    ConfigChange change;
    Callback callback;
    // Writes that had no answer.
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
  // The first one is being written when m_busy is set.
  std::deque<Pending> m_queue;
  bool m_busy = false;
  // Number whose snapshot is still to be written; 0 for none.
  uint64_t m_snapshot_due = 0;
};

inline constexpr uint64_t kChangesPerSnapshot = 1000;

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_PUBLISHER_H_
