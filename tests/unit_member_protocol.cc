// Tests groups of members over an in-memory switch. Guards against false
// deaths, members that are not found again, and stale updates that undo newer
// ones.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "bramleybank/limits.h"
#include "member_switch.h"

namespace bramleybank {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using testing::MemberSwitch;

/// Starts a group and waits until all members know each other.
void StartAndConverge(MemberSwitch* net, int count) {
  net->StartGroup(count);
  REQUIRE(net->RunUntil(seconds(60), [&] { return net->HasConverged(); }));
}

uint64_t TotalDeaths(MemberSwitch* net) {
  uint64_t deaths = 0;
  for (const auto& [peer, node] : net->nodes()) {
    deaths += node.protocol ? node.protocol->counters().deaths : 0;
  }
  return deaths;
}

MemberState StateAt(MemberSwitch* net, int observer, int subject) {
  const MemberRow* row =
      net->At(observer).table().Find(MemberSwitch::Peer(subject));
  return row == nullptr ? MemberState::kDead : row->info.state;
}

TEST_CASE(
    "members find each other through seeds; a killed one is declared dead") {
  MemberSwitch net(1);
  StartAndConverge(&net, 12);
  net.Kill(5);
  CHECK(net.RunUntil(seconds(60), [&] { return net.HasConverged(); }));
  CHECK(StateAt(&net, 0, 5) == MemberState::kDead);
  CHECK(TotalDeaths(&net) == 11);
}

TEST_CASE("10 percent packet loss causes no deaths") {
  MemberSwitch net(2);
  StartAndConverge(&net, 20);
  net.set_loss(100);
  net.Run(minutes(10));
  CHECK(TotalDeaths(&net) == 0);
  CHECK(net.HasConverged());
}

TEST_CASE("a link that is down in one direction causes no deaths") {
  MemberSwitch net(3);
  StartAndConverge(&net, 6);
  net.set_drop([](const std::string& from, const std::string& to) {
    return from == MemberSwitch::Peer(1) && to == MemberSwitch::Peer(2);
  });
  net.Run(minutes(5));
  CHECK(TotalDeaths(&net) == 0);
  // The indirect pings bypass the link, so no member is even suspected.
  for (const auto& [peer, node] : net.nodes()) {
    CHECK(node.protocol->counters().suspicions == 0);
  }
}

TEST_CASE("a member paused for 5 s declares no member dead and stays live") {
  for (uint64_t seed = 10; seed < 20; ++seed) {
    MemberSwitch net(seed);
    StartAndConverge(&net, 9);
    net.Pause(4);
    net.Run(seconds(5));
    net.Resume(4);
    CHECK(net.At(4).health_multiplier() == 4);
    net.Run(seconds(60));
    CHECK(TotalDeaths(&net) == 0);
    CHECK(net.At(4).health_multiplier() == 1);
    CHECK(net.At(4).counters().pauses == 1);
    CHECK(net.HasConverged());
  }
}

TEST_CASE("a member paused during suspicions probes the suspects again first") {
  MemberSwitch net(21);
  StartAndConverge(&net, 6);
  // All others become suspect at member 4. It is then paused while the link
  // recovers and the suspicions would time out.
  net.set_drop([](const std::string& /*from*/, const std::string& to) {
    return to == MemberSwitch::Peer(4);
  });
  REQUIRE(net.RunUntil(seconds(30),
                       [&] { return net.At(4).counters().suspicions > 0; }));
  net.Pause(4);
  net.set_drop({});
  net.Run(seconds(120));
  net.Resume(4);
  net.Run(seconds(30));
  CHECK(net.At(4).counters().deaths == 0);
}

TEST_CASE("all members of a lost failure domain are declared dead") {
  MemberSwitch net(4);
  StartAndConverge(&net, 18);
  for (int i = 0; i < 18; i += 6) {
    net.Kill(i);
  }
  CHECK(net.RunUntil(seconds(90), [&] { return net.HasConverged(); }));
}

TEST_CASE("a region that was partitioned rejoins the group") {
  MemberSwitch net(5);
  StartAndConverge(&net, 12);
  // Without seeds, only pings to dead members reconnect the two sides.
  for (auto& [peer, node] : net.nodes()) {
    node.protocol->SetSeeds({});
  }
  const auto is_cut_off = [&](const std::string& peer) {
    return net.nodes().at(peer).options.region == "region-1";
  };
  net.set_drop([&](const std::string& from, const std::string& to) {
    return is_cut_off(from) != is_cut_off(to);
  });
  CHECK(net.RunUntil(minutes(3), [&] {
    return net.At(0).table().Live().size() == 8 &&
           net.At(1).table().Live().size() == 4;
  }));
  net.Run(minutes(5));
  const uint64_t deaths = TotalDeaths(&net);
  net.set_drop({});
  CHECK(net.RunUntil(minutes(3), [&] { return net.HasConverged(); }));
  net.Run(minutes(1));
  CHECK(net.HasConverged());
  // While the two sides merge, their stale states must not cause deaths.
  CHECK(TotalDeaths(&net) == deaths);
}

TEST_CASE("a VM replaced at the same address is a new member") {
  MemberSwitch net(6);
  StartAndConverge(&net, 6);
  net.Kill(3);
  net.Start(3, 2, {MemberSwitch::Peer(0)});
  CHECK(net.RunUntil(seconds(60), [&] {
    const MemberRow* row = net.At(5).table().Find(MemberSwitch::Peer(3));
    return row->info.start_number == 2 && net.HasConverged();
  }));
  net.Run(minutes(2));
  CHECK(StateAt(&net, 5, 3) == MemberState::kAlive);
}

TEST_CASE("a daemon restarted with a lower start number raises it") {
  MemberSwitch net(7);
  StartAndConverge(&net, 4);
  net.Kill(3);
  net.Start(3, 0, {MemberSwitch::Peer(0)});
  CHECK(net.RunUntil(seconds(60), [&] { return net.HasConverged(); }));
  CHECK(net.At(3).table().self().start_number > 1);
}

TEST_CASE("a member that leaves is not suspected") {
  MemberSwitch net(8);
  StartAndConverge(&net, 9);
  net.At(2).Leave();
  net.Flush(&net.nodes().at(MemberSwitch::Peer(2)));
  net.Run(seconds(1));
  net.Kill(2);
  CHECK(net.RunUntil(seconds(10), [&] { return net.HasConverged(); }));
  CHECK(StateAt(&net, 0, 2) == MemberState::kLeft);
  CHECK(TotalDeaths(&net) == 0);
}

TEST_CASE("a member that was started without seeds is found by the others") {
  MemberSwitch net(9);
  StartAndConverge(&net, 5);
  net.Kill(0);
  net.Run(seconds(30));
  // The others still have its address as a seed; the new process knows no
  // member.
  net.Start(0, 2, {});
  CHECK(net.RunUntil(seconds(60), [&] { return net.HasConverged(); }));
}

TEST_CASE("a member that left rejoins without seeds of its own") {
  MemberSwitch net(15);
  StartAndConverge(&net, 5);
  net.At(0).Leave();
  net.Flush(&net.nodes().at(MemberSwitch::Peer(0)));
  net.Run(seconds(10));
  net.Start(0, 2, {});
  CHECK(net.RunUntil(seconds(60), [&] { return net.HasConverged(); }));
}

TEST_CASE("confirmations of all members reach all members despite loss") {
  MemberSwitch net(11);
  StartAndConverge(&net, 30);
  net.set_loss(100);
  std::set<std::string> named;
  for (auto& [peer, node] : net.nodes()) {
    MemberProtocol* protocol = node.protocol.get();
    protocol->SetHooks({.on_member = {},
                        .on_notice = {},
                        .on_higher_config = [protocol](const std::string& from,
                                                       uint64_t number) {
                          if (!from.empty()) {
                            protocol->ConfirmConfig(number);
                          }
                        }});
  }
  net.Run(seconds(30));
  net.At(7).ConfirmConfig(42);
  // Limit in manual time. Without the confirmation bits of other members this
  // would take anti-entropy, which runs every 30 s.
  CHECK(net.RunUntil(seconds(8), [&] {
    for (const auto& [peer, node] : net.nodes()) {
      for (const MemberRow* row : node.protocol->table().Live()) {
        if (row->info.config_number != 42) {
          return false;
        }
      }
    }
    return true;
  }));
}

TEST_CASE("a stop reaches a member that was cut off when it was published") {
  MemberSwitch net(12);
  StartAndConverge(&net, 6);
  net.set_drop([](const std::string& from, const std::string& to) {
    return from == MemberSwitch::Peer(3) || to == MemberSwitch::Peer(3);
  });
  REQUIRE(net.At(0).Publish(NoticeKind::kVersionStopped, "model/v2", true));
  net.Run(minutes(2));
  net.set_drop({});
  CHECK(net.RunUntil(minutes(3), [&] {
    return net.At(3).notices().IsActive(NoticeKind::kVersionStopped,
                                        "model/v2");
  }));
}

TEST_CASE("anti-entropy delivers an update whose every transmission was lost") {
  MemberSwitch net(16);
  StartAndConverge(&net, 6);
  net.Run(seconds(10));
  net.set_loss(1000);
  REQUIRE(net.At(0).Publish(NoticeKind::kEndpointLeaving, "10.1.0.1:1", true));
  net.Run(seconds(4));
  net.set_loss(0);
  CHECK(net.RunUntil(minutes(5), [&] {
    return std::ranges::all_of(net.nodes(), [](const auto& entry) {
      return entry.second.protocol->notices().IsActive(
          NoticeKind::kEndpointLeaving, "10.1.0.1:1");
    });
  }));
  CHECK(TotalDeaths(&net) == 0);
}

TEST_CASE("mutated datagrams are counted and never throw") {
  MemberSwitch net(13);
  std::mt19937_64 random(99);
  StartAndConverge(&net, 6);
  net.set_mutate([&](std::string* bytes) {
    switch (random() % 8) {
      case 0:
        bytes->resize(random() % bytes->size());
        break;
      case 1:
        (*bytes)[random() % bytes->size()] = static_cast<char>(random());
        break;
      case 2:
        bytes->append(8, static_cast<char>(random()));
        break;
      default:
        break;
    }
  });
  net.Run(minutes(5));
  uint64_t malformed = 0;
  for (const auto& [peer, node] : net.nodes()) {
    malformed += node.protocol->counters().malformed;
    CHECK(node.protocol->table().rows().size() <= kMaxMembers);
  }
  CHECK(malformed > 100);
}

TEST_CASE(
    "datagrams stay within the size limit and senders within the byte cap") {
  MemberSwitch net(14);
  size_t largest = 0;
  net.set_mutate(
      [&](std::string* bytes) { largest = std::max(largest, bytes->size()); });
  net.StartGroup(60);
  for (int i = 0; i < 120; ++i) {
    std::map<std::string, uint64_t> before;
    for (const auto& [peer, node] : net.nodes()) {
      before[peer] = node.protocol->sent().bytes;
    }
    net.Run(seconds(1));
    for (const auto& [peer, node] : net.nodes()) {
      CHECK(node.protocol->sent().bytes - before[peer] <= 8192);
    }
  }
  CHECK(largest > 1000);
  CHECK(largest <= kMaxMemberDatagramBytes);
}

}  // namespace
}  // namespace bramleybank
