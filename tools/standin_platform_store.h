// Stored state of the platform stand-in: table rows and objects.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_STORE_H_
#define BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform_table.h"

namespace bramleybank {

/// One conditional write.
struct PlatformWrite {
  std::string key;
  std::string value;
  uint64_t expected_version = kNoRow;

  friend bool operator==(const PlatformWrite&, const PlatformWrite&) = default;
};

/// Rows and objects in memory.
class PlatformStore {
 public:
  struct ScannedRow {
    std::string key;
    TableRow row;
  };

  /// @returns the new version, or nothing on a conflict.
  std::optional<uint64_t> Write(const PlatformWrite& write);

  /// Performs the writes independently of each other or, if `atomic`, all or
  /// none of them.
  /// @returns one result of Write() for each write.
  std::vector<std::optional<uint64_t>> WriteBatch(
      const std::vector<PlatformWrite>& writes,
      bool atomic);

  /// @returns the row, or nullptr.
  const TableRow* Read(std::string_view key) const;

  /// @returns up to `limit` rows in key order whose key starts with `prefix`
  /// and is greater than `after`.
  std::vector<ScannedRow> Scan(std::string_view prefix,
                               std::string_view after,
                               size_t limit) const;

  void PutObject(std::string_view name, std::string bytes);
  /// @returns the object, or nullptr.
  const std::string* GetObject(std::string_view name) const;

  uint64_t rows_written() const { return m_rows_written; }
  uint64_t conflicts() const { return m_conflicts; }

 private:
  bool HasExpectedVersion(const PlatformWrite& write) const;

  std::map<std::string, TableRow, std::less<>> m_rows;
  std::map<std::string, std::string, std::less<>> m_objects;
  uint64_t m_rows_written = 0;
  uint64_t m_conflicts = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_STORE_H_
