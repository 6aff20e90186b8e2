// Guards against changes that do not reach every member. The tests combine
// publisher, gossip, fetches from peers and confirmations over the in-memory
// network of MemberSwitch.
#include <doctest/doctest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "config_confirmations.h"
#include "config_fake_platform.h"
#include "config_log.h"
#include "config_publisher.h"
#include "member_report.h"
#include "member_switch.h"
#include "metric_registry.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AddCustomer;
using testing::ConfigFakePlatform;
using testing::MemberSwitch;

/// Configuration state of one daemon of the group.
struct Daemon {
  ConfigLog log;
  std::unique_ptr<ConfigSync> sync;
};

struct Group {
  explicit Group(int count) {
    net.StartGroup(count);
    for (int i = 0; i < count; ++i) {
      Attach(i);
    }
  }

  /// Creates the configuration sync of a member, and connects it to the
  /// member's protocol as the daemon does.
  void Attach(int index) {
    const std::string peer = MemberSwitch::Peer(index);
    daemons.erase(peer);
    Daemon* daemon = &daemons[peer];
    MemberProtocol* protocol = &net.At(index);
    daemon->sync = std::make_unique<ConfigSync>(
        &daemon->log,
        ConfigSyncHooks{
            .scan_log =
                [this](uint64_t after, size_t limit, const auto& callback) {
                  platform.ScanLog(after, limit, callback);
                },
            .read_snapshot =
                [this](const auto& callback) {
                  platform.ReadSnapshot(callback);
                },
            .fetch_from_peer =
                [this](const std::string& from, uint64_t number,
                       const ConfigSyncHooks::PeerCallback& callback) {
                  fetches.emplace_back([=, this] {
                    callback(daemons.at(from).sync->AnswerPeer(number));
                  });
                },
            .live_peers =
                [protocol] {
                  std::vector<std::string> peers;
                  for (const MemberRow* row : protocol->table().Live()) {
                    if (row->info.peer != protocol->table().self().peer) {
                      peers.push_back(row->info.peer);
                    }
                  }
                  return peers;
                },
            .on_config =
                [protocol](const auto& snapshot) {
                  protocol->ConfirmConfig(snapshot->number);
                }},
        [this] { return net.now(); }, [this] { return random += 7919; });
    protocol->SetHooks({.on_member = {},
                        .on_notice = {},
                        .on_higher_config = [daemon](const std::string& from,
                                                     uint64_t number) {
                          daemon->sync->OnHigherNumber(from, number);
                        }});
  }

  bool RunUntil(Duration limit, const std::function<bool()>& condition) {
    return net.RunUntil(limit, [&] {
      for (auto& [peer, daemon] : daemons) {
        daemon.sync->Tick();
      }
      platform.Deliver();
      for (const auto& fetch : std::exchange(fetches, {})) {
        fetch();
      }
      return condition();
    });
  }

  bool AllReady() {
    return std::ranges::all_of(daemons, [](const auto& entry) {
      return entry.second.sync->is_ready();
    });
  }

  MemberSwitch net{1};
  ConfigFakePlatform platform;
  uint64_t random = 0;
  std::vector<std::function<void()>> fetches;
  std::map<std::string, Daemon> daemons;
};

TEST_CASE("a change is in force everywhere within 8 s, platform down") {
  Group group(30);
  REQUIRE(group.RunUntil(seconds(60), [&] {
    return group.net.HasConverged() && group.AllReady();
  }));
  group.net.set_loss(100);
  Daemon& origin = group.daemons.at(MemberSwitch::Peer(4));
  ConfigPublisher publisher(
      &origin.log, &group.platform, [](const auto&, const auto&) {},
      [&] { origin.sync->OnLogAdvanced(); });
  publisher.Publish(AddCustomer("a", "x"), [](const auto&) {});
  group.platform.Deliver();
  // From here on, the change can spread only by gossip and fetches from peers.
  group.platform.down = true;
  const MemberTable& table = group.net.At(4).table();
  CHECK_FALSE(CheckConfirmations(table, 1).in_force);
  CHECK(group.RunUntil(seconds(8),
                       [&] { return CheckConfirmations(table, 1).in_force; }));
  for (const auto& [peer, daemon] : group.daemons) {
    CHECK(daemon.log.number() == 1);
  }

  // A daemon that restarts now loads the configuration from its peers.
  group.net.Kill(9);
  group.net.Start(9, 2, {MemberSwitch::Peer(0)});
  group.Attach(9);
  CHECK(group.RunUntil(seconds(30), [&] {
    return group.daemons.at(MemberSwitch::Peer(9)).sync->is_ready();
  }));
  CHECK(group.net.At(9).table().self().config_number == 1);
}

TEST_CASE("the status lists members that have not confirmed") {
  Group group(3);
  REQUIRE(
      group.RunUntil(seconds(30), [&] { return group.net.HasConverged(); }));
  group.net.At(0).ConfirmConfig(5);
  group.net.At(0).Publish(NoticeKind::kVersionStopped, "m/v2", true);
  const auto status =
      nlohmann::json::parse(FormatMemberStatus(group.net.At(0)));
  CHECK(status["configuration"]["number"] == 5);
  CHECK(status["configuration"]["in_force_everywhere"] == false);
  CHECK(status["configuration"]["waiting_for"].size() == 2);
  CHECK(status["members"].size() == 3);
  CHECK(status["notices"][0]["key"] == "m/v2");
  MetricRegistry metrics;
  SetMemberMetrics(group.net.At(0), &metrics);
  CHECK(metrics.Render().find("bramleybank_members_alive 3") !=
        std::string::npos);
}

}  // namespace
}  // namespace bramleybank
