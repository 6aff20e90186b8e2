// The load that this gateway puts on engines.
#ifndef BRAMLEYBANK_SRC_LOAD_LEDGER_H_
#define BRAMLEYBANK_SRC_LOAD_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "engine_load.h"
#include "hooks.h"

namespace bramleybank {

/// Tokens of one request.
struct RunSize {
  uint64_t prompt_tokens = 0;
  /// Upper limit on the tokens of the answer.
  uint64_t output_tokens = 0;

  uint64_t total() const { return prompt_tokens + output_tokens; }
  friend bool operator==(const RunSize&, const RunSize&) = default;
};

/// Work of this gateway's requests, and of the copies of their memory, at each
/// engine from the moment at which they are sent.
class LoadLedger {
 public:
  /// Identifies an entry; 0 is never used.
  using EntryId = uint64_t;

  struct Hooks {
    ClockHook clock;
    /// @returns the tokens per second that an engine reads; 0 when unknown.
    std::function<double(EngineKey engine)> speed;
    /// The load has changed.
    std::function<void()> on_change;
  };

  explicit LoadLedger(Hooks hooks);

  /// A request is sent to an engine.
  /// @param reads_prompt false when the engine has the memory of the run.
  EntryId OnSent(EngineKey engine, const RunSize& size, bool reads_prompt);
  /// The engine has read the prompt.
  void OnFirstEvent(EntryId id);
  /// An engine holds a copy of a run's memory.
  EntryId OnCopyOpened(EngineKey engine, const RunSize& size);
  /// The request has ended, or the copy is released. Ids that are unknown, or
  /// 0, are ignored.
  void OnEnded(EntryId id);

  /// @returns what this gateway has at the engine.
  EngineLoad Find(EngineKey engine) const;
  /// @returns the load of each engine at which this gateway has any.
  std::vector<EngineLoadEntry> Entries() const;
  bool empty() const { return m_entries.empty(); }

 private:
  struct Entry {
    EngineKey engine = 0;
    RunSize size;
    TimePoint sent_at;
    bool is_copy = false;
    bool reads_prompt = false;
  };

  EntryId Add(const Entry& entry);
  EngineLoad LoadOf(const Entry& entry) const;

  const Hooks m_hooks;
  std::map<EntryId, Entry> m_entries;
  // Ids of the entries of each engine.
  std::unordered_map<EngineKey, std::vector<EntryId>> m_by_engine;
  EntryId m_last_id = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LOAD_LEDGER_H_
