// Body of an answer that is passed on as a whole.
#ifndef BRAMLEYBANK_SRC_ANSWER_BUFFER_H_
#define BRAMLEYBANK_SRC_ANSWER_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "bramleybank/limits.h"

namespace bramleybank {

/// Collects one body within a limit of its own and one that all bodies share.
class AnswerBuffer {
 public:
  /// @param total bytes of all buffers; outlives this object.
  explicit AnswerBuffer(size_t* total) : m_total(total) {}
  ~AnswerBuffer() { Clear(); }
  AnswerBuffer(const AnswerBuffer&) = delete;
  AnswerBuffer& operator=(const AnswerBuffer&) = delete;

  /// @returns false, without a change, when a limit would be passed.
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
  // Invariant: its size is part of *m_total.
  std::string m_bytes;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ANSWER_BUFFER_H_
