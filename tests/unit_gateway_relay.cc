// Tests of a gateway's peer port, with a gateway that reads the store and one
// that does not.
#include "gateway_relay.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "gateway_fakes.h"
#include "metric_registry.h"
#include "peer_client.h"
#include "relay_message.h"

namespace bramleybank {
namespace {

constexpr Duration kTurn = std::chrono::milliseconds(5);
constexpr int kMaxTurns = 1000;
constexpr int kGateways = 9;
constexpr int kStatusConflict = 409;

/// A loopback address that concurrent runs of this test do not use.
std::string PeerAddress() {
  const int id = getpid() % (250 * 250);
  return "127.91." + std::to_string(1 + id / 250) + "." +
         std::to_string(1 + id % 250) + ":7201";
}

/// One gateway of a failure domain with relays. `is_reader` selects a relay or
/// a gateway that is none.
class Fixture {
 public:
  explicit Fixture(bool is_reader) {
    std::vector<GatewayMember> members;
    for (int i = 0; i < kGateways; ++i) {
      members.push_back({.name = "g" + std::to_string(i),
                         .failure_domain = "a",
                         .peer_address = PeerAddress()});
    }
    for (const GatewayMember& self : members) {
      relay = std::make_unique<GatewayRelay>(
          &m_loop, &m_store, &m_metrics, self, RelayedStore::Tables{},
          std::chrono::seconds(4),
          GatewayRelay::Hooks{
              .on_unknown_sender = [] {},
              .on_evidence = [](const RelayEvidence&) { return true; },
              .on_prompts = [this](std::string_view) { ++accepted; },
              .on_prompt_query =
                  [this](uint64_t,
                         const std::function<void(const std::string&)>& done) {
                    ++queried;
                    done("e1");
                  },
              .random = [] { return 1; }});
      relay->SetMembers(members);
      if (relay->IsReader() == is_reader) {
        REQUIRE(relay->Start());
        return;
      }
    }
    FAIL("no such gateway");
  }

  PeerReply Send(const char* path, std::string body) {
    std::optional<PeerReply> answer;
    m_client.Call(PeerAddress(), path, std::move(body), std::chrono::seconds(4),
                  [&](const PeerReply& reply) { answer = reply; });
    for (int turn = 0; turn < kMaxTurns && !answer; ++turn) {
      m_loop.RunOnce(kTurn);
    }
    REQUIRE(answer.has_value());
    return *answer;
  }

  std::unique_ptr<GatewayRelay> relay;
  int accepted = 0;
  int queried = 0;

 private:
  EventLoop m_loop;
  FakeStore m_store;
  MetricRegistry m_metrics;
  PeerClient m_client{&m_loop};
};

// Guards against losing prompts at a gateway that writes no row, and against a
// loop of queries between gateways with different member lists.
TEST_CASE(
    "a gateway that does not read the store refuses prompts and queries") {
  Fixture fixture(/*is_reader=*/false);
  const PeerReply accepted = fixture.Send(
      kPathRelayPrompts,
      EncodeRelayMessage(RelayPrompts{.sender = "g1", .row = "1 e1\n"}));
  CHECK(accepted.http_status == kStatusConflict);
  const PeerReply queried = fixture.Send(
      kPathRelayPromptQuery,
      EncodeRelayMessage(RelayPromptQuery{.sender = "g1", .prompt = 1}));
  CHECK(queried.http_status == kStatusConflict);
  CHECK(fixture.accepted == 0);
  CHECK(fixture.queried == 0);
}

TEST_CASE("a relay accepts prompts and answers queries") {
  Fixture fixture(/*is_reader=*/true);
  const PeerReply accepted = fixture.Send(
      kPathRelayPrompts,
      EncodeRelayMessage(RelayPrompts{.sender = "g1", .row = "1 e1\n"}));
  CHECK(accepted.http_status == 200);
  const PeerReply queried = fixture.Send(
      kPathRelayPromptQuery,
      EncodeRelayMessage(RelayPromptQuery{.sender = "g1", .prompt = 1}));
  CHECK(queried.body == "e1");
  CHECK(fixture.accepted == 1);
  CHECK(fixture.queried == 1);
  const PeerReply unknown = fixture.Send(
      kPathRelayPrompts,
      EncodeRelayMessage(RelayPrompts{.sender = "stranger", .row = "1 e1\n"}));
  CHECK(unknown.http_status == 403);
  const PeerReply malformed = fixture.Send(kPathRelayPromptQuery, "bytes");
  CHECK(malformed.http_status == 400);
  CHECK(fixture.accepted == 1);
}

}  // namespace
}  // namespace bramleybank
