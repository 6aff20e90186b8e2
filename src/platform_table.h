// Interface to the platform's transactional table. Besides the object store, it
// is the only storage whose contents outlive the daemons.
#ifndef BRAMLEYBANK_SRC_PLATFORM_TABLE_H_
#define BRAMLEYBANK_SRC_PLATFORM_TABLE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace bramleybank {

/// A row as read. Each write of the row increases its version.
struct TableRow {
  std::string value;
  uint64_t version = 0;

  friend bool operator==(const TableRow&, const TableRow&) = default;
};

enum class TableReadStatus { kFound, kNotFound, kUnavailable };

struct TableReadResult {
  TableReadStatus status = TableReadStatus::kUnavailable;
  /// Set when the status is kFound.
  TableRow row;

  friend bool operator==(const TableReadResult&,
                         const TableReadResult&) = default;
};

enum class TableWriteStatus {
  kWritten,
  /// The row has a different version than expected; nothing was written.
  kConflict,
  /// The write was definitely not carried out.
  kNotWritten,
  /// No answer: the write may have been carried out, or may still be carried
  /// out later.
  kUnknown,
};

struct TableWriteResult {
  TableWriteStatus status = TableWriteStatus::kUnknown;
  /// Version of the row after the write; set when the status is kWritten.
  uint64_t version = 0;

  friend bool operator==(const TableWriteResult&,
                         const TableWriteResult&) = default;
};

/// Expected version that means "the row must not exist".
inline constexpr uint64_t kNoRow = 0;

/// Asynchronous access to the table. Callbacks run on the event loop's thread,
/// never inside the call itself.
class PlatformTable {
 public:
  using ReadCallback = std::function<void(const TableReadResult&)>;
  using WriteCallback = std::function<void(const TableWriteResult&)>;

  virtual ~PlatformTable() = default;

  virtual void Read(std::string_view key, ReadCallback callback) = 0;

  /// Writes the row if it has the expected version.
  /// @param expected_version version from an earlier read or write, or kNoRow.
  virtual void Write(std::string_view key,
                     std::string_view value,
                     uint64_t expected_version,
                     WriteCallback callback) = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PLATFORM_TABLE_H_
