// Buffer for a response body that is forwarded only once it is complete.
#ifndef BRAMLEYBANK_SRC_ANSWER_BUFFER_H_
#define BRAMLEYBANK_SRC_ANSWER_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "bramleybank/limits.h"

namespace bramleybank {

/// Collects one body. Its size is limited per body, and the sum of all buffered
/// bodies has a limit of its own.
class AnswerBuffer {
 public:
  /// @param total bytes in all buffers together; outlives this object.
  explicit AnswerBuffer(size_t* total) : m_total(total) {}
  ~AnswerBuffer() { Clear(); }
  AnswerBuffer(const AnswerBuffer&) = delete;
  AnswerBuffer& operator=(const AnswerBuffer&) = delete;

  /// @returns false, leaving the buffer unchanged, when `data` would exceed one
  /// of the limits.
  bool Append(std::string_view data) {
    if (m_bytes.size() + data.size() > kMaxWholeAnswerBytes ||
        *m_total + data.size() > kMaxBufferedAnswerBytes) {
      return false;
    }
    m_bytes.append(data);
    *m_total += data.size();
    return true;
  }
  void Clear() {
    *m_total -= m_bytes.size();
    m_bytes = {};
  }
  const std::string& bytes() const { return m_bytes; }

 private:
  size_t* m_total;
  // Invariant: the size of m_bytes is included in *m_total.
  std::string m_bytes;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ANSWER_BUFFER_H_
