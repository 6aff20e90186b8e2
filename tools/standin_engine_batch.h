// Model of a continuously batching engine: which requests hold a slot, how
// long a step of the batch and a prefill take.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_ENGINE_BATCH_H_
#define BRAMLEYBANK_TOOLS_STANDIN_ENGINE_BATCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "hooks.h"

namespace bramleybank::standin {

/// Speed and size of one engine.
struct BatchSettings {
  int slots = 1;
  Duration token_interval{0};
  /// Streams up to which the token interval is constant.
  int knee = 1;
  /// Growth of the interval for each further `knee` streams.
  double slope = 0;
  double prefill_tokens_per_s = 1;
};

/// Slots and waiting queue. Higher priorities are admitted first, and within
/// one priority in the order of arrival.
class BatchModel {
 public:
  explicit BatchModel(const BatchSettings& settings);

  /// Adds a request to the queue. `run` must be new.
  void Enqueue(uint64_t run, int priority);
  /// Moves waiting requests into free slots.
  /// @returns the requests moved, in order.
  std::vector<uint64_t> Admit();
  /// Takes a request out of its slot or the queue; unknown ones are ignored.
  void Remove(uint64_t run);

  /// @returns the time between tokens at the present number of streams.
  Duration StepInterval() const;
  /// Starts a prefill behind those already started: they share the
  /// accelerator.
  /// @returns when it is done.
  TimePoint StartPrefill(TimePoint now, uint64_t tokens, double slowdown);

  size_t running() const { return m_running.size(); }
  size_t waiting() const { return m_queue.size(); }

 private:
  // Negated priority, then arrival number.
  using QueueKey = std::pair<int64_t, uint64_t>;

  BatchSettings m_settings;
  uint64_t m_next_arrival = 0;
  std::map<QueueKey, uint64_t> m_queue;
  std::map<uint64_t, QueueKey> m_queue_keys;
  // Invariant: at most m_settings.slots entries.
  std::set<uint64_t> m_running;
  TimePoint m_prefill_free_at;
};

}  // namespace bramleybank::standin

#endif  // BRAMLEYBANK_TOOLS_STANDIN_ENGINE_BATCH_H_
