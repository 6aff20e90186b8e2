// Interface to the platform's store of rows, as far as the product needs it.
#ifndef BRAMLEYBANK_SRC_METADATA_STORE_H_
#define BRAMLEYBANK_SRC_METADATA_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// How a call to the store ended.
enum class StoreResult : uint8_t {
  kOk,
  /// The condition of a write does not hold.
  kConflict,
  /// The requested history has been discarded; read all rows again.
  kHistoryGone,
  /// Refused or not answered. A write may still take effect.
  kUnavailable,
};

/// One row, or the news that it is gone.
struct StoreRow {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool deleted = false;

  friend bool operator==(const StoreRow&, const StoreRow&) = default;
};

/// Answer to a read or to a wait for changes.
struct StoreRows {
  StoreResult result = StoreResult::kUnavailable;
  std::vector<StoreRow> rows;
  /// Newest version of the store that the answer reflects.
  uint64_t version = 0;
  /// Steady clock of the store.
  Duration now{0};
  /// Whether rows after the last one remain to be read.
  bool has_more = false;
  /// Why the call failed.
  std::string detail;

  friend bool operator==(const StoreRows&, const StoreRows&) = default;
};

/// Change of one row under a condition.
struct StoreWrite {
  std::string table;
  std::string key;
  std::string value;
  /// Version that the row must have; 0 when it must not exist. Nothing writes
  /// without a condition.
  std::optional<uint64_t> expected_version;

  friend bool operator==(const StoreWrite&, const StoreWrite&) = default;
};

/// Calls to the store. Each callback runs once, in a later turn of the loop.
class MetadataStore {
 public:
  using RowsCallback = std::function<void(const StoreRows&)>;
  using WriteCallback = std::function<void(StoreResult)>;

  virtual ~MetadataStore() = default;

  /// Reads the rows of a table whose keys are above `after`.
  virtual void Read(const std::string& table,
                    const std::string& after,
                    RowsCallback callback) = 0;
  /// Waits until rows of the table change after `version`, for at most `wait`.
  virtual void WaitForChanges(const std::string& table,
                              uint64_t version,
                              Duration wait,
                              RowsCallback callback) = 0;
  virtual void Write(const StoreWrite& write, WriteCallback callback) = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_METADATA_STORE_H_
