// Shares among gateways which engine has read which prompt, through a table of
// the metadata store.
#ifndef BRAMLEYBANK_SRC_PROMPT_LOCATOR_H_
#define BRAMLEYBANK_SRC_PROMPT_LOCATOR_H_

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

/// How gateways that do not read the store share their prompts, and at what
/// pace.
struct PromptLocatorHooks {
  /// Shortest time between two writes or hand-overs.
  std::function<Duration()> interval;
  /// Whether this gateway uses the store itself.
  std::function<bool()> is_reader;
  /// Hands a row to a gateway that does.
  std::function<void(std::string row, std::function<void(bool taken)> callback)>
      hand_over;
  /// Asks such a gateway. The callback gets an empty id when none is known.
  std::function<void(PromptHash prompt,
                     std::function<void(const std::string& id)> callback)>
      query_reader;
};

/// Each gateway that reads the store keeps a row with the prompts of its recent
/// streams and of those that others have handed over; a gateway that gets a
/// caller in the middle of a stream looks them up. The store keeps the rows
/// through a loss of all gateways. A row that is some time behind
/// costs one reading of a prompt and is never wrong otherwise: an engine that
/// does not have a prompt reads it.
class PromptLocator {
 public:
  /// @param name of this gateway, the key of its row.
  PromptLocator(EventLoop* loop,
                MetadataStore* store,
                std::string name,
                PromptLocatorHooks hooks);
  ~PromptLocator();
  PromptLocator(const PromptLocator&) = delete;
  PromptLocator& operator=(const PromptLocator&) = delete;

  /// Reads the rows that an earlier process and the other gateways have left.
  /// Callers that come back together after a loss of all gateways arrive some
  /// milliseconds after the start and cannot wait for a read of their own.
  void Start();
  /// A stream of this gateway runs at an engine.
  void OnStreamStarted(std::string_view prompt_parts,
                       std::string_view endpoint_id);
  /// Another gateway has handed over the prompts of its streams.
  void OnHandedOver(std::string_view row);
  /// Looks an engine up that has read the prompt.
  /// @param callback gets its id, or an empty text when none is known in time;
  /// runs exactly once, possibly inside this call.
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
  void ScheduleWrite();
  void Publish();
  void WriteRow();
  void HandOver();
  std::string FindKnown(PromptHash prompt) const;

  EventLoop* m_loop;
  MetadataStore* m_store;
  const std::string m_name;
  const PromptLocatorHooks m_hooks;
  // Entries of this gateway's row, those of its earlier process included.
  PromptLocations m_own;
  // Streams since the last write or hand-over.
  PromptLocations m_news;
  // Rows of the other gateways as of m_read_at.
  PromptLocations m_others;
  std::vector<Lookup> m_lookups;
  TimePoint m_read_at;
  TimePoint m_written_at;
  // The row may be written once an earlier process's entries are known.
  bool m_is_loaded = false;
  bool m_is_reading = false;
  TimerHandle m_lookup_timer;
  TimerHandle m_write_timer;
  // Callbacks of calls that outlive this object find it expired.
  std::shared_ptr<PromptLocator*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PROMPT_LOCATOR_H_
