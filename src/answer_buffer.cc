// Blocks double in size, within bounds.
#include "answer_buffer.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "memory_budget.h"

namespace bramleybank {

bool AnswerBuffer::Append(std::string_view data) {
  if (m_size + data.size() > kMaxWholeAnswerBytes) {
    return false;
  }
  while (!data.empty()) {
    const bool is_full =
        m_blocks.empty() || m_blocks.back().size() == m_block_capacity;
    if (is_full && !AddBlock(data.size())) {
      return false;
    }
    std::string& block = m_blocks.back();
    const std::string_view part =
        data.substr(0, m_block_capacity - block.size());
    block.append(part);
    m_size += part.size();
    data.remove_prefix(part.size());
  }
  return true;
}

bool AnswerBuffer::AddBlock(size_t wanted) {
  const size_t capacity =
      std::min({std::max({wanted, 2 * m_block_capacity, kMinAnswerBlockBytes}),
                kMaxAnswerBlockBytes, kMaxWholeAnswerBytes - m_size});
  if (!m_budget->ReserveAnswer(capacity, m_reserved + capacity)) {
    return false;
  }
  m_reserved += capacity;
  m_block_capacity = capacity;
  m_blocks.emplace_back().reserve(capacity);
  return true;
}

void AnswerBuffer::Clear() {
  m_budget->ReleaseAnswer(std::exchange(m_reserved, 0));
  m_blocks = {};
  m_block_capacity = 0;
  m_size = 0;
}

}  // namespace bramleybank
