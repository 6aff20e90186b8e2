// Model of an engine with continuous batching: which requests hold a slot, and
// how long a step of the batch and a prefill take.
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

/// Capacity and speed of one engine.
struct BatchSettings {
  int slots = 1;
  Duration token_interval{0};
  /// Number of running streams up to which the token interval is constant.
  int knee = 1;
  /// Growth of the interval, as a fraction of `token_interval`, for each
  /// further `knee` streams.
  double slope = 0;
  double prefill_tokens_per_s = 1;
};

/// Slots and waiting queue. Requests are admitted by descending priority, and
/// within one priority in the order of arrival.
class BatchModel {
 public:
  explicit BatchModel(const BatchSettings& settings);

  /// Adds a request to the queue. `run` identifies it and must be unique.
  void Enqueue(uint64_t run, int priority);
  /// Moves waiting requests into free slots.
  /// @returns the admitted requests, in the order of admission.
  std::vector<uint64_t> Admit();
  /// Removes a request from its slot or from the queue. Unknown requests are
  /// ignored.
  void Remove(uint64_t run);

  /// @returns the time between tokens at the current number of streams.
  Duration StepInterval() const;
  /// Starts a prefill after those already started, because prefills share the
  /// accelerator.
  /// @returns when it completes.
  TimePoint StartPrefill(TimePoint now, uint64_t tokens, double slowdown);

  size_t running() const { return m_running.size(); }
  size_t waiting() const { return m_queue.size(); }

 private:
  // Negated priority, then arrival number.
  using QueueKey = std::pair<int64_t, uint64_t>;

  BatchSettings m_settings;
  uint64_t m_next_arrival = 0;
  std::map<QueueKey, uint64_t> m_queue;
  // Invariant: the inverse of m_queue.
  std::map<uint64_t, QueueKey> m_queue_keys;
  // Invariant: at most m_settings.slots entries.
  std::set<uint64_t> m_running;
  // When the last prefill completes.
  TimePoint m_prefill_free_at;
};

}  // namespace bramleybank::standin

#endif  // BRAMLEYBANK_TOOLS_STANDIN_ENGINE_BATCH_H_
