// Stores tokens in one buffer with the end offset of each.
#include "stream_token_list.h"

#include <cassert>
#include <limits>

namespace bramleybank {

StreamTokenList::StreamTokenList(
    std::initializer_list<std::string_view> tokens) {
  for (const std::string_view token : tokens) {
    Append(token);
  }
}

void StreamTokenList::Append(std::string_view token) {
  assert(token.size() <= std::numeric_limits<uint32_t>::max() - m_text.size());
  m_text.append(token);
  m_ends.push_back(static_cast<uint32_t>(m_text.size()));
}

void StreamTokenList::AppendFrom(const StreamTokenList& other, size_t index) {
  for (; index < other.size(); ++index) {
    Append(other[index]);
  }
}

void StreamTokenList::Truncate(size_t count) {
  if (count >= size()) {
    return;
  }
  m_ends.resize(count);
  m_text.resize(m_ends.empty() ? 0 : m_ends.back());
}

std::string_view StreamTokenList::operator[](size_t index) const {
  assert(index < size());
  const size_t begin = index == 0 ? 0 : m_ends[index - 1];
  return std::string_view(m_text).substr(begin, m_ends[index] - begin);
}

}  // namespace bramleybank
