// Image of one table of the metadata store, with its latest changes, from which
// a relay answers other gateways.
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

/// Rows by key and by version. A row never goes back to an older version,
/// whatever order answers arrive in.
class RowCache {
 public:
  /// Takes one page of a read of the whole table; the last one completes the
  /// image. Rows that the read does not contain are gone.
  void AddPage(bool is_first, const StoreRows& page);
  /// Takes the answer to a wait for changes after `after`. An answer that does
  /// not join the image makes it incomplete.
  void AddChanges(uint64_t after, const StoreRows& changes);

  /// @returns whether the image holds the whole table.
  bool is_complete() const { return m_is_complete; }
  /// Version of the store that the image reflects.
  uint64_t version() const { return m_version; }

  /// @returns the changes after `version` in their order, or nothing when they
  /// are no longer kept.
  std::optional<StoreRows> ChangesAfter(uint64_t version) const;
  /// @returns rows whose keys are above `after`, as many as fit in an answer.
  StoreRows PageAfter(const std::string& after) const;

 private:
  void Put(const StoreRow& row);
  void FinishRead();
  void DropOldTombstones();

  // Deleted rows stay, without values, for gateways that still have them.
  std::map<std::string, StoreRow> m_rows;
  // The same rows as in m_rows, in the order of their changes.
  std::set<std::pair<uint64_t, std::string>> m_order;
  size_t m_tombstones = 0;
  // Changes at or before this version may have been dropped.
  uint64_t m_floor = 0;
  bool m_is_complete = false;
  uint64_t m_version = 0;
  // Keys of the read in progress, and the version of its first page.
  std::set<std::string> m_read_keys;
  uint64_t m_read_version = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROW_CACHE_H_
