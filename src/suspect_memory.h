// What the row of suspects said before the store was restored from an older
// copy.
#ifndef BRAMLEYBANK_SRC_SUSPECT_MEMORY_H_
#define BRAMLEYBANK_SRC_SUSPECT_MEMORY_H_

#include <deque>
#include <optional>
#include <utility>

#include "hooks.h"
#include "prompt_suspects.h"

namespace bramleybank {

/// Knowledge of one gateway that a restore may have taken out of the row. It is
/// pending from the restore until the row contains it again.
class SuspectMemory {
 public:
  /// The row has changed within one era.
  void OnChanged(const PromptSuspectList& before,
                 const PromptSuspectList& after);
  /// The row has been deleted within one era, by an operator: what is pending
  /// must not be written again.
  void OnDeleted() { m_due_at.reset(); }
  /// The row has another era than `before`.
  /// @param due_at when this gateway may write only to bring back the rest.
  void OnRestored(const PromptSuspectList& before, TimePoint due_at);
  /// The row contains all that was pending.
  void OnContained() { m_due_at.reset(); }

  /// Adds what is pending. Can be repeated without harm.
  void MergeInto(PromptSuspectList* list) const;
  bool is_pending() const { return m_due_at.has_value(); }
  bool IsDue(TimePoint now) const { return m_due_at && now >= *m_due_at; }

 private:
  // List of the last era.
  PromptSuspectList m_list;
  // Quarantined parts that have been removed from the row, and their crashes.
  std::deque<std::pair<PromptPartHash, int>> m_lifted;
  std::optional<TimePoint> m_due_at;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_SUSPECT_MEMORY_H_
