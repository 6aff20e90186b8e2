// Counts requests and copies. How much of a prompt is left is estimated from
// the engine's speed, since engines do not tell.
#include "load_ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "endpoint_entry.h"

namespace bramleybank {
namespace {

// Until its first event a prompt counts with at least this share: the estimate
// may be too low, and the engine still works on it.
constexpr double kMinPrefillShare = 0.1;

}  // namespace

EngineKey KeyOf(const EndpointEntry& endpoint) {
  return static_cast<EngineKey>(
      XXH3_64bits_withSeed(endpoint.id.data(), endpoint.id.size(),
                           static_cast<uint64_t>(endpoint.start_time_ms)));
}

LoadLedger::LoadLedger(Hooks hooks) : m_hooks(std::move(hooks)) {}

LoadLedger::EntryId LoadLedger::Add(const Entry& entry) {
  const EntryId id = ++m_last_id;
  m_entries.emplace(id, entry);
  m_by_engine[entry.engine].push_back(id);
  m_hooks.on_change();
  return id;
}

LoadLedger::EntryId LoadLedger::OnSent(EngineKey engine,
                                       const RunSize& size,
                                       bool reads_prompt) {
  return Add({.engine = engine,
              .size = size,
              .sent_at = m_hooks.clock(),
              .is_copy = false,
              .reads_prompt = reads_prompt});
}

LoadLedger::EntryId LoadLedger::OnCopyOpened(EngineKey engine,
                                             const RunSize& size) {
  return Add({.engine = engine,
              .size = size,
              .sent_at = m_hooks.clock(),
              .is_copy = true,
              .reads_prompt = false});
}

void LoadLedger::OnFirstEvent(EntryId id) {
  const auto it = m_entries.find(id);
  if (it != m_entries.end() && std::exchange(it->second.reads_prompt, false)) {
    m_hooks.on_change();
  }
}

void LoadLedger::OnEnded(EntryId id) {
  const auto it = m_entries.find(id);
  if (it == m_entries.end()) {
    return;
  }
  const auto ids = m_by_engine.find(it->second.engine);
  std::erase(ids->second, id);
  if (ids->second.empty()) {
    m_by_engine.erase(ids);
  }
  m_entries.erase(it);
  m_hooks.on_change();
}

EngineLoad LoadLedger::LoadOf(const Entry& entry) const {
  EngineLoad load{.memory_tokens = entry.size.total()};
  if (entry.is_copy) {
    return load;
  }
  load.runs = 1;
  if (entry.reads_prompt) {
    const auto total = static_cast<double>(entry.size.prompt_tokens);
    const double seconds =
        std::chrono::duration<double>(m_hooks.clock() - entry.sent_at).count();
    const double read = seconds * m_hooks.speed(entry.engine);
    load.prefills = 1;
    load.prefill_tokens =
        static_cast<uint64_t>(std::max(total - read, total * kMinPrefillShare));
  }
  return load;
}

EngineLoad LoadLedger::Find(EngineKey engine) const {
  EngineLoad load;
  const auto ids = m_by_engine.find(engine);
  if (ids != m_by_engine.end()) {
    for (const EntryId id : ids->second) {
      load += LoadOf(m_entries.at(id));
    }
  }
  return load;
}

std::vector<EngineLoadEntry> LoadLedger::Entries() const {
  std::vector<EngineLoadEntry> entries;
  entries.reserve(m_by_engine.size());
  for (const auto& [engine, ids] : m_by_engine) {
    entries.push_back({.engine = engine, .load = Find(engine)});
  }
  return entries;
}

}  // namespace bramleybank
