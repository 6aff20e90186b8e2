// Rows of the store through relays: the cached copy of a relay, the choice of a
// source, the messages, and gateways that follow one store in memory while
// relays freeze, die, are cut off or fall behind.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "bramleybank/result_code.h"
#include "event_loop.h"
#include "metric_registry.h"
#include "relay_message.h"
#include "relay_selector.h"
#include "relayed_store.h"
#include "row_cache.h"
#include "store_watch.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StoreRow MakeRow(const std::string& key, uint64_t version) {
  return {.key = key, .value = std::to_string(version), .version = version};
}

StoreRow MakeDeleted(const std::string& key, uint64_t version) {
  return {.key = key, .value = {}, .version = version, .deleted = true};
}

StoreRows MakeRows(uint64_t version, std::vector<StoreRow> rows) {
  return {
      .result = StoreResult::kOk, .rows = std::move(rows), .version = version};
}

std::vector<std::string> KeysOf(const StoreRows& rows) {
  std::vector<std::string> keys;
  for (const StoreRow& row : rows.rows) {
    keys.push_back((row.deleted ? "-" : "+") + row.key);
  }
  return keys;
}

using Keys = std::vector<std::string>;

TEST_CASE("a relay's cache answers reads and waits as the store does") {
  RowCache cache;
  CHECK_FALSE(cache.ChangesAfter(0).has_value());
  cache.AddPage(true, MakeRows(5, {MakeRow("a", 1), MakeRow("b", 2)}));
  cache.AddChanges(5, MakeRows(7, {MakeRow("c", 6), MakeDeleted("a", 7)}));
  CHECK(KeysOf(*cache.ChangesAfter(5)) == Keys{"+c", "-a"});
  CHECK(cache.ChangesAfter(7)->rows.empty());
  CHECK(KeysOf(cache.PageAfter("")) == Keys{"+b", "+c"});
  CHECK(KeysOf(cache.PageAfter("b")) == Keys{"+c"});
  // Guards against changes that a follower misses: rows deleted before the copy
  // was read are not known.
  CHECK_FALSE(cache.ChangesAfter(4).has_value());
}

// Guards against a row that is replaced by an older version when an answer
// arrives late.
TEST_CASE("an older answer does not overwrite a newer row") {
  RowCache cache;
  cache.AddPage(true, MakeRows(5, {MakeRow("a", 1)}));
  cache.AddChanges(5, MakeRows(9, {MakeRow("a", 9)}));
  cache.AddChanges(5, MakeRows(7, {MakeRow("a", 7)}));
  CHECK(cache.version() == 9);
  CHECK(cache.PageAfter("").rows == std::vector{MakeRow("a", 9)});
}

// Guards against a relay that serves a copy in which changes are missing.
TEST_CASE("changes that are not contiguous make the cache incomplete") {
  RowCache cache;
  cache.AddPage(true, MakeRows(5, {MakeRow("a", 1)}));
  cache.AddChanges(8, MakeRows(9, {MakeRow("b", 9)}));
  CHECK_FALSE(cache.is_complete());
  cache.AddPage(true, MakeRows(10, {MakeRow("b", 9)}));
  CHECK(cache.is_complete());
  // Rows that a read no longer contains are reported as deleted.
  CHECK(KeysOf(cache.PageAfter("")) == Keys{"+b"});
  CHECK_FALSE(cache.ChangesAfter(9).has_value());
}

// Guards against memory that grows with the number of all endpoints that ever
// existed.
TEST_CASE("deleted rows are dropped, and followers read again") {
  RowCache cache;
  cache.AddPage(true, MakeRows(1, {}));
  for (uint64_t i = 2; i < kMaxRelayTombstones + 12; ++i) {
    cache.AddChanges(i - 1, MakeRows(i, {MakeDeleted(std::to_string(i), i)}));
  }
  CHECK_FALSE(cache.ChangesAfter(5).has_value());
  CHECK(cache.ChangesAfter(20)->rows.size() <= kMaxRelayTombstones);
}

// Guards against rows of one transaction that are split between two answers.
TEST_CASE("an answer is split between versions only") {
  RowCache cache;
  std::vector<StoreRow> rows;
  for (int i = 0; i < 20; ++i) {
    StoreRow row = MakeRow("k" + std::to_string(i), i < 10 ? 5 : 6);
    row.value.assign(kMaxRelayAnswerBytes / 8, 'x');
    rows.push_back(row);
  }
  cache.AddPage(true, MakeRows(1, {}));
  cache.AddChanges(1, MakeRows(6, rows));
  const auto first = cache.ChangesAfter(1);
  REQUIRE(first.has_value());
  CHECK(first->rows.size() == 10);
  CHECK(first->version == 5);
  CHECK(cache.ChangesAfter(first->version)->rows.size() == 10);
}

std::vector<GatewayMember> MakeMembers(int domains, int per_domain) {
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

RelaySelector MakeSelector(const GatewayMember& self, TimePoint* now) {
  return {self.name, self.failure_domain, [now] { return *now; },
          [] { return uint64_t{0}; }};
}

// Guards against calls to the store that grow with the number of gateways, and
// against a single relay that all others follow.
TEST_CASE("two gateways of a large domain read the store for the others") {
  TimePoint now{};
  const auto members = MakeMembers(6, 50);
  int readers = 0;
  std::map<std::string, int> followers;
  for (const GatewayMember& member : members) {
    RelaySelector selector = MakeSelector(member, &now);
    selector.SetMembers(members);
    CHECK(selector.reader_count() == 6 * kRelaysPerDomain);
    readers += selector.IsReader() ? 1 : 0;
    if (!selector.IsReader()) {
      ++followers[selector.Sources().front().relay];
    }
  }
  CHECK(readers == 6 * kRelaysPerDomain);
  CHECK(followers.size() == 6 * kRelaysPerDomain);
  for (const auto& [relay, count] : followers) {
    CHECK(count >= 12);
  }
}

// Guards against a small domain that pays the cost of relays, and against a
// gateway that finds no source because it is not in the list.
TEST_CASE("gateways of a small domain read the store themselves") {
  TimePoint now{};
  for (const int size : {1, 3, static_cast<int>(kMinRelayedGateways) - 1}) {
    const auto members = MakeMembers(3, size);
    RelaySelector selector = MakeSelector(members[0], &now);
    CHECK(selector.Sources() == std::vector{RowSource{}});
    selector.SetMembers(members);
    CHECK(selector.IsReader());
    CHECK(selector.Sources().front().is_store());
  }
  RelaySelector unlisted =
      MakeSelector({.name = "new", .failure_domain = "d0"}, &now);
  unlisted.SetMembers(MakeMembers(1, 20));
  CHECK(unlisted.IsReader());
}

// Guards against followers that keep asking a dead relay, and against a
// follower that never returns to a relay that has recovered.
TEST_CASE("a source that failed is left out for a growing time") {
  TimePoint now{};
  const auto members = MakeMembers(2, 20);
  const auto follower = std::ranges::find_if(members, [&](const auto& member) {
    RelaySelector selector = MakeSelector(member, &now);
    selector.SetMembers(members);
    return !selector.IsReader();
  });
  RelaySelector selector = MakeSelector(*follower, &now);
  selector.SetMembers(members);
  const std::vector<RowSource> all = selector.Sources();
  // Both relays of the domain, the store, and a reader of the other domain.
  REQUIRE(all.size() == 4);
  CHECK(all[2].is_store());
  selector.OnFailure(all[0]);
  CHECK(selector.Sources().front() == all[1]);
  selector.OnFailure(all[1]);
  CHECK(selector.Sources().front().is_store());
  selector.OnFailure(all[2]);
  CHECK(selector.Sources() == std::vector{all[3]});
  now += kMinSourceBackoff;
  CHECK(selector.Sources() == all);
  selector.OnFailure(all[0]);
  now += kMinSourceBackoff / 2;
  CHECK(selector.Sources().front() == all[1]);
  selector.OnSuccess(all[0]);
  CHECK(selector.Sources() == all);
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
      if (row.version > version) {
        changed.emplace(row.version, row);
      }
    }
    for (const auto& [changed_at, row] : changed) {
      rows.rows.push_back(row);
    }
    return rows;
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
        if (m_store->m_version > wait.version && !is_cut) {
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
    wait.callback(is_cut ? StoreRows{} : m_store->ChangesAfter(wait.version));
  }

  EventLoop* m_loop;
  MemoryStore* m_store;
  uint64_t m_next = 0;
  std::map<uint64_t, Wait> m_waits;
};

struct Fleet;

/// One gateway that follows the table "t".
struct Node {
  Node(Fleet* fleet, GatewayMember member);

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
struct Fleet {
  Fleet(int domains, int per_domain)
      : members(MakeMembers(domains, per_domain)) {
    store.Put("old", "1");
    for (const GatewayMember& member : members) {
      nodes.push_back(std::make_unique<Node>(this, member));
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
      Node* node = At(address);
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

  Node* At(const std::string& address) {
    for (const auto& node : nodes) {
      if (node->self.peer_address == address) {
        return node.get();
      }
    }
    return nullptr;
  }
  std::vector<Node*> Readers(const std::string& domain) {
    std::vector<Node*> readers;
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
                  const std::set<Node*>& excluded = {}) {
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
  std::vector<std::unique_ptr<Node>> nodes;
};

constexpr RelayWaitLimits kTestWaitLimits{.store_wait = milliseconds(60),
                                          .relay_wait = milliseconds(40),
                                          .direct_wait = milliseconds(200)};

Node::Node(Fleet* fleet, GatewayMember member)
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

// Guards against calls to the store that grow with the number of gateways.
TEST_CASE("only relays call the store once all gateways follow") {
  Fleet fleet(2, 12);
  CHECK(fleet.AllReceive("old", 11));
  fleet.Run(milliseconds(300));
  std::vector<int> before;
  for (const auto& node : fleet.nodes) {
    before.push_back(node->link.calls);
  }
  const StoreVersion version = fleet.store.Put("new", "2");
  CHECK(fleet.AllReceive("new", version));
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (!fleet.nodes[i]->selector.IsReader()) {
      CHECK(fleet.nodes[i]->link.calls == before[i]);
    }
  }
  CHECK_FALSE(fleet.HasRegressed());
}

// Guards against changes that do not arrive because a relay is dead, frozen or
// cut off from the store. Its followers must read the store or follow the other
// relay.
TEST_CASE("updates arrive when a relay dies, freezes or loses the store") {
  for (const std::string fault : {"dead", "frozen", "cut", "refused"}) {
    CAPTURE(fault);
    for (const size_t lost : {1, 2}) {
      Fleet fleet(2, 12);
      REQUIRE(fleet.AllReceive("old", 11));
      std::set<Node*> faulty;
      for (Node* relay : fleet.Readers("d0")) {
        if (faulty.size() < lost) {
          faulty.insert(relay);
          relay->is_dead = fault == "dead";
          relay->is_frozen = fault == "frozen";
          relay->link.is_cut = fault != "refused";
          relay->link.is_refusing = fault == "refused";
        }
      }
      const StoreVersion version = fleet.store.Put("new", "2");
      CHECK(fleet.AllReceive("new", version, faulty));
      // A relay that recovers catches up, and no gateway returns to older rows.
      for (Node* relay : faulty) {
        relay->is_dead = false;
        relay->is_frozen = false;
        relay->link.is_cut = false;
        relay->link.is_refusing = false;
      }
      const StoreVersion removal = fleet.store.Remove("new");
      CHECK(fleet.AllReceive("new", removal));
      CHECK_FALSE(fleet.HasRegressed());
    }
  }
}

// Guards against a gateway that gets no changes because only its own connection
// to the store, or that of its whole domain, is cut.
TEST_CASE("gateways that are cut off from the store are served by others") {
  for (const int per_domain : {1, 3, 10}) {
    CAPTURE(per_domain);
    Fleet fleet(2, per_domain);
    REQUIRE(fleet.AllReceive("old", 11));
    for (const auto& node : fleet.nodes) {
      node->link.is_cut = node->self.failure_domain == "d0";
    }
    const StoreVersion version = fleet.store.Put("new", "2");
    CHECK(fleet.AllReceive("new", version));
    CHECK_FALSE(fleet.HasRegressed());
  }
}

// Guards against followers that leave a healthy relay for the store because the
// relay has not read a table that is polled only occasionally.
TEST_CASE("a relay without a polled table keeps its followers") {
  Fleet fleet(1, 12);
  REQUIRE(fleet.AllReceive("old", 11));
  fleet.Run(milliseconds(200));
  int answers = 0;
  for (const auto& node : fleet.nodes) {
    if (!node->selector.IsReader()) {
      const RowSource relay = node->selector.Sources().front();
      REQUIRE_FALSE(relay.is_store());
      bool is_done = false;
      node->store.Read("polled", "", [&](const StoreRows& rows) {
        CHECK(rows.result == StoreResult::kUnavailable);
        is_done = true;
      });
      while (!is_done) {
        fleet.loop.RunOnce(milliseconds(2));
      }
      CHECK(node->selector.Sources().front() == relay);
      ++answers;
    }
  }
  CHECK(answers == 10);
}

// Guards against a daemon that takes an old copy for the current one. A relay
// that lost its connection to the store must not answer from its copy.
TEST_CASE("a relay without the store refuses and gives the cause") {
  Fleet fleet(1, 8);
  REQUIRE(fleet.AllReceive("old", 11));
  for (const auto& node : fleet.nodes) {
    node->link.is_refusing = true;
  }
  fleet.Run(milliseconds(400));
  Node* relay = fleet.Readers("d0").front();
  const auto ask = [&](const std::string& bytes) {
    RelayStatus status{};
    relay->store.Serve(bytes, [&](int code, const std::string& answer) {
      REQUIRE(code == 200);
      status = DecodeRelayMessage<RelayAnswer>(answer)->status;
    });
    return status;
  };
  const RelayQuery read{.sender = "g1", .table = "t"};
  CHECK(ask(EncodeRelayMessage(read)) == RelayStatus::kNotReader);
  const RelayQuery unlisted{.sender = "nobody", .table = "t"};
  CHECK(ask(EncodeRelayMessage(unlisted)) == RelayStatus::kUnknownSender);
  const RelayQuery other{.sender = "g1", .table = "x"};
  CHECK(ask(EncodeRelayMessage(other)) == RelayStatus::kNotReader);
}

// Guards against a malformed message that crashes a process or makes it
// allocate too much memory. Sends every prefix of a message, and messages with
// changed bytes.
TEST_CASE("malformed messages on the peer port are refused") {
  Fleet fleet(1, 8);
  REQUIRE(fleet.AllReceive("old", 11));
  Node* relay = fleet.Readers("d0").front();
  const std::string good = EncodeRelayMessage(
      RelayQuery{.sender = "g1", .table = "t", .wait_ms = 0, .after = "a"});
  const auto serve = [&](const std::string& bytes) {
    int answers = 0;
    int status = 0;
    relay->store.Serve(bytes, [&](int code, const std::string&) {
      ++answers;
      status = code;
    });
    CHECK(answers <= 1);
    return status;
  };
  CHECK(serve(good) == 200);
  for (size_t length = 0; length < good.size(); ++length) {
    CHECK(serve(good.substr(0, length)) == 400);
  }
  CHECK(serve(good + good) == 400);
  std::mt19937 random(11);
  for (int round = 0; round < 5000; ++round) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    serve(bytes);
  }
  // A length prefix without the bytes that it announces.
  CHECK(serve(std::string("\x96\x01\xdb\xff\xff\xff\xff", 7)) == 400);
}

TEST_CASE("messages of relays survive encoding and decoding") {
  const RelayQuery query{
      .sender = "g", .table = "t", .wait_ms = 5, .version = 7, .after = "k"};
  CHECK(DecodeRelayMessage<RelayQuery>(EncodeRelayMessage(query)) == query);
  const RelayAnswer answer{.status = RelayStatus::kOk,
                           .age_ms = 3,
                           .version = 9,
                           .has_more = true,
                           .rows = {MakeRow("a", 1), MakeDeleted("b", 2)}};
  CHECK(DecodeRelayMessage<RelayAnswer>(EncodeRelayMessage(answer)) == answer);
  const RelayEvidence evidence{.sender = "g", .service = "s", .report = "r"};
  CHECK(DecodeRelayMessage<RelayEvidence>(EncodeRelayMessage(evidence)) ==
        evidence);
  Reason error;
  CHECK_FALSE(DecodeRelayMessage<RelayAnswer>("x", &error).has_value());
  CHECK(error.code == ResultCode::kPeerBadMessage);
}

// Guards against gateways of small domains whose rows count as out of date only
// because they wait long at the store.
TEST_CASE("gateways that are cut off are served by others after a quiet time") {
  Fleet fleet(2, 3);
  REQUIRE(fleet.AllReceive("old", 11));
  for (const auto& node : fleet.nodes) {
    node->link.is_cut = node->self.failure_domain == "d0";
  }
  fleet.Run(seconds(2));
  const StoreVersion version = fleet.store.Put("new", "2");
  const TimePoint changed_at = fleet.loop.Now();
  CHECK(fleet.AllReceive("new", version));
  CHECK(fleet.loop.Now() - changed_at < seconds(2));
}

// Guards against a frozen or cut relay that makes a change arrive after the
// bound of the deployment. Both waits, their timeouts and the delay of the
// fallback must fit into it.
TEST_CASE("the waits of relays fit into the bound on propagation") {
  for (const int bound_ms : {1500, 2500, 4000, 5000, 20000}) {
    CAPTURE(bound_ms);
    const RelayWaitLimits wait_limits =
        RelayWaitLimitsFor(milliseconds(bound_ms));
    CHECK(wait_limits.store_wait + kStoreWaitTimeout + kRelayFallbackSpread <
          milliseconds(bound_ms));
    CHECK(wait_limits.relay_wait + kRelayTimeout + kRelayFallbackSpread <
          milliseconds(bound_ms));
    CHECK(wait_limits.direct_wait + kStoreWaitTimeout + kMaxStoreRetryDelay <
          milliseconds(bound_ms));
    CHECK(wait_limits.max_age() >= wait_limits.direct_wait + kStoreWaitTimeout);
  }
}

}  // namespace
}  // namespace bramleybank
