// The metadata store as a gateway sees it: through relays of its failure domain
// where there are any, and directly otherwise.
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

/// Times of a relayed store.
struct RelayWaitLimits {
  /// Longest wait of a relay at the store.
  Duration store_wait{0};
  /// Longest wait of a follower at its relay.
  Duration relay_wait{0};

  /// Oldest store answer on which a relay's answer may rest.
  Duration max_age() const;
  friend bool operator==(const RelayWaitLimits&,
                         const RelayWaitLimits&) = default;
};

/// @returns the times with which news is known within `bound` by gateways whose
/// relay freezes or is cut from the store just before it.
RelayWaitLimits RelayWaitLimitsFor(Duration bound);

/// Hooks of a relayed store.
struct RelayedStoreHooks {
  /// Sends a request to another gateway; the callback gets its answer, or
  /// nothing when there was none in time.
  std::function<void(const std::string& address,
                     const std::string& path,
                     std::string body,
                     Duration timeout,
                     std::function<void(const std::string* body)> callback)>
      call;
  /// A gateway that is not listed has asked.
  std::function<void()> on_unknown_sender;
  /// Clock for the age of facts; it includes time in which the VM was
  /// suspended.
  ClockHook age_clock;
  RandomHook random;
};

/// Reads and waits of the tables named go to the best source; the next one is
/// tried when it fails. All other calls, and all writes, go to the store. What
/// any source answers is kept, so that this gateway can serve the others while
/// it reads the store itself.
class RelayedStore : public MetadataStore {
 public:
  /// How a table is read.
  enum class ReadMode : uint8_t {
    /// Read once, then followed by waits.
    kWatched,
    /// Read again and again; a relay without a fresh image is no failure.
    kPolled,
  };
  using Tables = std::map<std::string, ReadMode, std::less<>>;

  /// @param choice, store, metrics outlive this object.
  RelayedStore(EventLoop* loop,
               MetadataStore* store,
               RelaySelector* choice,
               MetricRegistry* metrics,
               std::string name,
               const Tables& tables,
               RelayWaitLimits times,
               RelayedStoreHooks hooks);
  ~RelayedStore() override;

  void Read(const std::string& table,
            const std::string& after,
            RowsCallback callback) override;
  void WaitForChanges(const std::string& table,
                      uint64_t version,
                      Duration wait,
                      RowsCallback callback) override;
  void Write(const StoreWrite& write, WriteCallback callback) override;

  /// Another gateway asks.
  /// @param body valid during the call only.
  void Serve(std::string_view body,
             std::function<void(int status, std::string body)> reply);

  /// The list of gateways has been read; waits that were held back go on.
  void OnMembersChanged();

 private:
  /// One read or wait of this gateway, at one source after the other.
  struct Call {
    std::string table;
    std::string after;
    uint64_t version = 0;
    bool is_wait = false;
    Duration wait{0};
    RowsCallback callback;
    std::vector<RowSource> sources;
    size_t next = 0;
    std::string detail;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// A wait of another gateway.
  struct Waiter {
    uint64_t version = 0;
    TimerHandle timer;
    std::function<void(int status, std::string body)> reply;
  };

  /// What is known of one table.
  struct Table {
    ReadMode following = ReadMode::kWatched;
    RowCache cache;
    // Whether the last answer came from the store.
    bool is_read_here = false;
    // When the store gave the answer on which the image rests.
    TimePoint fresh_at;
    // Newest version that has been handed to this gateway.
    uint64_t seen_version = 0;
    RowSource source;
    std::list<Waiter> waiters;
  };

  Table* FindTable(std::string_view name);
  void Begin(const CallPtr& call);
  void TryNext(const CallPtr& call);
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
  void Feed(const Call& call, Table* table, const StoreRows& rows);
  void NoteSource(const Call& call,
                  Table* table,
                  const RowSource& source,
                  Duration age);

  RelayAnswer ToAnswer(const Table& table, StoreRows rows) const;
  RelayAnswer AnswerRead(const Table& table, const RelayQuery& query) const;
  void ServeWait(Table* table,
                 const RelayQuery& query,
                 std::function<void(int status, std::string body)> reply);
  RelayAnswer AnswerChanges(const Table& table, uint64_t version) const;
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
  RelaySelector* m_choice;
  MetricRegistry* m_metrics;
  const std::string m_name;
  const RelayWaitLimits m_times;
  const RelayedStoreHooks m_hooks;
  std::map<std::string, Table, std::less<>> m_tables;
  // Waits that begin once the list of gateways is known.
  std::vector<CallPtr> m_held;
  bool m_is_decided = false;
  TimerHandle m_decision_timer;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_RELAYED_STORE_H_
