// Model of an engine's prompt-prefix cache.
#include "standin_engine_cache.h"

#include <xxhash.h>

#include <algorithm>

namespace bramleybank::standin {
namespace {

constexpr size_t kMaxEvents = 4096;
constexpr size_t kBlockBytes = kCacheBlockTokens * kBytesPerPromptToken;

}  // namespace

uint64_t CountPromptTokens(std::string_view prompt) {
  return std::max<uint64_t>(
      1, (prompt.size() + kBytesPerPromptToken - 1) / kBytesPerPromptToken);
}

PrefixCache::PrefixCache(uint64_t max_tokens, int gap_every)
    : m_max_blocks(max_tokens / kCacheBlockTokens), m_gap_every(gap_every) {}

uint64_t PrefixCache::LookUpAndStore(std::string_view prompt, TimePoint now) {
  std::vector<uint64_t> blocks;
  uint64_t hash = 0;
  for (size_t offset = 0; offset + kBlockBytes <= prompt.size();
       offset += kBlockBytes) {
    hash = XXH64(prompt.data() + offset, kBlockBytes, hash);
    blocks.push_back(hash);
  }
  const auto first_miss = std::ranges::find_if(
      blocks, [&](uint64_t block) { return !m_blocks.contains(block); });
  const auto hits = static_cast<uint64_t>(first_miss - blocks.begin());
  // Blocks are stored in reverse order, so that the start of the prompt, which
  // other prompts may share, is the most recently used.
  if (blocks.size() > m_max_blocks) {
    blocks.resize(m_max_blocks);
  }
  for (size_t i = blocks.size(); i > 0; --i) {
    Store(blocks[i - 1], now);
  }
  return hits * kCacheBlockTokens;
}

void PrefixCache::Store(uint64_t block, TimePoint now) {
  const auto it = m_blocks.find(block);
  if (it != m_blocks.end()) {
    m_lru_order.splice(m_lru_order.begin(), m_lru_order, it->second);
    return;
  }
  if (m_blocks.size() >= m_max_blocks) {
    const uint64_t oldest = m_lru_order.back();
    m_lru_order.pop_back();
    m_blocks.erase(oldest);
    Publish(false, oldest, now);
  }
  m_lru_order.push_front(block);
  m_blocks.emplace(block, m_lru_order.begin());
  Publish(true, block, now);
}

void PrefixCache::Publish(bool added, uint64_t block, TimePoint now) {
  const uint64_t sequence = m_next_sequence++;
  if (m_gap_every > 0 && sequence % static_cast<uint64_t>(m_gap_every) == 0) {
    return;
  }
  m_events.push_back({sequence, added, block, now});
  if (m_events.size() > kMaxEvents) {
    m_events.pop_front();
  }
}

std::vector<CacheEvent> PrefixCache::Events(uint64_t after,
                                            TimePoint until) const {
  std::vector<CacheEvent> events;
  for (const CacheEvent& event : m_events) {
    if (event.sequence > after && event.time <= until) {
      events.push_back(event);
    }
  }
  return events;
}

}  // namespace bramleybank::standin
