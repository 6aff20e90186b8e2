// Non-blocking output of log lines with a bounded buffer.
#ifndef BRAMLEYBANK_SRC_LOG_OUTPUT_H_
#define BRAMLEYBANK_SRC_LOG_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bramleybank {

/// Writes lines to a descriptor without blocking. Lines that exceed the buffer
/// are dropped and counted; their number is written before the next line that
/// fits.
class LogOutput {
 public:
  /// @param max_pending maximum number of bytes buffered for a slow reader.
  LogOutput(int fd, size_t max_pending);

  void Append(std::string_view line);
  /// Writes as much as possible without blocking.
  void Flush();

  uint64_t dropped() const { return m_dropped; }

 private:
  const int m_fd;
  const size_t m_max_pending;
  std::string m_pending;
  uint64_t m_dropped = 0;
  // Dropped lines that have not been reported in the output yet.
  uint64_t m_unreported_drops = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LOG_OUTPUT_H_
