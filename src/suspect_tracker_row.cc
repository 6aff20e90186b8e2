// Takes over the row, also that of a store which was restored from an older
// copy.
#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "suspect_tracker.h"

namespace bramleybank {

void SuspectTracker::OnRow(const StoreRow& row, TimePoint now) {
  const bool is_same_era = row.version.era == m_row_version.era;
  if (is_same_era && row.version <= m_row_version) {
    return;
  }
  const bool is_first = m_row_version == StoreVersion();
  if (!is_same_era && !is_first) {
    OnRestored(now);
  }
  const PromptSuspectList before =
      std::exchange(m_row, row.deleted ? PromptSuspectList()
                                       : PromptSuspectList::Decode(row.value));
  m_row_exists = !row.deleted;
  m_row_version = row.version;
  m_is_store_away = false;
  if (is_same_era) {
    m_memory.OnChanged(before, m_row);
  }
  if (is_same_era && row.deleted) {
    m_memory.OnDeleted();
  }
  if (m_waits_for_row && HasNewerRow()) {
    m_waits_for_row = false;
    RemoveWritten();
  }
  if (MergedRow() == m_row) {
    m_memory.OnContained();
  } else if (!is_same_era) {
    m_hooks.on_row_outdated();
  }
  // Before the view changes, because a new quarantine cancels attempts.
  const std::vector<PromptSuspect> suspects = m_row.suspects();
  for (const PromptSuspect& suspect : suspects) {
    const PromptSuspect* viewed = m_view.Find(suspect.part);
    if (suspect.IsQuarantined() && !suspect.is_known &&
        m_begun.Contains(suspect.part) &&
        (viewed == nullptr || !viewed->is_known)) {
      AddChange(KnownPart{suspect.part}, /*is_urgent=*/false, now);
    }
  }
  UpdateView(now);
  const bool has_news = std::ranges::any_of(
      m_row.suspects(), [this](const PromptSuspect& suspect) {
        return !suspect.is_known && m_begun.Contains(suspect.part);
      });
  if (has_news && !m_mark_at) {
    m_mark_at = now + Spread(kSuspectMarkSpread, m_hooks.random);
  }
}

void SuspectTracker::OnAllRows(const std::string& key,
                               const StoreVersion& version,
                               TimePoint now) {
  const bool is_first = m_row_version == StoreVersion();
  if (is_first && version != StoreVersion()) {
    // A write that was accepted before may be lost.
    OnRestored(now);
  }
  if (is_first || version.era != m_row_version.era) {
    OnRow({.key = key, .value = {}, .version = version, .deleted = true}, now);
  }
}

void SuspectTracker::OnRestored(TimePoint now) {
  const Duration wait = Spread(kSuspectRestoreSpread, m_hooks.random);
  m_memory.OnRestored(m_row, m_hooks.is_reader()
                                 ? now + wait
                                 : now + kSuspectRestoreSpread +
                                       kSuspectFollowerSpreads * wait);
  // The row may lack what was written before. Changes can be applied twice.
  EndClaims(/*written=*/false);
  m_sent = 0;
  m_waits_for_row = false;
  m_is_write_outdated = m_is_writing;
  m_write_base = {};
}

PromptSuspectList SuspectTracker::MergedRow() const {
  PromptSuspectList list = m_row;
  m_memory.MergeInto(&list);
  return list;
}

bool SuspectTracker::HasNewerRow() const {
  return m_row_version.era != m_write_base.era || m_row_version > m_write_base;
}

}  // namespace bramleybank
