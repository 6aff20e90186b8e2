// Judges crashes, merges the evidence of all gateways, and decides on trials.
#include "suspect_tracker.h"

#include <algorithm>
#include <set>

#include "bramleybank/limits.h"

namespace bramleybank {
const char* NameOf(CrashVerdict verdict) {
  switch (verdict) {
    case CrashVerdict::kCharged:
      return "charged";
    case CrashVerdict::kRelated:
      return "related";
    case CrashVerdict::kCleared:
      return "cleared";
    case CrashVerdict::kDropped:
      return "dropped";
  }
  return "";
}

void SuspectTracker::OnLost(std::string_view endpoint, TimePoint now) {
  m_losses.push_back({.endpoint = std::string(endpoint), .at = now});
  while (m_losses.size() > kMaxRecentLosses ||
         now - m_losses.front().at > 2 * kCrashHoldTime) {
    m_losses.pop_front();
  }
}

void SuspectTracker::OnCrash(std::span<const PromptPartHash> parts,
                             std::string_view endpoint,
                             bool has_head,
                             TimePoint now) {
  CrashReport report;
  report.endpoint = endpoint;
  for (const PromptPartHash part : parts) {
    report.parts.push_back(
        {.part = part, .known_crashes = KnownCrashes(part, now)});
  }
  if (report.parts.empty()) {
    return;
  }
  if (m_held.size() >= kMaxHeldCrashes) {
    const auto weak =
        has_head ? std::ranges::find(m_held, false, &HeldCrash::has_head)
                 : m_held.end();
    if (weak == m_held.end()) {
      m_hooks.on_verdict(CrashVerdict::kDropped, report);
      return;
    }
    m_hooks.on_verdict(CrashVerdict::kDropped, weak->report);
    m_held.erase(weak);
  }
  m_held.push_back(
      {.report = std::move(report), .has_head = has_head, .at = now});
}

int SuspectTracker::KnownCrashes(PromptPartHash part, TimePoint now) const {
  const auto it = m_knowledge.find(part);
  if (it == m_knowledge.end()) {
    return 0;
  }
  const bool is_settled = now - it->second.crashes_at >= kCrashSettleTime;
  return is_settled ? it->second.crashes : it->second.earlier_crashes;
}

void SuspectTracker::OnBegun(std::span<const PromptPartHash> parts,
                             TimePoint now) {
  for (const PromptPartHash part : parts) {
    m_begun.Add(part);
    for (HeldCrash& crash : m_held) {
      std::erase_if(crash.report.parts, [part](const ChargedPart& charged) {
        return charged.part == part;
      });
    }
    // The crashes in the view are older than this answer.
    const PromptSuspect* suspect = m_view.Find(part);
    if (suspect != nullptr && !suspect->IsCleared()) {
      AddChange(ClearedPart{.part = part, .known_crashes = suspect->crashes},
                suspect->IsQuarantined(), now);
    }
  }
}

void SuspectTracker::Advance(TimePoint now) {
  std::vector<HeldCrash> due;
  std::erase_if(m_held, [&](HeldCrash& crash) {
    if (now - crash.at < kCrashHoldTime) {
      return false;
    }
    due.push_back(std::move(crash));
    return true;
  });
  for (HeldCrash& crash : due) {
    Judge(&crash, now);
  }
  if (m_mark_at && now >= *m_mark_at) {
    MarkKnownParts(now);
  }
}

size_t SuspectTracker::EndpointsLostAround(TimePoint at) const {
  std::set<std::string_view> endpoints;
  for (const Loss& loss : m_losses) {
    if (loss.at >= at - kCrashHoldTime && loss.at <= at + kCrashHoldTime) {
      endpoints.insert(loss.endpoint);
    }
  }
  return endpoints.size();
}

bool SuspectTracker::IsKnown(PromptPartHash part) const {
  const PromptSuspect* suspect = m_view.Find(part);
  return m_begun.Contains(part) || (suspect != nullptr && suspect->is_known);
}

bool SuspectTracker::IsUnconfirmed(const CrashReport& report) const {
  return m_is_store_away && report.weight < kCrashWeight &&
         std::ranges::any_of(report.parts, [&](const ChargedPart& charged) {
           const PromptSuspect* suspect = m_view.Find(charged.part);
           return IsKnown(charged.part) && suspect != nullptr &&
                  !suspect->IsQuarantined() &&
                  suspect->weight + report.weight >= kKnownQuarantineWeight;
         });
}

void SuspectTracker::Judge(HeldCrash* crash, TimePoint now) {
  ForgetOld(now);
  CrashReport& report = crash->report;
  if (report.parts.empty()) {
    m_hooks.on_verdict(CrashVerdict::kCleared, report);
    return;
  }
  // An endpoint that had sent the head of its answer was about to write exactly
  // this answer, however many others were lost beside it.
  const bool is_weak = !crash->has_head;
  const bool is_related =
      is_weak && EndpointsLostAround(crash->at) >= kMinRelatedCrashes;
  const bool has_new_part = std::ranges::any_of(
      report.parts, [this](const auto& p) { return !IsKnown(p.part); });
  if (has_new_part) {
    // An answer to the other parts has begun before, so that a part of which
    // this is not known explains the crash better.
    std::erase_if(report.parts, [this](const ChargedPart& charged) {
      return IsKnown(charged.part);
    });
  }
  report.weight = !is_weak       ? kCrashWeight
                  : has_new_part ? kWeakCrashWeight
                                 : kKnownWeakCrashWeight;
  if (IsUnconfirmed(report)) {
    m_hooks.on_verdict(CrashVerdict::kDropped, report);
    return;
  }
  m_hooks.on_verdict(
      is_related ? CrashVerdict::kRelated : CrashVerdict::kCharged, report);
  const std::vector<ChargedPart> charged_parts = report.parts;
  AddChange(std::move(report), /*is_urgent=*/true, now);
  for (const ChargedPart& charged : charged_parts) {
    const PromptSuspect* suspect = m_view.Find(charged.part);
    if (suspect != nullptr && !suspect->is_known &&
        m_begun.Contains(charged.part)) {
      AddChange(KnownPart{charged.part}, /*is_urgent=*/true, now);
    }
  }
}

void SuspectTracker::AddChange(Change change, bool is_urgent, TimePoint now) {
  if (!is_urgent && m_changes.empty()) {
    m_next_write = std::max(m_next_write,
                            now + Spread(kSuspectMarkSpread, m_hooks.random));
  } else if (is_urgent && m_conflicts == 0) {
    m_next_write = now;
  }
  m_changes.push_back(std::move(change));
  UpdateView(now);
}

bool SuspectTracker::Apply(const Change& change, PromptSuspectList* list) {
  if (const auto* report = std::get_if<CrashReport>(&change)) {
    list->AddCrash(*report);
  } else if (const auto* cleared = std::get_if<ClearedPart>(&change)) {
    list->Clear(cleared->part, cleared->known_crashes);
  } else if (const auto* known = std::get_if<KnownPart>(&change)) {
    list->MarkKnown(known->part);
  } else if (const auto* forgotten = std::get_if<ForgottenPart>(&change)) {
    list->Forget(forgotten->part);
  } else if (const auto* claim = std::get_if<TrialClaim>(&change)) {
    // All of its parts, or none.
    PromptSuspectList claimed = *list;
    const bool is_possible =
        !claim->parts.empty() &&
        std::ranges::all_of(claim->parts, [&claimed](const auto& part) {
          return claimed.ClaimTrial(part.first, part.second);
        });
    if (is_possible) {
      *list = std::move(claimed);
    }
    return is_possible;
  }
  return true;
}

void SuspectTracker::UpdateView(TimePoint now) {
  while (m_changes.size() > kMaxSuspectChanges + m_sent) {
    DropChanges();
  }
  const PromptSuspectList before = std::exchange(m_view, MergedRow());
  for (const Change& change : m_changes) {
    Apply(change, &m_view);
  }
  if (m_view == before) {
    return;
  }
  for (const PromptSuspect& suspect : before.suspects()) {
    const PromptSuspect* current = m_view.Find(suspect.part);
    if (current == nullptr) {
      m_knowledge.erase(suspect.part);
    }
    if (!suspect.IsCleared() && (current == nullptr || current->IsCleared())) {
      m_hooks.on_cleared(suspect);
    }
  }
  // A copy, because the hooks may call this object.
  const std::vector<PromptSuspect> suspects = m_view.suspects();
  for (const PromptSuspect& suspect : suspects) {
    UpdateKnowledge(suspect, now);
  }
}

void SuspectTracker::UpdateKnowledge(const PromptSuspect& suspect,
                                     TimePoint now) {
  Knowledge& knowledge = m_knowledge[suspect.part];
  if (knowledge.crashes != suspect.crashes) {
    // Crashes that were settled before stay so when several are learned in a
    // row.
    if (now - knowledge.crashes_at >= kCrashSettleTime) {
      knowledge.earlier_crashes = knowledge.crashes;
    }
    knowledge.crashes = suspect.crashes;
    knowledge.crashes_at = now;
  }
  const bool was_quarantined =
      std::exchange(knowledge.is_quarantined, suspect.IsQuarantined());
  if (knowledge.trials != suspect.trials ||
      was_quarantined != knowledge.is_quarantined) {
    knowledge.trials = suspect.trials;
    knowledge.trials_at = now;
  }
  if (knowledge.is_quarantined && !was_quarantined) {
    m_hooks.on_quarantined(suspect);
  }
}

void SuspectTracker::MarkKnownParts(TimePoint now) {
  m_mark_at.reset();
  const std::vector<PromptSuspect> suspects = m_view.suspects();
  for (const PromptSuspect& suspect : suspects) {
    if (!suspect.is_known && m_begun.Contains(suspect.part)) {
      AddChange(KnownPart{suspect.part}, /*is_urgent=*/true, now);
    }
  }
}

void SuspectTracker::ForgetOld(TimePoint now) {
  const std::vector<PromptSuspect> suspects = m_view.suspects();
  for (const PromptSuspect& suspect : suspects) {
    const auto it = m_knowledge.find(suspect.part);
    if (!suspect.IsQuarantined() && it != m_knowledge.end() &&
        now - it->second.crashes_at >= kPromptSuspectTime) {
      AddChange(ForgottenPart{suspect.part}, /*is_urgent=*/false, now);
    }
  }
}

bool SuspectTracker::IsBusy() const {
  return !m_held.empty() || !m_changes.empty() || m_mark_at ||
         m_memory.is_pending();
}

std::optional<SuspectTracker::Write> SuspectTracker::NextWrite(TimePoint now) {
  const bool is_due = !m_changes.empty() || m_memory.IsDue(now);
  if (m_is_writing || m_waits_for_row || !is_due || now < m_next_write) {
    return std::nullopt;
  }
  if (!HasNewerRow() && now < m_row_expected_until) {
    return std::nullopt;
  }
  PromptSuspectList list = MergedRow();
  for (Change& change : m_changes) {
    const bool is_possible = Apply(change, &list);
    if (auto* claim = std::get_if<TrialClaim>(&change)) {
      claim->is_written = is_possible;
    }
  }
  m_sent = m_changes.size();
  if (list == m_row) {
    EndClaims(/*written=*/false);
    RemoveWritten();
    m_memory.OnContained();
    UpdateView(now);
    return std::nullopt;
  }
  m_is_writing = true;
  m_write_base = m_row_version;
  return Write{
      .value = list.Encode(),
      .expected_version = m_row_exists ? m_row_version : StoreVersion()};
}

void SuspectTracker::OnWritten(StoreResult result, TimePoint now) {
  m_is_writing = false;
  if (std::exchange(m_is_write_outdated, false)) {
    // Whatever the answer, the row of this era tells what has been written.
    return;
  }
  m_is_store_away = result == StoreResult::kUnavailable;
  EndClaims(result == StoreResult::kOk);
  if (result == StoreResult::kOk) {
    m_conflicts = 0;
    m_waits_for_row = !HasNewerRow();
    if (!m_waits_for_row) {
      RemoveWritten();
    }
    UpdateView(now);
    return;
  }
  m_sent = 0;
  if (result != StoreResult::kConflict) {
    m_next_write = now + EqualJitter(kSuspectRetryDelay, m_hooks.random);
  } else if (++m_conflicts > kMaxSuspectConflicts) {
    m_conflicts = 0;
    m_next_write = now + EqualJitter(kSuspectRetryDelay, m_hooks.random);
    while (!m_changes.empty()) {
      DropChanges();
    }
  } else {
    m_next_write =
        now + EqualJitter(kSuspectConflictPause * m_conflicts, m_hooks.random);
    m_row_expected_until = now + kSuspectRowWait;
  }
  UpdateView(now);
}

void SuspectTracker::RemoveWritten() {
  m_changes.erase(m_changes.begin(),
                  m_changes.begin() + static_cast<std::ptrdiff_t>(m_sent));
  m_sent = 0;
}

void SuspectTracker::EndClaims(bool written) {
  std::vector<std::pair<TrialCallback, bool>> ended;
  for (size_t i = m_sent; i-- > 0;) {
    auto* claim = std::get_if<TrialClaim>(&m_changes[i]);
    if (claim != nullptr && claim->callback) {
      ended.emplace_back(std::exchange(claim->callback, nullptr),
                         written && claim->is_written);
      if (!written) {
        // It may have taken effect, so that it must not be made again.
        m_changes.erase(m_changes.begin() + static_cast<std::ptrdiff_t>(i));
        --m_sent;
      }
    }
  }
  for (const auto& [callback, is_granted] : ended) {
    callback(is_granted);
  }
}

void SuspectTracker::DropChanges() {
  const auto first = m_changes.begin() + static_cast<std::ptrdiff_t>(m_sent);
  const auto weak =
      std::find_if(first, m_changes.end(), [](const auto& change) {
        const auto* report = std::get_if<CrashReport>(&change);
        return report != nullptr && report->weight < kCrashWeight;
      });
  const auto position = weak != m_changes.end() ? weak : first;
  Change dropped = std::move(*position);
  m_changes.erase(position);
  if (const auto* report = std::get_if<CrashReport>(&dropped)) {
    m_hooks.on_verdict(CrashVerdict::kDropped, *report);
  } else if (auto* claim = std::get_if<TrialClaim>(&dropped)) {
    if (claim->callback) {
      claim->callback(false);
    }
  }
}

bool SuspectTracker::IsTrialDue(std::span<const PromptPartHash> blocking,
                                TimePoint now) const {
  return RemainingTime(blocking, now) == Duration::zero();
}

std::optional<Duration> SuspectTracker::RemainingTime(
    std::span<const PromptPartHash> blocking,
    TimePoint now) const {
  Duration remaining = Duration::zero();
  for (const PromptPartHash part : blocking) {
    const auto it = m_knowledge.find(part);
    if (it == m_knowledge.end()) {
      return std::nullopt;
    }
    const int doublings = std::min(it->second.trials, kMaxQuarantineDoublings);
    const TimePoint due_at =
        it->second.trials_at + kQuarantineTime * (1 << doublings);
    remaining = std::max(remaining, due_at - now);
  }
  return remaining;
}

void SuspectTracker::RequestTrial(std::span<const PromptPartHash> blocking,
                                  TrialCallback callback,
                                  TimePoint now) {
  TrialClaim claim;
  claim.callback = std::move(callback);
  for (const PromptPartHash part : blocking) {
    const PromptSuspect* suspect = m_view.Find(part);
    if (suspect != nullptr) {
      claim.parts.emplace_back(part, suspect->trials);
    }
  }
  AddChange(std::move(claim), /*is_urgent=*/true, now);
}

}  // namespace bramleybank
