// Merges reads and changes by row version.
#include "row_cache.h"

#include <algorithm>
#include <vector>

#include "bramleybank/limits.h"

namespace bramleybank {

bool RowCache::AddPage(bool is_first, const StoreRows& page) {
  if (is_first) {
    StartRead(page.version);
  }
  if (m_next) {
    return AddPageOfNextCopy(is_first, page);
  }
  if (!m_is_reading || page.version.era != m_read_version.era) {
    // A later page of a read whose first page is not known.
    return false;
  }
  for (const StoreRow& row : page.rows) {
    m_read_keys.insert(row.key);
    Put(row);
  }
  if (!page.has_more || page.rows.empty()) {
    FinishRead();
  }
  return true;
}

void RowCache::StartRead(const StoreVersion& version) {
  m_next.reset();
  m_read_keys.clear();
  m_read_version = version;
  // Versions grow within an era. A lower one means a restore, also of a store
  // that states no era.
  m_is_reading = version.era == m_version.era && version >= m_version;
  if (!m_is_reading) {
    m_next = std::make_unique<RowCache>();
    m_next->m_version.era = version.era;
  }
}

bool RowCache::AddPageOfNextCopy(bool is_first, const StoreRows& page) {
  m_next->AddPage(is_first, page);
  if (!m_next->is_complete()) {
    return false;
  }
  const std::unique_ptr<RowCache> next = std::move(m_next);
  *this = std::move(*next);
  return true;
}

void RowCache::FinishRead() {
  std::vector<std::string> removed;
  for (const auto& [key, row] : m_rows) {
    if (!row.deleted && row.version <= m_read_version &&
        !m_read_keys.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    Put({.key = key, .value = {}, .version = m_read_version, .deleted = true});
  }
  if (!m_is_complete) {
    // Rows deleted between the older copy and this read are not known.
    m_dropped_version = std::max(m_dropped_version, m_read_version);
  }
  m_is_complete = true;
  m_version = std::max(m_version, m_read_version);
  m_read_keys.clear();
  m_is_reading = false;
}

bool RowCache::AddChanges(const StoreVersion& after, const StoreRows& changes) {
  if (changes.version.era != m_version.era || after.era != m_version.era) {
    return false;
  }
  if (after > m_version) {
    m_is_complete = false;
  }
  for (const StoreRow& row : changes.rows) {
    Put(row);
  }
  m_version = std::max(m_version, changes.version);
  return true;
}

void RowCache::Put(const StoreRow& row) {
  const auto it = m_rows.find(row.key);
  if (it != m_rows.end()) {
    if (it->second.version > row.version) {
      return;
    }
    m_rows_by_version.erase({it->second.version, row.key});
    m_tombstones -= it->second.deleted ? 1 : 0;
    it->second = row;
  } else {
    m_rows.emplace(row.key, row);
  }
  m_rows_by_version.emplace(row.version, row.key);
  m_tombstones += row.deleted ? 1 : 0;
  DropOldestTombstone();
}

void RowCache::DropOldestTombstone() {
  if (m_tombstones <= kMaxRelayTombstones) {
    return;
  }
  const auto oldest = std::ranges::find_if(
      m_rows_by_version,
      [this](const auto& item) { return m_rows.at(item.second).deleted; });
  m_dropped_version = std::max(m_dropped_version, oldest->first);
  m_rows.erase(oldest->second);
  m_rows_by_version.erase(oldest);
  --m_tombstones;
}

std::optional<StoreRows> RowCache::ChangesAfter(
    const StoreVersion& version) const {
  if (!m_is_complete || version.era != m_version.era ||
      version < m_dropped_version) {
    return std::nullopt;
  }
  StoreRows changes{.result = StoreResult::kOk, .version = m_version};
  size_t bytes = 0;
  const StoreVersion first(version.number + 1, version.era);
  for (auto it = m_rows_by_version.lower_bound({first, std::string()});
       it != m_rows_by_version.end(); ++it) {
    const StoreRow& row = m_rows.at(it->second);
    bytes += row.key.size() + row.value.size();
    if (bytes > kMaxRelayAnswerBytes && !changes.rows.empty() &&
        changes.rows.back().version != row.version) {
      // The next wait returns the rest. Rows of one version stay together.
      changes.version = changes.rows.back().version;
      break;
    }
    changes.rows.push_back(row);
  }
  return changes;
}

StoreRows RowCache::PageAfter(const std::string& after) const {
  StoreRows page{.result = StoreResult::kOk, .version = m_version};
  size_t bytes = 0;
  for (auto it = after.empty() ? m_rows.begin() : m_rows.upper_bound(after);
       it != m_rows.end(); ++it) {
    if (it->second.deleted) {
      continue;
    }
    bytes += it->first.size() + it->second.value.size();
    if (bytes > kMaxRelayAnswerBytes && !page.rows.empty()) {
      page.has_more = true;
      break;
    }
    page.rows.push_back(it->second);
  }
  return page;
}

}  // namespace bramleybank
