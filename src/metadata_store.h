// Interface to the platform's metadata store, reduced to the operations that
// this project uses.
#ifndef BRAMLEYBANK_SRC_METADATA_STORE_H_
#define BRAMLEYBANK_SRC_METADATA_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hooks.h"
#include "store_version.h"

namespace bramleybank {

/// How a call to the store ended.
enum class StoreResult : uint8_t {
  kOk,
  /// A row does not have the version that the write expects. If the store was
  /// restored in the meantime, another row may have had it, and the write may
  /// have been applied to that one: read again before the next write.
  kConflict,
  /// The store has discarded the requested changes; all rows must be read
  /// again.
  kHistoryGone,
  /// The call was refused or not answered. A write may still take effect.
  kUnavailable,
};

/// One row, or a notice that it was deleted.
struct StoreRow {
  std::string key;
  std::string value;
  StoreVersion version;
  bool deleted = false;

  friend bool operator==(const StoreRow&, const StoreRow&) = default;
};

/// Result of a read or of a wait for changes.
struct StoreRows {
  StoreResult result = StoreResult::kUnavailable;
  std::vector<StoreRow> rows;
  /// Newest version of the store that the result includes.
  StoreVersion version;
  /// Monotonic clock of the store at the time of the answer.
  Duration now{0};
  /// Whether the table has more rows after the last one.
  bool has_more = false;
  /// Why the call failed.
  std::string detail;

  friend bool operator==(const StoreRows&, const StoreRows&) = default;
};

/// A row that a write depends on without changing it.
struct StoreCondition {
  std::string table;
  std::string key;
  /// Version that the row must have; 0 if the row must not exist.
  StoreVersion version;

  friend bool operator==(const StoreCondition&,
                         const StoreCondition&) = default;
};

/// Conditional write of one row.
struct StoreWrite {
  std::string table;
  std::string key;
  std::string value;
  /// Version that the row must have; 0 if the row must not exist. If empty, the
  /// write is unconditional.
  std::optional<StoreVersion> expected_version;
  /// Further conditions, checked in the same transaction.
  std::vector<StoreCondition> conditions = {};

  friend bool operator==(const StoreWrite&, const StoreWrite&) = default;
};

/// @returns all rows on which a write depends, the written one first.
inline std::vector<StoreCondition> ConditionsOf(const StoreWrite& write) {
  std::vector<StoreCondition> conditions;
  if (write.expected_version) {
    conditions.push_back({write.table, write.key, *write.expected_version});
  }
  conditions.insert(conditions.end(), write.conditions.begin(),
                    write.conditions.end());
  return conditions;
}

/// Asynchronous calls to the store. Each callback runs exactly once, in a later
/// turn of the event loop.
class MetadataStore {
 public:
  using RowsCallback = std::function<void(const StoreRows&)>;
  using WriteCallback = std::function<void(StoreResult)>;

  virtual ~MetadataStore() = default;

  /// Reads the rows of a table whose keys sort after `after`, possibly only the
  /// first of them; see StoreRows::has_more.
  virtual void Read(const std::string& table,
                    const std::string& after,
                    RowsCallback callback) = 0;
  /// Waits until rows of the table change after `version`, for at most `wait`
  /// (long poll).
  virtual void WaitForChanges(const std::string& table,
                              const StoreVersion& version,
                              Duration wait,
                              RowsCallback callback) = 0;
  virtual void Write(const StoreWrite& write, WriteCallback callback) = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_METADATA_STORE_H_
