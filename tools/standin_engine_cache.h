// Model of an engine's prompt-prefix cache: blocks of prompt tokens with LRU
// eviction. Changes are published as numbered events.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_ENGINE_CACHE_H_
#define BRAMLEYBANK_TOOLS_STANDIN_ENGINE_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hooks.h"

namespace bramleybank::standin {

/// Prompt tokens per block.
inline constexpr uint64_t kCacheBlockTokens = 16;
/// The stand-in counts one prompt token per 4 bytes, rounded up.
inline constexpr uint64_t kBytesPerPromptToken = 4;

/// @returns the number of tokens of a prompt, at least 1.
uint64_t CountPromptTokens(std::string_view prompt);

/// One change of the cache.
struct CacheEvent {
  uint64_t sequence = 0;
  bool added = false;
  /// Hash of the prompt from its start to the end of the block.
  uint64_t block = 0;
  TimePoint time;

  friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

/// Bounded cache of prompt prefixes.
class PrefixCache {
 public:
  /// @param gap_every every n-th event is dropped and its number is skipped; 0
  /// drops none.
  PrefixCache(uint64_t max_tokens, int gap_every);

  /// Looks up a prompt and then stores its complete blocks.
  /// @returns the number of prompt tokens that were cached before the call.
  uint64_t LookUpAndStore(std::string_view prompt, TimePoint now);

  /// @returns the events with a sequence number above `after` that happened no
  /// later than `until`.
  std::vector<CacheEvent> Events(uint64_t after, TimePoint until) const;

  uint64_t tokens() const { return m_blocks.size() * kCacheBlockTokens; }

 private:
  void Publish(bool added, uint64_t block, TimePoint now);
  void Store(uint64_t block, TimePoint now);

  size_t m_max_blocks;
  int m_gap_every;
  // The most recently used block is first.
  std::list<uint64_t> m_lru_order;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
  uint64_t m_next_sequence = 1;
  std::deque<CacheEvent> m_events;
};

}  // namespace bramleybank::standin

#endif  // BRAMLEYBANK_TOOLS_STANDIN_ENGINE_CACHE_H_
