// Set-associative table of prefix hashes with the sequence check of events.
#include "route_prefix_cache.h"

#include <algorithm>

namespace bramleybank {
namespace {

// The set is selected by the low bits of the hash, so the tag uses the high
// ones.
uint32_t TagOf(uint64_t hash) {
  const auto tag = static_cast<uint32_t>(hash >> 32U);
  return tag == 0 ? 1 : tag;
}

constexpr float kGapFactor = 0.5F;
// A missed change affects the estimate until its entry is replaced. After about
// as many events as the table has entries, the estimate is as good as before
// the gap.
constexpr float kRecoveryPerEvent = 1.0F / 1024;

}  // namespace

bool PrefixCache::OnEvent(const CacheEvent& event) {
  if (m_last_sequence != 0 && event.sequence <= m_last_sequence) {
    return true;
  }
  const bool has_gap = event.sequence != m_last_sequence + 1;
  m_last_sequence = event.sequence;
  if (has_gap) {
    m_certainty *= kGapFactor;
  } else {
    m_certainty = std::min(1.0F, m_certainty + kRecoveryPerEvent);
  }
  switch (event.change) {
    case CacheChange::kStored:
      Insert(event.prefix_hash);
      break;
    case CacheChange::kEvicted:
      Erase(event.prefix_hash);
      break;
    case CacheChange::kCleared:
      m_sets.fill(Set{});
      m_certainty = 1;
      break;
  }
  return !has_gap;
}

void PrefixCache::Insert(uint64_t prefix_hash) {
  Set& set = SetOf(prefix_hash);
  auto* entry = std::ranges::find(set, TagOf(prefix_hash));
  if (entry == set.end()) {
    entry = set.end() - 1;
    *entry = TagOf(prefix_hash);
  }
  std::rotate(set.begin(), entry, entry + 1);
}

void PrefixCache::Erase(uint64_t hash) {
  Set& set = SetOf(hash);
  auto* entry = std::ranges::find(set, TagOf(hash));
  if (entry != set.end()) {
    *entry = 0;
    std::rotate(entry, entry + 1, set.end());
  }
}

bool PrefixCache::Contains(uint64_t hash) const {
  const Set& set = m_sets[hash % kSets];
  return std::ranges::find(set, TagOf(hash)) != set.end();
}

double PrefixCache::CachedBlocks(
    std::span<const uint64_t> prefix_hashes) const {
  const auto missing = std::ranges::find_if_not(
      prefix_hashes, [this](uint64_t hash) { return Contains(hash); });
  return static_cast<double>(missing - prefix_hashes.begin()) * m_certainty;
}

}  // namespace bramleybank
