// A fleet of gateways in memory that follow one table of a store through
// relays, which may freeze, die, be cut off or fall behind.
#ifndef BRAMLEYBANK_TESTS_RELAY_FLEET_H_
#define BRAMLEYBANK_TESTS_RELAY_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "metric_registry.h"
#include "relay_selector.h"
#include "relayed_store.h"
#include "store_watch.h"

namespace bramleybank {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline StoreRow MakeRow(const std::string& key, const StoreVersion& version) {
  return {
      .key = key, .value = std::to_string(version.number), .version = version};
}

inline StoreRow MakeDeleted(const std::string& key,
                            const StoreVersion& version) {
  return {.key = key, .value = {}, .version = version, .deleted = true};
}

inline StoreRows MakeRows(const StoreVersion& version,
                          std::vector<StoreRow> rows) {
  return {
      .result = StoreResult::kOk, .rows = std::move(rows), .version = version};
}

inline std::vector<std::string> KeysOf(const StoreRows& rows) {
  std::vector<std::string> keys;
  for (const StoreRow& row : rows.rows) {
    keys.push_back((row.deleted ? "-" : "+") + row.key);
  }
  return keys;
}

using Keys = std::vector<std::string>;

inline std::vector<GatewayMember> MakeMembers(int domains, int per_domain) {
  std::vector<GatewayMember> members;
  for (int d = 0; d < domains; ++d) {
    for (int i = 0; i < per_domain; ++i) {
      const std::string number = std::to_string((d * per_domain) + i);
      members.push_back({.name = "g" + number,
                         .failure_domain = "d" + std::to_string(d),
                         .peer_address = "10.0.0.1:" + number});
    }
  }
  return members;
}

/// In-memory store of one table.
class MemoryStore {
 public:
  StoreVersion Put(const std::string& key, const std::string& value) {
    const StoreVersion version = NextVersion();
    m_rows[key] = {.key = key, .value = value, .version = version};
    Notify();
    return version;
  }
  StoreVersion Remove(const std::string& key) {
    const StoreVersion version = NextVersion();
    m_rows[key] = {
        .key = key, .value = {}, .version = version, .deleted = true};
    Notify();
    return version;
  }

  StoreRows Page() const {
    StoreRows rows{.result = StoreResult::kOk, .version = m_version};
    for (const auto& [key, row] : m_rows) {
      if (!row.deleted) {
        rows.rows.push_back(row);
      }
    }
    return rows;
  }
  StoreRows ChangesAfter(const StoreVersion& version) const {
    StoreRows rows{.result = StoreResult::kOk, .version = m_version};
    std::map<StoreVersion, StoreRow> changed;
    for (const auto& [key, row] : m_rows) {
      if (row.version.number > version.number) {
        changed.emplace(row.version, row);
      }
    }
    for (const auto& [changed_at, row] : changed) {
      rows.rows.push_back(row);
    }
    return rows;
  }

  using Rows = std::map<std::string, StoreRow>;
  const Rows& rows() const { return m_rows; }
  /// Begins a new era with the rows of a copy, whose version was `number`.
  void Restore(const Rows& copy, uint64_t number) {
    m_version = {number, m_version.era + 1};
    m_rows = copy;
    for (auto& [key, row] : m_rows) {
      row.version.era = m_version.era;
    }
    Notify();
  }

  /// Called after each change.
  std::vector<std::function<void()>> on_change;
  StoreVersion m_version = 10;

 private:
  StoreVersion NextVersion() {
    ++m_version.number;
    return m_version;
  }
  void Notify() {
    for (const auto& hook : on_change) {
      hook();
    }
  }
  std::map<std::string, StoreRow> m_rows;
};

/// One gateway's link to the store. A cut link does not answer until the call
/// times out; a refusing link fails immediately.
class StoreLink : public MetadataStore {
 public:
  StoreLink(EventLoop* loop, MemoryStore* store)
      : m_loop(loop), m_store(store) {
    store->on_change.emplace_back([this] { Wake(); });
  }

  void Read(const std::string&,
            const std::string&,
            RowsCallback callback) override {
    ++calls;
    Answer(std::move(callback), [this] { return m_store->Page(); });
  }
  void WaitForChanges(const std::string&,
                      const StoreVersion& version,
                      Duration wait,
                      RowsCallback callback) override {
    ++calls;
    if (is_cut || is_refusing) {
      Answer(std::move(callback), [] { return StoreRows{}; });
      return;
    }
    const uint64_t number = m_next++;
    m_waits[number] = {version, std::move(callback)};
    m_loop->Schedule(wait, [this, number] { Finish(number); });
    Wake();
  }
  void Write(const StoreWrite&, WriteCallback callback) override {
    callback(StoreResult::kOk);
  }

  bool is_cut = false;
  bool is_refusing = false;
  int calls = 0;

 private:
  struct Wait {
    StoreVersion version;
    RowsCallback callback;
  };

  void Answer(RowsCallback callback, std::function<StoreRows()> rows) {
    const bool fails = is_cut || is_refusing;
    m_loop->Schedule(is_cut ? Duration(milliseconds(60)) : Duration{0},
                     [callback = std::move(callback), rows = std::move(rows),
                      fails] { callback(fails ? StoreRows{} : rows()); });
  }
  void Wake() {
    m_loop->Post([this] {
      std::vector<uint64_t> ready;
      for (const auto& [number, wait] : m_waits) {
        if (m_store->m_version.number != wait.version.number && !is_cut) {
          ready.push_back(number);
        }
      }
      for (const uint64_t number : ready) {
        Finish(number);
      }
    });
  }
  void Finish(uint64_t number) {
    const auto it = m_waits.find(number);
    if (it == m_waits.end()) {
      return;
    }
    const Wait wait = std::move(it->second);
    m_waits.erase(it);
    if (!is_cut && wait.version.number > m_store->m_version.number) {
      wait.callback({.result = StoreResult::kHistoryGone});
      return;
    }
    wait.callback(is_cut ? StoreRows{} : m_store->ChangesAfter(wait.version));
  }

  EventLoop* m_loop;
  MemoryStore* m_store;
  uint64_t m_next = 0;
  std::map<uint64_t, Wait> m_waits;
};

struct RelayFleet;

/// One gateway that follows the table "t".
struct RelayNode {
  RelayNode(RelayFleet* fleet, GatewayMember member);

  GatewayMember self;
  StoreLink link;
  MetricRegistry metrics;
  RelaySelector selector;
  RelayedStore store;
  std::map<std::string, StoreVersion> rows;
  bool has_regressed = false;
  StoreWatch watch;
  /// Requests of other gateways are not served, and this gateway's answers are
  /// not delivered.
  bool is_frozen = false;
  bool is_dead = false;
};

/// Gateways on one event loop. A call between them takes one iteration of the
/// loop.
struct RelayFleet {
  RelayFleet(int domains, int per_domain)
      : members(MakeMembers(domains, per_domain)) {
    store.Put("old", "1");
    for (const GatewayMember& member : members) {
      nodes.push_back(std::make_unique<RelayNode>(this, member));
    }
    for (const auto& node : nodes) {
      node->selector.SetMembers(members);
      node->store.OnMembersChanged();
      node->watch.Start();
    }
  }

  void Call(const std::string& address,
            const std::string& path,
            std::string body,
            Duration timeout,
            const std::function<void(const std::string*)>& callback) {
    REQUIRE(path == kPathRelayRows);
    const auto done = std::make_shared<bool>(false);
    const auto finish = [done, callback](const std::string* answer) {
      if (!std::exchange(*done, true)) {
        callback(answer);
      }
    };
    loop.Schedule(timeout, [finish] { finish(nullptr); });
    loop.Post([this, address, body = std::move(body), finish] {
      RelayNode* node = At(address);
      ++relay_calls;
      if (node->is_dead) {
        finish(nullptr);
      } else if (!node->is_frozen) {
        node->store.Serve(body, [node, finish](int, const std::string& answer) {
          if (!node->is_frozen && !node->is_dead) {
            finish(&answer);
          }
        });
      }
    });
  }

  RelayNode* At(const std::string& address) {
    for (const auto& node : nodes) {
      if (node->self.peer_address == address) {
        return node.get();
      }
    }
    return nullptr;
  }
  std::vector<RelayNode*> Readers(const std::string& domain) {
    std::vector<RelayNode*> readers;
    for (const auto& node : nodes) {
      if (node->self.failure_domain == domain && node->selector.IsReader()) {
        readers.push_back(node.get());
      }
    }
    return readers;
  }
  int StoreCalls() const {
    int calls = 0;
    for (const auto& node : nodes) {
      calls += node->link.calls;
    }
    return calls;
  }

  /// Runs the loop until every gateway except those in `excluded` has the row.
  bool AllReceive(const std::string& key,
                  const StoreVersion& version,
                  const std::set<RelayNode*>& excluded = {}) {
    const TimePoint end = loop.Now() + seconds(20);
    const auto is_known = [&] {
      return std::ranges::all_of(nodes, [&](const auto& node) {
        return excluded.contains(node.get()) ||
               (node->rows.contains(key) && node->rows.at(key) == version);
      });
    };
    while (!is_known() && loop.Now() < end) {
      loop.RunOnce(milliseconds(2));
    }
    return is_known();
  }
  void Run(Duration time) {
    const TimePoint end = loop.Now() + time;
    while (loop.Now() < end) {
      loop.RunOnce(milliseconds(2));
    }
  }
  bool HasRegressed() const {
    return std::ranges::any_of(
        nodes, [](const auto& node) { return node->has_regressed; });
  }

  EventLoop loop;
  MemoryStore store;
  std::mt19937_64 random{5};
  std::vector<GatewayMember> members;
  int relay_calls = 0;
  std::vector<std::unique_ptr<RelayNode>> nodes;
};

inline constexpr RelayWaitLimits kTestWaitLimits{
    .store_wait = milliseconds(60),
    .relay_wait = milliseconds(40),
    .direct_wait = milliseconds(200)};

inline RelayNode::RelayNode(RelayFleet* fleet, GatewayMember member)
    : self(std::move(member)),
      link(&fleet->loop, &fleet->store),
      selector(self.name,
               self.failure_domain,
               &SteadyNow,
               [fleet] { return fleet->random(); }),
      store(&fleet->loop,
            &link,
            &selector,
            &metrics,
            self.name,
            {{"t", RelayedStore::ReadMode::kWatched},
             {"polled", RelayedStore::ReadMode::kPolled}},
            kTestWaitLimits,
            {.call =
                 [fleet](
                     const std::string& address,
                     const std::string& path,
                     std::string body,
                     Duration timeout,
                     const std::function<void(const std::string*)>& callback) {
                   fleet->Call(address, path, std::move(body), timeout,
                               callback);
                 },
             .on_unknown_sender = [] {},
             .age_clock = &SteadyNow,
             .random = [fleet] { return fleet->random(); }}),
      watch(&fleet->loop,
            &store,
            "t",
            {.wait = seconds(3), .pause = milliseconds(1)},
            {.on_row =
                 [this](const StoreRow& row) {
                   StoreVersion& known = rows[row.key];
                   has_regressed = has_regressed || row.version < known;
                   known = row.version;
                 },
             .on_complete = [] {},
             .on_reachable = [](bool, const std::string&) {},
             .random = [fleet] { return fleet->random(); }}) {}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TESTS_RELAY_FLEET_H_
