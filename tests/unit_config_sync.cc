// Guards against a configuration that reverts to a lower number or skips
// changes, and against a daemon that reports ready without a current
// configuration.
#include <doctest/doctest.h>

#include <utility>

#include "config_fake_platform.h"
#include "config_log.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AddCustomer;
using testing::ConfigFakePlatform;

/// The configuration log and sync of one daemon. Its peers are the logs in
/// `peers`.
struct Daemon {
  explicit Daemon(ConfigFakePlatform* shared)
      : platform(shared),
        sync(
            &log,
            {.scan_log =
                 [shared](uint64_t after, size_t limit, const auto& callback) {
                   shared->ScanLog(after, limit, callback);
                 },
             .read_snapshot =
                 [shared](const auto& callback) {
                   shared->ReadSnapshot(callback);
                 },
             .fetch_from_peer =
                 [this](const std::string& peer,
                        uint64_t from,
                        const ConfigSyncHooks::PeerCallback& callback) {
                   ++peer_requests;
                   const auto it = peers.find(peer);
                   answers.push_back([=, this] {
                     callback(
                         it == peers.end()
                             ? std::nullopt
                             : std::optional(it->second->AnswerAfter(from)));
                   });
                 },
             .live_peers =
                 [this] {
                   std::vector<std::string> names;
                   for (const auto& [name, peer] : peers) {
                     names.push_back(name);
                   }
                   return names;
                 },
             .on_config =
                 [this](const std::shared_ptr<const ConfigSnapshot>& snapshot) {
                   in_force.push_back(snapshot->number);
                 }},
            [this] { return now; },
            [this] { return random++; }) {}

  /// Advances the clock by `duration` in steps of 100 ms; each step ticks the
  /// sync and delivers all answers.
  void Run(Duration duration) {
    for (Duration passed{0}; passed < duration; passed += milliseconds(100)) {
      now += milliseconds(100);
      sync.Tick();
      if (!silent_platform) {
        platform->Deliver();
      }
      for (const auto& answer : std::exchange(answers, {})) {
        answer();
      }
    }
  }

  ConfigFakePlatform* platform;
  TimePoint now{std::chrono::hours(1)};
  uint64_t random = 0;
  bool silent_platform = false;
  std::map<std::string, ConfigLog*> peers;
  int peer_requests = 0;
  std::vector<std::function<void()>> answers;
  std::vector<uint64_t> in_force;
  ConfigLog log;
  ConfigSync sync;
};

void AddRows(ConfigFakePlatform* platform, uint64_t first, uint64_t last) {
  for (uint64_t number = first; number <= last; ++number) {
    const std::string name = "c" + std::to_string(number);
    platform->rows[ConfigLogKey(number)] =
        FormatConfigChange(AddCustomer(name, name, number));
  }
}

ConfigLog LogAt(uint64_t number) {
  ConfigLog log;
  log.Load(
      {.number = number, .endpoints = {}, .services = {}, .customers = {}});
  return log;
}

TEST_CASE("a new daemon loads the snapshot and the rows after it") {
  ConfigFakePlatform platform;
  platform.snapshot = FormatConfigSnapshot(*LogAt(1000).Snapshot());
  AddRows(&platform, 900, 2200);
  Daemon daemon(&platform);
  CHECK_FALSE(daemon.sync.is_ready());
  daemon.Run(seconds(1));
  CHECK(daemon.sync.is_ready());
  // No intermediate number was announced, although the rows were read by three
  // scans.
  CHECK(daemon.in_force == std::vector<uint64_t>{2200});
  AddRows(&platform, 2201, 2201);
  daemon.Run(seconds(3));
  CHECK(daemon.in_force == std::vector<uint64_t>{2200, 2201});
}

TEST_CASE("an empty platform leads to an empty configuration") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  daemon.Run(seconds(1));
  CHECK(daemon.in_force == std::vector<uint64_t>{0});
}

TEST_CASE("without platform and peers a daemon is not ready") {
  ConfigFakePlatform platform;
  platform.down = true;
  Daemon daemon(&platform);
  ConfigLog empty;
  daemon.peers["10.0.0.2:1"] = &empty;
  daemon.Run(seconds(20));
  CHECK_FALSE(daemon.sync.is_ready());
  CHECK(daemon.in_force.empty());
}

TEST_CASE("a daemon restarted while the platform is down loads from peers") {
  ConfigFakePlatform platform;
  platform.snapshot = FormatConfigSnapshot(*LogAt(1000).Snapshot());
  Daemon daemon(&platform);
  ConfigLog peer = LogAt(1400);
  daemon.peers["10.0.0.2:1"] = &peer;
  SUBCASE("requests fail immediately") {
    platform.down = true;
  }
  SUBCASE("silent") {
    daemon.silent_platform = true;
  }
  // The peer is asked before the request to a silent platform times out.
  daemon.Run(seconds(2));
  REQUIRE_FALSE(daemon.in_force.empty());
  CHECK(daemon.in_force.front() == 1400);
  // The platform recovers, and its snapshot is older.
  platform.down = false;
  daemon.Run(seconds(10));
  CHECK(daemon.in_force == std::vector<uint64_t>{1400});
  CHECK(daemon.log.number() == 1400);
}

TEST_CASE("a request without an answer times out and is retried") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  daemon.silent_platform = true;
  daemon.Run(seconds(1));
  platform.DropAnswers();
  daemon.silent_platform = false;
  daemon.Run(seconds(6));
  CHECK(daemon.sync.is_ready());
  CHECK(daemon.sync.counters().platform_failures == 1);
}

TEST_CASE("a platform that fails after the snapshot does not make ready") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  daemon.log.Load(*LogAt(1000).Snapshot());
  platform.down = true;
  // The empty answer of a peer without a configuration does not show that the
  // loaded configuration is current.
  ConfigLog empty;
  daemon.peers["10.0.0.2:1"] = &empty;
  daemon.Run(seconds(10));
  CHECK(daemon.peer_requests > 0);
  CHECK_FALSE(daemon.sync.is_ready());
  CHECK(daemon.in_force.empty());
  // The daemon must not send its old configuration to peers either.
  CHECK(daemon.sync.AnswerPeer(0).snapshot == nullptr);
  platform.down = false;
  daemon.Run(seconds(5));
  CHECK(daemon.sync.AnswerPeer(0).snapshot->number == 1000);
}

TEST_CASE("a higher number in gossip is fetched immediately from its peer") {
  ConfigFakePlatform platform;
  AddRows(&platform, 1, 5);
  Daemon daemon(&platform);
  daemon.Run(seconds(1));
  platform.down = true;
  ConfigLog peer = LogAt(5);
  peer.Apply(AddCustomer("new", "new", 6));
  daemon.peers["10.0.0.2:1"] = &peer;
  daemon.sync.OnHigherNumber("10.0.0.2:1", 6);
  daemon.sync.OnHigherNumber("10.0.0.2:1", 6);
  CHECK(daemon.peer_requests == 1);
  daemon.Run(milliseconds(100));
  CHECK(daemon.in_force.back() == 6);
  daemon.sync.OnHigherNumber("10.0.0.2:1", 6);
  CHECK(daemon.peer_requests == 1);
}

TEST_CASE("the platform is polled when the reported peer does not answer") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  daemon.Run(milliseconds(100));
  AddRows(&platform, 1, 1);
  daemon.sync.OnHigherNumber("10.0.0.9:1", 1);
  daemon.Run(milliseconds(200));
  CHECK(daemon.in_force.back() == 1);
}

TEST_CASE("a gap in the log is not skipped; a peer or snapshot closes it") {
  ConfigFakePlatform platform;
  AddRows(&platform, 1, 3);
  Daemon daemon(&platform);
  daemon.Run(seconds(1));
  AddRows(&platform, 6, 8);
  daemon.Run(seconds(5));
  CHECK(daemon.log.number() == 3);
  CHECK(daemon.sync.last_reason().code == ResultCode::kConfigurationBehind);
  SUBCASE("snapshot") {
    platform.snapshot = FormatConfigSnapshot(*LogAt(6).Snapshot());
    daemon.Run(seconds(5));
    CHECK(daemon.log.number() == 8);
  }
  SUBCASE("peer") {
    ConfigLog peer = LogAt(7);
    daemon.peers["10.0.0.2:1"] = &peer;
    daemon.Run(seconds(5));
    CHECK(daemon.log.number() == 8);
  }
}

TEST_CASE("a malformed row is reported, and rows after it are not applied") {
  ConfigFakePlatform platform;
  AddRows(&platform, 1, 3);
  platform.rows[ConfigLogKey(2)] = "{\"id\":\"x\"}";
  Daemon daemon(&platform);
  daemon.Run(seconds(5));
  CHECK(daemon.log.number() == 1);
  CHECK(daemon.sync.counters().refused > 0);
  CHECK(daemon.sync.last_reason().code == ResultCode::kBadConfiguration);
}

}  // namespace
}  // namespace bramleybank
