// Bounded output of log lines that never blocks the process.
#ifndef BRAMLEYBANK_SRC_LOG_OUTPUT_H_
#define BRAMLEYBANK_SRC_LOG_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bramleybank {

/// Writes lines to a descriptor as far as its reader keeps up. Lines above the
/// bound are dropped and counted; the next line that is written tells how many.
class LogOutput {
 public:
  /// @param max_pending bytes kept for a reader that does not keep up.
  LogOutput(int fd, size_t max_pending);

  void Append(std::string_view line);
  /// Writes what the reader takes now.
  void Flush();

  uint64_t dropped() const { return m_dropped; }

 private:
  const int m_fd;
  const size_t m_max_pending;
  std::string m_pending;
  uint64_t m_dropped = 0;
  // Dropped lines that no line has told of.
  uint64_t m_untold = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LOG_OUTPUT_H_
