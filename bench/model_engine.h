// An engine of the policy model: slots, a queue and a cache of prompt prefixes.
#ifndef BRAMLEYBANK_BENCH_MODEL_ENGINE_H_
#define BRAMLEYBANK_BENCH_MODEL_ENGINE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "route_prefix_cache.h"

namespace bramleybank {

/// One attempt of a request at an engine.
struct ModelJob {
  int request = 0;
  bool is_ended = false;
};
using JobPtr = std::shared_ptr<ModelJob>;

/// State of an engine. The model starts and ends its jobs.
struct ModelEngine {
  static constexpr size_t kPrefixesCached = 20;

  bool is_alive = true;
  std::vector<JobPtr> running;
  std::deque<JobPtr> waiting;
  // Cached prefixes, most recently used first.
  std::deque<int> cached;
  std::vector<CacheEvent> events;

  static std::vector<uint64_t> PrefixHashes(int prefix, size_t blocks) {
    std::vector<uint64_t> hashes;
    for (uint64_t i = 0; i < blocks; ++i) {
      hashes.push_back(((static_cast<uint64_t>(prefix) * 64) + i + 1) *
                       0x9e3779b97f4a7c15ULL);
    }
    return hashes;
  }

  /// Looks up the prefix of a prompt and caches it, with LRU eviction.
  /// @returns whether it was cached before.
  bool UsePrefix(int prefix, const std::vector<uint64_t>& hashes) {
    const auto it = std::ranges::find(cached, prefix);
    const bool is_cached = it != cached.end();
    if (is_cached) {
      cached.erase(it);
    } else {
      for (const uint64_t hash : hashes) {
        Log(CacheChange::kStored, hash);
      }
    }
    cached.push_front(prefix);
    if (cached.size() > kPrefixesCached) {
      // The other blocks of a prefix cannot be used without the first one, so
      // only the eviction of the first block is reported.
      Log(CacheChange::kEvicted, PrefixHashes(cached.back(), 1).front());
      cached.pop_back();
    }
    return is_cached;
  }

 private:
  void Log(CacheChange change, uint64_t hash) {
    events.push_back({events.size() + 1, change, hash});
  }
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_BENCH_MODEL_ENGINE_H_
