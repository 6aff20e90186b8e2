// Metadata store that a gateway reads through the relays of its failure domain,
// or directly when the domain has no relays.
#ifndef BRAMLEYBANK_SRC_RELAYED_STORE_H_
#define BRAMLEYBANK_SRC_RELAYED_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "metadata_store.h"
#include "relay_message.h"
#include "relay_selector.h"
#include "row_cache.h"

namespace bramleybank {

class EventLoop;
class MetricRegistry;

/// Longest waits for changes, at the store and at a relay.
struct RelayWaitLimits {
  /// Longest wait of a relay for changes at the store.
  Duration store_wait{0};
  /// Longest wait of a follower for changes at its relay.
  Duration relay_wait{0};
  /// Longest wait at the store of a gateway whose domain has no relays.
  Duration direct_wait{0};

  /// Maximum age of the store's answer that the answer of a relay, or of a
  /// gateway of a domain without relays, is based on.
  Duration max_age() const;
  friend bool operator==(const RelayWaitLimits&,
                         const RelayWaitLimits&) = default;
};

/// @returns the limits with which a change reaches each gateway within `bound`,
/// even if its relay freezes or is cut off from the store just before the
/// change.
RelayWaitLimits RelayWaitLimitsFor(Duration bound);

struct RelayedStoreHooks {
  /// Sends a request to another gateway. The callback gets the answer, or null
  /// when none arrived before the timeout.
  std::function<void(const std::string& address,
                     const std::string& path,
                     std::string body,
                     Duration timeout,
                     std::function<void(const std::string* body)> callback)>
      call;
  /// Called when a gateway that is not listed has sent a query.
  std::function<void()> on_unknown_sender;
  /// Clock for the age of store answers; it includes time in which the VM was
  /// suspended.
  ClockHook age_clock;
  RandomHook random;
};

/// Sends reads and waits for the given tables to the best source, and to the
/// next one when it fails. All other calls, and all writes, go to the store.
/// Answers of all sources are cached, so that this gateway can serve others
/// while it reads the store itself.
class RelayedStore : public MetadataStore {
 public:
  /// How a table is read.
  enum class ReadMode : uint8_t {
    /// Read once, then kept up to date by waits for changes.
    kWatched,
    /// Read periodically. A relay without a fresh copy does not count as
    /// failed.
    kPolled,
  };
  using Tables = std::map<std::string, ReadMode, std::less<>>;

  /// @param selector, store, metrics outlive this object.
  RelayedStore(EventLoop* loop,
               MetadataStore* store,
               RelaySelector* selector,
               MetricRegistry* metrics,
               std::string name,
               const Tables& tables,
               RelayWaitLimits wait_limits,
               RelayedStoreHooks hooks);
  ~RelayedStore() override;

  void Read(const std::string& table,
            const std::string& after,
            RowsCallback callback) override;
  void WaitForChanges(const std::string& table,
                      const StoreVersion& version,
                      Duration wait,
                      RowsCallback callback) override;
  void Write(const StoreWrite& write, WriteCallback callback) override;

  /// Answers a query of another gateway.
  /// @param body valid during the call only.
  void Serve(std::string_view body,
             std::function<void(int status, std::string body)> reply);

  /// Called when the list of gateways has been read; starts the deferred waits.
  void OnMembersChanged();

 private:
  /// One read or wait of this gateway, which tries its sources in order.
  struct Call {
    std::string table;
    std::string after;
    StoreVersion version;
    bool is_wait = false;
    Duration wait{0};
    RowsCallback callback;
    std::vector<RowSource> sources;
    size_t next = 0;
    std::string detail;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// A wait of another gateway that this gateway holds open.
  struct Waiter {
    StoreVersion version;
    TimerHandle timer;
    std::function<void(int status, std::string body)> reply;
  };

  /// State of one table.
  struct Table {
    ReadMode read_mode = ReadMode::kWatched;
    RowCache cache;
    // Whether the last answer came from the store.
    bool is_read_from_store = false;
    // When the store gave the answer that the cached copy is based on.
    TimePoint store_answered_at;
    // Newest store version whose rows this gateway has received. Answers of
    // relays that are older, or of an older era, are not used.
    StoreVersion seen_version;
    RowSource source;
    std::list<Waiter> waiters;
  };

  Table* FindTable(std::string_view name);
  void StartCall(const CallPtr& call);
  void TryNextSource(const CallPtr& call);
  void AskStore(const CallPtr& call);
  void AskRelay(const CallPtr& call, const RowSource& source);
  void OnStoreRows(const CallPtr& call, const StoreRows& rows);
  void OnRelayAnswer(const CallPtr& call,
                     const RowSource& source,
                     const std::string* body);
  void Deliver(const CallPtr& call,
               const RowSource& source,
               const StoreRows& rows,
               Duration age);
  /// @returns whether the cached copy is now as new as the answer.
  bool UpdateCache(const Call& call, Table* table, const StoreRows& rows);
  void RecordSource(const Call& call,
                    Table* table,
                    const RowSource& source,
                    Duration age);

  RelayAnswer MakeAnswer(const Table& table, StoreRows rows) const;
  RelayAnswer AnswerRead(const Table& table, const RelayQuery& query) const;
  void ServeWait(Table* table,
                 const RelayQuery& query,
                 std::function<void(int status, std::string body)> reply);
  RelayAnswer AnswerChanges(const Table& table,
                            const StoreVersion& version) const;
  void AnswerWaiters(Table* table);
  void RefuseWaiters(Table* table, RelayStatus status);
  Duration AgeOf(const Table& table) const;
  void CountServed(RelayStatus status);

  template <typename Function>
  auto WhileAlive(Function function) {
    return [weak = std::weak_ptr(m_alive),
            function = std::move(function)](auto&&... values) {
      if (!weak.expired()) {
        function(std::forward<decltype(values)>(values)...);
      }
    };
  }

  EventLoop* m_loop;
  MetadataStore* m_store;
  RelaySelector* m_selector;
  MetricRegistry* m_metrics;
  const std::string m_name;
  const RelayWaitLimits m_wait_limits;
  const RelayedStoreHooks m_hooks;
  std::map<std::string, Table, std::less<>> m_tables;
  // Waits that start once the list of gateways is known, or when
  // m_wait_start_timer expires.
  std::vector<CallPtr> m_deferred_waits;
  bool m_waits_enabled = false;
  TimerHandle m_wait_start_timer;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_RELAYED_STORE_H_
