// Buffer for a response body that is forwarded only once it is complete.
#ifndef BRAMLEYBANK_SRC_ANSWER_BUFFER_H_
#define BRAMLEYBANK_SRC_ANSWER_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bramleybank {

class MemoryBudget;

/// Collects one body. Its size is limited per body, and the budget limits the
/// memory of all buffered bodies. A body is kept in blocks: one string would be
/// copied as it grows, and would take up to three times the body meanwhile.
class AnswerBuffer {
 public:
  /// @param budget outlives this object.
  explicit AnswerBuffer(MemoryBudget* budget) : m_budget(budget) {}
  ~AnswerBuffer() { Clear(); }
  AnswerBuffer(const AnswerBuffer&) = delete;
  AnswerBuffer& operator=(const AnswerBuffer&) = delete;

  /// @returns false when `data` would exceed one of the limits. A part of it
  /// may have been appended.
  bool Append(std::string_view data);
  void Clear();
  /// The body, in order.
  const std::vector<std::string>& blocks() const { return m_blocks; }

 private:
  bool AddBlock(size_t wanted);

  MemoryBudget* m_budget;
  // Invariant: no block is reallocated.
  std::vector<std::string> m_blocks;
  // Capacity of the last block as reserved. That of the string may be larger.
  size_t m_block_capacity = 0;
  size_t m_size = 0;
  // Memory that is reserved in the budget: the capacities of all blocks.
  size_t m_reserved = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ANSWER_BUFFER_H_
