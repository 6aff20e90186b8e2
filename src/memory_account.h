// The share of one connection in the memory budget of its process.
#ifndef BRAMLEYBANK_SRC_MEMORY_ACCOUNT_H_
#define BRAMLEYBANK_SRC_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <utility>

#include "memory_budget.h"

namespace bramleybank {

/// Opens an account and closes it on destruction. Without a budget every
/// request for memory is granted.
class MemoryAccount {
 public:
  /// @param budget outlives this object; null for no limit.
  MemoryAccount(MemoryBudget* budget, MemoryBudget::OwnerHooks hooks)
      : m_budget(budget),
        m_owner(budget != nullptr ? budget->Open(std::move(hooks)) : 0) {}
  ~MemoryAccount() {
    if (m_budget != nullptr) {
      m_budget->Close(m_owner);
    }
  }
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  /// The methods of MemoryBudget for this owner.
  bool Reserve(size_t bytes) {
    return m_budget == nullptr || m_budget->Reserve(m_owner, bytes);
  }
  void Wait(size_t bytes) {
    if (m_budget != nullptr) {
      m_budget->Wait(m_owner, bytes);
    }
  }
  void CancelWait() {
    if (m_budget != nullptr) {
      m_budget->CancelWait(m_owner);
    }
  }
  void Record(size_t bytes) {
    if (m_budget != nullptr) {
      m_budget->Record(m_owner, bytes);
    }
  }
  void OnProgress() {
    if (m_budget != nullptr) {
      m_budget->OnProgress(m_owner);
    }
  }

 private:
  MemoryBudget* const m_budget;
  const MemoryBudget::OwnerId m_owner;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMORY_ACCOUNT_H_
