// Follows one table of the metadata store: reads it whole, then waits for
// changes, and starts over when the store has discarded its history.
#ifndef BRAMLEYBANK_SRC_STORE_WATCH_H_
#define BRAMLEYBANK_SRC_STORE_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "metadata_store.h"

namespace bramleybank {

class EventLoop;

/// Hooks of a watch.
struct StoreWatchHooks {
  /// A row is new, has changed, or is gone.
  std::function<void(const StoreRow& row)> on_row;
  /// All rows that stand in the table have been reported once.
  std::function<void()> on_complete;
  /// The store was lost (false) or answers again (true).
  std::function<void(bool reachable, const std::string& detail)> on_reachable;
  RandomHook random;
};

/// How often a watch calls the store.
struct StoreWatchTimes {
  /// Longest wait of one call for changes.
  Duration wait{0};
  /// Pause after changes, so that those that come in series share a call.
  /// Every change is known this much later at the most.
  Duration pause{0};

  friend bool operator==(const StoreWatchTimes&,
                         const StoreWatchTimes&) = default;
};

/// @returns the longest wait of one call with which a store that hangs is found
/// within `max_silence`.
Duration MaxStoreWait(Duration max_silence);

/// Watch of one table. It never gives up; failed calls are repeated after a
/// growing delay with jitter.
class StoreWatch {
 public:
  StoreWatch(EventLoop* loop,
             MetadataStore* store,
             std::string table,
             StoreWatchTimes times,
             StoreWatchHooks hooks);
  ~StoreWatch();
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  void Start();
  void SetPause(Duration pause) { m_times.pause = pause; }
  /// Version of the store up to which changes have been seen.
  uint64_t version() const { return m_version; }

 private:
  void ReadNext();
  void Wait();
  void OnRead(const StoreRows& rows);
  void OnChanges(const StoreRows& rows);
  void FinishRead();
  void TakeRow(const StoreRow& row);
  void OnFailure(const std::string& detail, void (StoreWatch::*retry)());
  void OnSuccess();

  EventLoop* m_loop;
  MetadataStore* m_store;
  const std::string m_table;
  StoreWatchTimes m_times;
  const StoreWatchHooks m_hooks;
  // Versions of the rows reported and not gone; a full read reports the others
  // as gone. A row never goes back to an older version, since a read of several
  // pages may be ahead of the changes that follow it.
  std::map<std::string, uint64_t> m_known;
  // Keys of the full read in progress, and the version of its first page.
  std::set<std::string> m_seen;
  std::string m_read_after;
  uint64_t m_read_version = 0;
  uint64_t m_version = 0;
  int m_failures = 0;
  TimerHandle m_timer;
  // Callbacks of calls that outlive this object find it expired.
  std::shared_ptr<StoreWatch*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STORE_WATCH_H_
