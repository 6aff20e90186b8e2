// Conditional writes, scans and objects of the platform stand-in.
#include "standin_platform_store.h"

#include <algorithm>
#include <utility>

namespace bramleybank {

bool PlatformStore::HasExpectedVersion(const PlatformWrite& write) const {
  const TableRow* row = Read(write.key);
  return (row != nullptr ? row->version : kNoRow) == write.expected_version;
}

std::optional<uint64_t> PlatformStore::Write(const PlatformWrite& write) {
  if (!HasExpectedVersion(write)) {
    ++m_conflicts;
    return std::nullopt;
  }
  ++m_rows_written;
  TableRow& row = m_rows[write.key];
  row.value = write.value;
  return ++row.version;
}

std::vector<std::optional<uint64_t>> PlatformStore::WriteBatch(
    const std::vector<PlatformWrite>& writes,
    bool atomic) {
  std::vector<std::optional<uint64_t>> results(writes.size());
  const auto matches = [this](const PlatformWrite& write) {
    return HasExpectedVersion(write);
  };
  if (atomic && !std::ranges::all_of(writes, matches)) {
    ++m_conflicts;
    return results;
  }
  for (size_t i = 0; i < writes.size(); ++i) {
    results[i] = Write(writes[i]);
  }
  return results;
}

const TableRow* PlatformStore::Read(std::string_view key) const {
  const auto it = m_rows.find(key);
  return it == m_rows.end() ? nullptr : &it->second;
}

std::vector<PlatformStore::ScannedRow> PlatformStore::Scan(
    std::string_view prefix,
    std::string_view after,
    size_t limit) const {
  std::vector<ScannedRow> found;
  auto it =
      after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
  for (; it != m_rows.end() && found.size() < limit; ++it) {
    if (!it->first.starts_with(prefix)) {
      break;
    }
    found.push_back({it->first, it->second});
  }
  return found;
}

void PlatformStore::PutObject(std::string_view name, std::string bytes) {
  m_objects.insert_or_assign(std::string(name), std::move(bytes));
}

const std::string* PlatformStore::GetObject(std::string_view name) const {
  const auto it = m_objects.find(name);
  return it == m_objects.end() ? nullptr : &it->second;
}

}  // namespace bramleybank
