// Cached copy of one table of the metadata store, with its latest changes, from
// which a relay answers other gateways.
#ifndef BRAMLEYBANK_SRC_ROW_CACHE_H_
#define BRAMLEYBANK_SRC_ROW_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "metadata_store.h"

namespace bramleybank {

/// Holds rows of one era of the store, by key and by version. Within the era, a
/// row is never replaced by an older version of it, in whatever order answers
/// arrive. A full read after a restore of the store builds a new copy, which
/// replaces the old one when it is complete.
class RowCache {
 public:
  /// Adds one page of a read of the whole table; the last page completes the
  /// copy. Rows that the read does not contain become tombstones.
  /// @returns whether the copy contains the page, so that it is as fresh.
  bool AddPage(bool is_first, const StoreRows& page);
  /// Adds the answer to a wait for changes after version `after`. If `after` is
  /// newer than the copy, changes are missing and the copy becomes incomplete.
  /// Changes of another era are left out, because those between the eras are
  /// not known.
  /// @returns whether the changes were added.
  bool AddChanges(const StoreVersion& after, const StoreRows& changes);

  /// @returns whether the copy holds the whole table.
  bool is_complete() const { return m_is_complete; }
  /// Version of the store that the copy reflects.
  const StoreVersion& version() const { return m_version; }

  /// @returns the changes after `version`, in version order, or nothing when
  /// they are no longer kept or `version` is of another era.
  std::optional<StoreRows> ChangesAfter(const StoreVersion& version) const;
  /// @returns rows whose keys are above `after`, as many as fit in an answer.
  StoreRows PageAfter(const std::string& after) const;

 private:
  void StartRead(const StoreVersion& version);
  bool AddPageOfNextCopy(bool is_first, const StoreRows& page);
  void Put(const StoreRow& row);
  void FinishRead();
  void DropOldestTombstone();

  // By key. Deleted rows stay as tombstones without values, for gateways that
  // still have the rows.
  std::map<std::string, StoreRow> m_rows;
  // Versions and keys of the rows in m_rows, in version order.
  std::set<std::pair<StoreVersion, std::string>> m_rows_by_version;
  size_t m_tombstones = 0;
  // Changes at or before this version may have been dropped.
  StoreVersion m_dropped_version;
  bool m_is_complete = false;
  StoreVersion m_version;
  // Keys of the read in progress, and the version of its first page.
  std::set<std::string> m_read_keys;
  StoreVersion m_read_version;
  bool m_is_reading = false;
  // Copy of a restored store whose first read is in progress; null at other
  // times.
  std::unique_ptr<RowCache> m_next;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROW_CACHE_H_
