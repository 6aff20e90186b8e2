// Tests the UDP adapter and the VM list on real loopback sockets. Guards
// against members that do not find each other through the list, do not detect a
// killed member, or do not accept it again after a restart.
#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <vector>

#include "event_loop.h"
#include "http_client.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "member_protocol.h"
#include "member_udp.h"
#include "platform_vm_list.h"
#include "process_fixture.h"

namespace bramleybank {
namespace {

constexpr uint16_t kPort = 7103;

/// Membership of one daemon: the protocol, its socket and the VM list.
struct Daemon {
  Daemon(EventLoop* event_loop, int host, uint64_t start_number)
      : random(static_cast<uint64_t>(host)),
        protocol(
            {.peer = Peer(host),
             .start_number = start_number,
             .region = "north",
             .failure_domain = "north-1"},
            [] { return SteadyNow(); },
            [this] { return random(); }),
        udp(event_loop, &protocol),
        client(event_loop) {
    REQUIRE(udp.Start(testing::LoopbackIp(host), kPort));
  }

  static std::string Peer(int host) {
    return testing::LoopbackIp(host) + ":" + std::to_string(kPort);
  }

  void PollVms(EventLoop* loop, const std::string& platform_url) {
    vm_list = std::make_unique<PlatformVmList>(
        loop, &client, platform_url, [this] { return random(); },
        [this](const std::vector<VmEntry>& vms) {
          std::vector<std::string> peers;
          for (const VmEntry& vm : vms) {
            peers.push_back(vm.peer);
          }
          protocol.SetSeeds(peers);
        });
    vm_list->Start();
  }

  std::mt19937_64 random;
  MemberProtocol protocol;
  MemberUdp udp;
  HttpClient client;
  std::unique_ptr<PlatformVmList> vm_list;
};

TEST_CASE(
    "members on UDP sockets find each other, detect a loss and a restart") {
  EventLoop loop;
  HttpServer platform(&loop, {});
  const auto port = platform.Start(
      testing::LoopbackIp(10), 0,
      [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
        std::string list;
        for (int host = 1; host <= 4; ++host) {
          list += (host > 1 ? "," : "") +
                  ("{\"peer\":\"" + Daemon::Peer(host)) +
                  "\",\"region\":\"north\",\"failure_domain\":\"north-1\","
                  "\"state\":\"live\"}";
        }
        responder->Respond(200, {}, "{\"vms\":[" + list + "]}");
      });
  REQUIRE(port);
  const std::string url =
      "http://" + testing::LoopbackIp(10) + ":" + std::to_string(*port);

  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int host = 1; host <= 4; ++host) {
    daemons.push_back(std::make_unique<Daemon>(&loop, host, 1));
    daemons.back()->PollVms(&loop, url);
  }
  const auto all_see = [&](size_t count) {
    loop.RunOnce(std::chrono::milliseconds(50));
    for (const auto& daemon : daemons) {
      if (daemon && daemon->protocol.table().Live().size() != count) {
        return false;
      }
    }
    return true;
  };
  testing::WaitUntil("all members to find each other",
                     [&] { return all_see(4); });

  daemons[2].reset();
  testing::WaitUntil("the killed member to be detected",
                     [&] { return all_see(3); });
  CHECK(daemons[0]->protocol.table().Find(Daemon::Peer(3))->info.state ==
        MemberState::kDead);

  // The restarted daemon does not poll the VM list; the other members contact
  // the address while they consider it dead.
  daemons[2] = std::make_unique<Daemon>(&loop, 3, 2);
  testing::WaitUntil("the restarted member to be live",
                     [&] { return all_see(4); });

  daemons[1]->udp.LeaveAndStop();
  daemons[1].reset();
  testing::WaitUntil("the stopped member to have left",
                     [&] { return all_see(3); });
  CHECK(daemons[0]->protocol.table().Find(Daemon::Peer(2))->info.state ==
        MemberState::kLeft);
  CHECK(daemons[0]->protocol.counters().malformed == 0);
  CHECK(daemons[0]->udp.send_failures() == 0);
}

TEST_CASE("binding an address that is in use fails with a reason") {
  EventLoop loop;
  Daemon first(&loop, 20, 1);
  MemberUdp second(&loop, &first.protocol);
  CHECK_FALSE(second.Start(testing::LoopbackIp(20), kPort));
  CHECK(second.last_reason().code == ResultCode::kPeerUnreachable);
}

TEST_CASE(
    "a VM list with an invalid address or structure is rejected as a whole") {
  Reason error;
  for (const char* bad :
       {"", "{}", "[]", R"({"vms":[{"peer":"x"}]})", R"({"vms":[{}]})",
        R"({"vms":[{"peer":"10.0.0.1:1"},{"peer":7}]})"}) {
    CHECK_FALSE(ParseVmList(bad, &error));
  }
  const auto good = ParseVmList(
      R"({"vms":[{"peer":"10.0.0.1:1","state":"leaving"}]})", &error);
  REQUIRE(good);
  CHECK(good->at(0).leaving);
}

}  // namespace
}  // namespace bramleybank
