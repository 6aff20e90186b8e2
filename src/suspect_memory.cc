// Keeps the last list of an era and the quarantines that had ended before.
#include "suspect_memory.h"

#include <algorithm>

#include "bramleybank/limits.h"

namespace bramleybank {

void SuspectMemory::OnChanged(const PromptSuspectList& before,
                              const PromptSuspectList& after) {
  for (const PromptSuspect& suspect : before.suspects()) {
    if (suspect.IsQuarantined() && after.Find(suspect.part) == nullptr) {
      m_lifted.emplace_back(suspect.part, suspect.crashes);
    }
  }
  std::erase_if(m_lifted, [&after](const auto& lifted) {
    return after.Find(lifted.first) != nullptr;
  });
  while (m_lifted.size() > kMaxPromptSuspects) {
    m_lifted.pop_front();
  }
}

void SuspectMemory::OnRestored(const PromptSuspectList& before,
                               TimePoint due_at) {
  // A second restore may come before the row contains all of the first.
  PromptSuspectList list = before;
  MergeInto(&list);
  m_list = std::move(list);
  m_due_at = due_at;
}

void SuspectMemory::MergeInto(PromptSuspectList* list) const {
  if (!m_due_at) {
    return;
  }
  for (const auto& [part, crashes] : m_lifted) {
    list->Remove(part, crashes);
  }
  list->Merge(m_list);
}

}  // namespace bramleybank
