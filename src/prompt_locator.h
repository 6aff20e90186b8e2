// Shares the locations of prefilled prompts among gateways through a table of
// the metadata store.
#ifndef BRAMLEYBANK_SRC_PROMPT_LOCATOR_H_
#define BRAMLEYBANK_SRC_PROMPT_LOCATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "metadata_store.h"
#include "prompt_locations.h"

namespace bramleybank {

class EventLoop;

inline constexpr char kPromptTable[] = "prompts";

/// How often prompt locations are published, and how a gateway that does not
/// read the store publishes and looks them up through one that does (a reader).
struct PromptLocatorHooks {
  RandomHook random;
  /// Minimum time between two writes or hand-overs.
  std::function<Duration()> interval;
  /// Whether this gateway accesses the store itself.
  std::function<bool()> is_reader;
  /// Hands an encoded row over to a reader. The callback gets whether the
  /// reader has accepted it.
  std::function<void(std::string row, std::function<void(bool taken)> callback)>
      hand_over;
  /// Asks a reader for the engine of a prompt. The callback gets its id, empty
  /// if none is known.
  std::function<void(PromptHash prompt,
                     std::function<void(const std::string& id)> callback)>
      query_reader;
};

/// Finds the engine that has prefilled a prompt. Each reader keeps a row in the
/// store with the prompts of its recent streams and of those that other
/// gateways have handed over. A gateway looks a prompt up when a caller resumes
/// a stream there. The rows survive a loss of all gateways. A stale row costs
/// at most one more prefill and never a wrong result, because an engine that
/// does not have a prompt prefills it.
class PromptLocator {
 public:
  /// @param name of this gateway, which is the key of its row.
  PromptLocator(EventLoop* loop,
                MetadataStore* store,
                std::string name,
                PromptLocatorHooks hooks);
  ~PromptLocator();
  PromptLocator(const PromptLocator&) = delete;
  PromptLocator& operator=(const PromptLocator&) = delete;

  /// Reads the rows of the earlier process of this gateway and of the other
  /// gateways. Callers that return after a loss of all gateways arrive a few
  /// milliseconds after the start and cannot wait for a separate read.
  void Start();
  /// A stream of this gateway was started or resumed at an engine.
  void OnStreamStarted(std::string_view prompt_parts,
                       std::string_view endpoint_id);
  /// Another gateway has handed over the prompt locations of its streams.
  void OnHandedOver(std::string_view row);
  /// The store has been restored from an older copy, which may lack entries of
  /// this gateway. A reader writes its row again.
  void OnStoreRestored();
  /// Looks up an engine that has prefilled the prompt.
  /// @param callback gets its id, or an empty string if none is known before
  /// the timeout; runs exactly once, possibly inside this call.
  void Find(std::string_view prompt_parts,
            std::function<void(const std::string& endpoint_id)> callback);
  void Find(PromptHash prompt,
            std::function<void(const std::string& endpoint_id)> callback);

 private:
  struct Lookup {
    PromptHash prompt = 0;
    std::function<void(const std::string& endpoint_id)> callback;
  };

  void Read();
  void OnRows(const StoreRows& rows);
  void FinishLookups();
  void ScheduleWrite(Duration min_delay = Duration::zero());
  void Publish();
  void WriteRow();
  void HandOver();
  std::string FindKnown(PromptHash prompt) const;

  EventLoop* m_loop;
  MetadataStore* m_store;
  const std::string m_name;
  const PromptLocatorHooks m_hooks;
  // Entries of this gateway's row, including those of its earlier process.
  PromptLocations m_own;
  // Entries added since the last write or hand-over.
  PromptLocations m_unpublished;
  // Rows of the other gateways as of m_read_at.
  PromptLocations m_others;
  // m_others of the last era, for entries that have not been written again yet.
  PromptLocations m_earlier_others;
  uint64_t m_era = 0;
  std::vector<Lookup> m_lookups;
  TimePoint m_read_at;
  TimePoint m_written_at;
  // Whether the rows have been read. Until then the own row must not be
  // written, since that would erase the entries of the earlier process.
  bool m_is_loaded = false;
  bool m_is_reading = false;
  TimerHandle m_lookup_timer;
  TimerHandle m_write_timer;
  // Callbacks that outlive this object detect that it has expired.
  std::shared_ptr<PromptLocator*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PROMPT_LOCATOR_H_
