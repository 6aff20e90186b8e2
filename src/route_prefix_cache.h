// Estimate of the prompt prefixes that one engine has cached.
#ifndef BRAMLEYBANK_SRC_ROUTE_PREFIX_CACHE_H_
#define BRAMLEYBANK_SRC_ROUTE_PREFIX_CACHE_H_

#include <array>
#include <cstdint>
#include <span>

namespace bramleybank {

enum class CacheChange : uint8_t { kStored, kEvicted, kCleared };

/// One event of an engine's cache.
struct CacheEvent {
  /// Incremented by 1 with each event of one engine.
  uint64_t sequence = 0;
  CacheChange change = CacheChange::kStored;
  /// Hash of the prompt from its start to the end of this block.
  uint64_t prefix_hash = 0;

  friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

/// Fixed-size, set-associative table of prefix hashes; a full set evicts its
/// oldest entry. The table is updated from the engine's events, which may be
/// late and have gaps.
class PrefixCache {
 public:
  /// An event with a sequence already seen is ignored.
  /// @returns false when events before this one were missed.
  bool OnEvent(const CacheEvent& event);

  /// Adds a prefix that the engine has processed for this daemon.
  void Insert(uint64_t prefix_hash);

  /// @param prefix_hashes hashes of successively longer prefixes, shortest
  /// first.
  /// @returns expected number of leading blocks that are cached, discounted
  /// while the estimate is uncertain.
  double CachedBlocks(std::span<const uint64_t> prefix_hashes) const;

  /// Sequence of the last event; the engine is to be asked for the events after
  /// it.
  uint64_t last_sequence() const { return m_last_sequence; }
  /// 1 when no event was missed; halved by a gap.
  double certainty() const { return m_certainty; }
  bool is_uncertain() const { return m_certainty < 1; }

 private:
  static constexpr size_t kWays = 4;
  static constexpr size_t kSets = 256;
  using Set = std::array<uint32_t, kWays>;

  Set& SetOf(uint64_t hash) { return m_sets[hash % kSets]; }
  bool Contains(uint64_t hash) const;
  void Erase(uint64_t hash);

  // Each set is ordered from newest to oldest; 0 is an empty entry.
  std::array<Set, kSets> m_sets{};
  uint64_t m_last_sequence = 0;
  // In (0, 1].
  float m_certainty = 1;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_PREFIX_CACHE_H_
