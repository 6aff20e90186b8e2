// Rows of the store through relays: the choice of a source, the messages, and
// gateways that follow one store in memory while relays freeze, die, are cut
// off or fall behind.
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
#include "relay_fleet.h"
#include "relay_message.h"
#include "relay_selector.h"
#include "relayed_store.h"
#include "row_cache.h"
#include "store_watch.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

// Guards against calls to the store that grow with the number of gateways.
TEST_CASE("only relays call the store once all gateways follow") {
  RelayFleet fleet(2, 12);
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
      RelayFleet fleet(2, 12);
      REQUIRE(fleet.AllReceive("old", 11));
      std::set<RelayNode*> faulty;
      for (RelayNode* relay : fleet.Readers("d0")) {
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
      for (RelayNode* relay : faulty) {
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
    RelayFleet fleet(2, per_domain);
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
  RelayFleet fleet(1, 12);
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
  RelayFleet fleet(1, 8);
  REQUIRE(fleet.AllReceive("old", 11));
  for (const auto& node : fleet.nodes) {
    node->link.is_refusing = true;
  }
  fleet.Run(milliseconds(400));
  RelayNode* relay = fleet.Readers("d0").front();
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
  RelayFleet fleet(1, 8);
  REQUIRE(fleet.AllReceive("old", 11));
  RelayNode* relay = fleet.Readers("d0").front();
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
  const RelayAnswer answer{
      .status = RelayStatus::kOk,
      .age_ms = 3,
      .version = {9, 2},
      .has_more = true,
      .rows = {MakeRow("a", {1, 2}), MakeDeleted("b", {2, 2})}};
  CHECK(DecodeRelayMessage<RelayAnswer>(EncodeRelayMessage(answer)) == answer);
  const RelayEvidence evidence{.sender = "g", .service = "s", .report = "r"};
  CHECK(DecodeRelayMessage<RelayEvidence>(EncodeRelayMessage(evidence)) ==
        evidence);
  const RelayConfigQuery config_query{.sender = "g", .known_version = 12};
  CHECK(DecodeRelayMessage<RelayConfigQuery>(
            EncodeRelayMessage(config_query)) == config_query);
  const RelayConfigAnswer config_answer{.value = std::string(1000, 'v')};
  CHECK(DecodeRelayMessage<RelayConfigAnswer>(
            EncodeRelayMessage(config_answer)) == config_answer);
  Reason error;
  CHECK_FALSE(DecodeRelayMessage<RelayAnswer>("x", &error).has_value());
  CHECK(error.code == ResultCode::kPeerBadMessage);
}

// Guards against gateways of small domains whose rows count as out of date only
// because they wait long at the store.
TEST_CASE("gateways that are cut off are served by others after a quiet time") {
  RelayFleet fleet(2, 3);
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
