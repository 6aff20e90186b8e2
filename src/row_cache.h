// Cached copy of one table of the metadata store, with its latest changes, from
// which a relay answers other gateways.
#ifndef BRAMLEYBANK_SRC_ROW_CACHE_H_
#define BRAMLEYBANK_SRC_ROW_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "metadata_store.h"

namespace bramleybank {

/// Holds rows by key and by version. A row is never replaced by an older
/// version of it, in whatever order answers arrive.
class RowCache {
 public:
  /// Adds one page of a read of the whole table; the last page completes the
  /// copy. Rows that the read does not contain become tombstones.
  void AddPage(bool is_first, const StoreRows& page);
  /// Adds the answer to a wait for changes after version `after`. If `after` is
  /// newer than the copy, changes are missing and the copy becomes incomplete.
  void AddChanges(uint64_t after, const StoreRows& changes);

  /// @returns whether the copy holds the whole table.
  bool is_complete() const { return m_is_complete; }
  /// Version of the store that the copy reflects.
  uint64_t version() const { return m_version; }

  /// @returns the changes after `version`, in version order, or nothing when
  /// they are no longer kept.
  std::optional<StoreRows> ChangesAfter(uint64_t version) const;
  /// @returns rows whose keys are above `after`, as many as fit in an answer.
  StoreRows PageAfter(const std::string& after) const;

 private:
  void Put(const StoreRow& row);
  void FinishRead();
  void DropOldestTombstone();

  // By key. Deleted rows stay as tombstones without values, for gateways that
  // still have the rows.
  std::map<std::string, StoreRow> m_rows;
  // Versions and keys of the rows in m_rows, in version order.
  std::set<std::pair<uint64_t, std::string>> m_rows_by_version;
  size_t m_tombstones = 0;
  // Changes at or before this version may have been dropped.
  uint64_t m_dropped_version = 0;
  bool m_is_complete = false;
  uint64_t m_version = 0;
  // Keys of the read in progress, and the version of its first page.
  std::set<std::string> m_read_keys;
  uint64_t m_read_version = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROW_CACHE_H_
