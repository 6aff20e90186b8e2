// Bounded memory of the prompt parts to which an answer has begun.
#ifndef BRAMLEYBANK_SRC_BEGUN_PARTS_H_
#define BRAMLEYBANK_SRC_BEGUN_PARTS_H_

#include <unordered_set>
#include <utility>

#include "bramleybank/limits.h"
#include "prompt_part.h"

namespace bramleybank {

/// Remembers at least the last kMaxBegunParts / 2 parts.
class BegunParts {
 public:
  void Add(PromptPartHash part) {
    if (m_recent.size() >= kMaxBegunParts / 2) {
      m_older = std::exchange(m_recent, {});
    }
    m_recent.insert(part);
  }
  bool Contains(PromptPartHash part) const {
    return m_recent.contains(part) || m_older.contains(part);
  }
  size_t size() const { return m_recent.size() + m_older.size(); }

 private:
  std::unordered_set<PromptPartHash> m_recent;
  std::unordered_set<PromptPartHash> m_older;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_BEGUN_PARTS_H_
