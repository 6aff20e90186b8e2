// Follows one table of the metadata store: reads all rows, then waits for
// changes, and starts over if the store has discarded the history of changes.
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

/// Callbacks of a watch, and its source of randomness.
struct StoreWatchHooks {
  /// A row was read, has changed or was deleted.
  std::function<void(const StoreRow& row)> on_row;
  /// The store has been restored from an older copy. The rows that follow, up
  /// to the next on_complete, replace those of before: some are older, some are
  /// missing until their writers write them again. May be empty.
  std::function<void()> on_restored;
  /// A full read is complete: all rows of the table have been reported.
  std::function<void()> on_complete;
  /// The store has stopped answering (false) or answers again (true).
  std::function<void(bool reachable, const std::string& detail)> on_reachable;
  RandomHook random;
};

/// Timing of the calls of a watch.
struct StoreWatchTimes {
  /// Maximum time for which one call waits for changes.
  Duration wait{0};
  /// Pause after changes, so that changes in quick succession share a call. It
  /// delays the report of a change by at most this time.
  Duration pause{0};

  friend bool operator==(const StoreWatchTimes&,
                         const StoreWatchTimes&) = default;
};

/// @returns the maximum StoreWatchTimes::wait with which a store that hangs is
/// detected within `max_silence`.
Duration MaxStoreWait(Duration max_silence);

/// Watch of one table. Failed calls are retried without limit, with exponential
/// backoff and jitter. An answer of another era of the store than the last one
/// starts a new full read, because changes of the time between are not known.
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
  /// Version of the store up to which all changes have been reported.
  const StoreVersion& version() const { return m_version; }

 private:
  void ReadNext();
  void Wait();
  void OnRead(const StoreRows& rows);
  void OnChanges(const StoreRows& rows);
  /// Called when the first page of a full read has arrived.
  void NoticeRestore();
  void FinishRead();
  void ApplyRow(const StoreRow& row);
  void OnFailure(const std::string& detail, void (StoreWatch::*retry)());
  void OnSuccess();

  EventLoop* m_loop;
  MetadataStore* m_store;
  const std::string m_table;
  StoreWatchTimes m_times;
  const StoreWatchHooks m_hooks;
  // Versions of the reported rows that have not been deleted, by key. After a
  // full read, those that it did not contain are reported as deleted. Changes
  // with an older version than the known one are ignored, since a read of
  // several pages may be ahead of the changes that are received after it. After
  // a restore of the store, the versions of before count as zero.
  std::map<std::string, StoreVersion> m_row_versions;
  // State of the full read in progress: keys seen so far, the last key of the
  // previous page, and the version of the first page.
  std::set<std::string> m_seen_keys;
  std::string m_read_after;
  StoreVersion m_read_version;
  StoreVersion m_version;
  // Whether the first page of a read has arrived, and the version of the last
  // one. That read need not be complete, unlike the one of m_version.
  bool m_has_read = false;
  StoreVersion m_last_read;
  int m_failures = 0;
  TimerHandle m_timer;
  // Callbacks that outlive this object detect that it has expired.
  std::shared_ptr<StoreWatch*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STORE_WATCH_H_
