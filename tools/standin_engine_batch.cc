// Model of an engine with continuous batching.
#include "standin_engine_batch.h"

#include <algorithm>
#include <cassert>

namespace bramleybank::standin {

BatchModel::BatchModel(const BatchSettings& settings) : m_settings(settings) {
  assert(settings.slots > 0 && settings.knee > 0);
  assert(settings.prefill_tokens_per_s > 0);
}

void BatchModel::Enqueue(uint64_t run, int priority) {
  const QueueKey key{-static_cast<int64_t>(priority), m_next_arrival++};
  const bool is_new = m_queue_keys.emplace(run, key).second;
  assert(is_new && !m_running.contains(run));
  m_queue.emplace(key, run);
}

std::vector<uint64_t> BatchModel::Admit() {
  std::vector<uint64_t> admitted;
  while (!m_queue.empty() &&
         m_running.size() < static_cast<size_t>(m_settings.slots)) {
    const uint64_t run = m_queue.begin()->second;
    m_queue.erase(m_queue.begin());
    m_queue_keys.erase(run);
    m_running.insert(run);
    admitted.push_back(run);
  }
  return admitted;
}

void BatchModel::Remove(uint64_t run) {
  const auto it = m_queue_keys.find(run);
  if (it != m_queue_keys.end()) {
    m_queue.erase(it->second);
    m_queue_keys.erase(it);
  }
  m_running.erase(run);
}

Duration BatchModel::StepInterval() const {
  const double extra =
      std::max(0.0, static_cast<double>(m_running.size()) - m_settings.knee);
  const double factor = 1 + m_settings.slope * extra / m_settings.knee;
  return Duration(static_cast<int64_t>(
      static_cast<double>(m_settings.token_interval.count()) * factor));
}

TimePoint BatchModel::StartPrefill(TimePoint now,
                                   uint64_t tokens,
                                   double slowdown) {
  const double micros = static_cast<double>(tokens) * slowdown * 1e6 /
                        m_settings.prefill_tokens_per_s;
  m_prefill_free_at =
      std::max(m_prefill_free_at, now) + Duration(static_cast<int64_t>(micros));
  return m_prefill_free_at;
}

}  // namespace bramleybank::standin
