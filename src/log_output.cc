// Writes in blocks that a writable pipe accepts without blocking.
#include "log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace bramleybank {

LogOutput::LogOutput(int fd, size_t max_pending)
    : m_fd(fd), m_max_pending(max_pending) {}

void LogOutput::Append(std::string_view line) {
  Flush();
  if (m_pending.size() + line.size() > m_max_pending) {
    ++m_dropped;
    ++m_unreported_drops;
    return;
  }
  if (m_unreported_drops > 0) {
    m_pending +=
        "log_lines_dropped=" + std::to_string(m_unreported_drops) + "\n";
    m_unreported_drops = 0;
  }
  m_pending.append(line).append("\n");
  Flush();
}

void LogOutput::Flush() {
  while (!m_pending.empty()) {
    pollfd ready{.fd = m_fd, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    // A pipe that is writable accepts at least PIPE_BUF bytes without blocking.
    const size_t block = std::min<size_t>(m_pending.size(), PIPE_BUF);
    const ssize_t count = write(m_fd, m_pending.data(), block);
    if (count <= 0) {
      return;
    }
    m_pending.erase(0, static_cast<size_t>(count));
  }
}

}  // namespace bramleybank
