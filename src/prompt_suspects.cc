// Rules for evidence against prompt parts, and which requests they block.
#include "prompt_suspects.h"

#include <algorithm>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

using Parts = std::vector<PromptPartHash>;

void AddPart(PromptPartHash part, Parts* parts) {
  if (parts->size() < kMaxSuspectCompanions &&
      std::ranges::find(*parts, part) == parts->end()) {
    parts->push_back(part);
  }
}

bool Contains(std::span<const PromptPartHash> parts, PromptPartHash part) {
  return std::ranges::find(parts, part) != parts.end();
}

Parts Intersect(const Parts& left, const Parts& right) {
  Parts both;
  std::ranges::copy_if(left, std::back_inserter(both),
                       [&](auto part) { return Contains(right, part); });
  return both;
}

}  // namespace

bool PromptSuspect::IsQuarantined() const {
  return weight >= (is_known ? kKnownQuarantineWeight : kQuarantineWeight);
}

const PromptSuspect* PromptSuspectList::Find(PromptPartHash part) const {
  const auto it = std::ranges::find(m_suspects, part, &PromptSuspect::part);
  return it == m_suspects.end() ? nullptr : &*it;
}

PromptSuspect* PromptSuspectList::FindMutable(PromptPartHash part) {
  const auto it = std::ranges::find(m_suspects, part, &PromptSuspect::part);
  return it == m_suspects.end() ? nullptr : &*it;
}

void PromptSuspectList::AddCrash(const CrashReport& report) {
  for (const ChargedPart& charged : report.parts) {
    Parts others;
    for (const ChargedPart& other : report.parts) {
      if (other.part != charged.part) {
        AddPart(other.part, &others);
      }
    }
    Charge(report, charged, others);
  }
}

void PromptSuspectList::Charge(const CrashReport& report,
                               const ChargedPart& charged,
                               const Parts& others) {
  PromptSuspect* suspect = FindMutable(charged.part);
  if (suspect == nullptr) {
    if (m_suspects.size() >= kMaxPromptSuspects) {
      EvictWeakest();
    }
    m_suspects.push_back({.part = charged.part,
                          .weight = report.weight,
                          .latest_weight = report.weight,
                          .crashes = 1,
                          .open_crashes = 1,
                          .endpoint = report.endpoint,
                          .companions = {},
                          .latest = others});
    return;
  }
  const bool is_same_event = suspect->crashes > charged.known_crashes;
  if (is_same_event && suspect->IsCleared()) {
    return;
  }
  if (is_same_event) {
    for (const PromptPartHash other : others) {
      AddPart(other, &suspect->latest);
    }
    // The requests that only waited at the endpoint are often reported first.
    const int added = std::max(report.weight - suspect->latest_weight, 0);
    suspect->weight = std::min(suspect->weight + added, kMaxCrashWeight);
    suspect->latest_weight += added;
    return;
  }
  if (suspect->endpoint == report.endpoint) {
    return;
  }
  // The last event is left out until the next one, because reports of it may
  // still arrive that name further parts.
  suspect->companions = suspect->open_crashes > 1
                            ? Intersect(suspect->companions, suspect->latest)
                            : suspect->latest;
  suspect->latest = others;
  suspect->endpoint = report.endpoint;
  suspect->weight = std::min(suspect->weight + report.weight, kMaxCrashWeight);
  suspect->latest_weight = report.weight;
  ++suspect->crashes;
  ++suspect->open_crashes;
}

void PromptSuspectList::EvictWeakest() {
  m_suspects.erase(std::ranges::min_element(
      m_suspects, {}, [](const PromptSuspect& suspect) {
        return std::pair(suspect.IsQuarantined(), suspect.weight);
      }));
}

void PromptSuspectList::Clear(PromptPartHash part, int known_crashes) {
  PromptSuspect* suspect = FindMutable(part);
  if (suspect != nullptr && suspect->crashes > known_crashes) {
    suspect->is_known = true;
  } else if (suspect != nullptr) {
    suspect->weight = 0;
    suspect->latest_weight = 0;
    suspect->open_crashes = 0;
    suspect->is_known = true;
    suspect->trials = 0;
    suspect->companions.clear();
    suspect->latest.clear();
  }
}

void PromptSuspectList::MarkKnown(PromptPartHash part) {
  if (PromptSuspect* suspect = FindMutable(part)) {
    suspect->is_known = true;
  }
}

bool PromptSuspectList::ClaimTrial(PromptPartHash part, int trials) {
  PromptSuspect* suspect = FindMutable(part);
  if (suspect == nullptr || !suspect->IsQuarantined() ||
      suspect->trials != trials) {
    return false;
  }
  ++suspect->trials;
  return true;
}

void PromptSuspectList::Forget(PromptPartHash part) {
  std::erase_if(m_suspects, [part](const PromptSuspect& suspect) {
    return suspect.part == part && !suspect.IsQuarantined();
  });
}

void PromptSuspectList::Remove(PromptPartHash part, int crashes) {
  std::erase_if(m_suspects, [part, crashes](const PromptSuspect& suspect) {
    return suspect.part == part && suspect.crashes <= crashes;
  });
}

void PromptSuspectList::Merge(const PromptSuspectList& other) {
  for (const PromptSuspect& suspect : other.m_suspects) {
    MergeSuspect(suspect);
  }
}

void PromptSuspectList::MergeSuspect(const PromptSuspect& suspect) {
  PromptSuspect* known = FindMutable(suspect.part);
  if (known == nullptr) {
    if (m_suspects.size() < kMaxPromptSuspects) {
      m_suspects.push_back(suspect);
    } else if (suspect.IsQuarantined() &&
               !std::ranges::all_of(m_suspects,
                                    &PromptSuspect::IsQuarantined)) {
      EvictWeakest();
      m_suspects.push_back(suspect);
    }
    return;
  }
  const bool is_known = known->is_known || suspect.is_known;
  const int trials = std::max(known->trials, suspect.trials);
  // Crashes before the last answer tell which entry knows of a later one.
  const bool is_same_time = known->crashes - known->open_crashes ==
                            suspect.crashes - suspect.open_crashes;
  const bool is_stronger =
      !known->IsCleared() &&
      (suspect.IsCleared() || known->weight < suspect.weight);
  if (known->crashes < suspect.crashes ||
      (known->crashes == suspect.crashes && is_stronger)) {
    *known = suspect;
  }
  known->is_known = is_known;
  if (is_same_time && !known->IsCleared()) {
    // A trial that only one of them contains has been sent.
    known->trials = trials;
  }
}

bool PromptSuspectList::IsBlocking(
    const PromptSuspect& suspect,
    std::span<const PromptPartHash> parts) const {
  if (!suspect.IsQuarantined() || !Contains(parts, suspect.part)) {
    return false;
  }
  return std::ranges::all_of(suspect.companions, [&](PromptPartHash part) {
    const PromptSuspect* companion = Find(part);
    const bool is_cleared = companion == nullptr || companion->IsCleared() ||
                            (companion->is_known && !suspect.is_known);
    return is_cleared || Contains(parts, part);
  });
}

std::vector<PromptPartHash> PromptSuspectList::FindBlocking(
    std::span<const PromptPartHash> parts) const {
  Parts blocking;
  for (const PromptSuspect& suspect : m_suspects) {
    if (IsBlocking(suspect, parts)) {
      blocking.push_back(suspect.part);
    }
  }
  return blocking;
}

}  // namespace bramleybank
