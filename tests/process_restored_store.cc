// Real gateways whose store comes back from an older copy: versions of rows go
// back and are given out again.
#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The users' bounds: a change is in force this long after its acknowledgement,
// and a gateway is in touch this long after an outage of the store.
constexpr milliseconds kApplyBound{2500};
constexpr milliseconds kContactTime{4000};
constexpr milliseconds kOutage{300};
// Time in which the restored store shows a configuration that is older than the
// one in force.
constexpr milliseconds kGap{1500};
constexpr milliseconds kPollInterval{50};
// Versions that the store gives out in the lost seconds and after them.
constexpr uint64_t kLostVersions = 5000;
constexpr uint64_t kPassingVersions = 20000;

void Sleep(milliseconds time) {
  std::this_thread::sleep_for(time);
}

std::string KeyOf(uint64_t config) {
  return "key-" + std::to_string(config);
}

/// Each configuration has a key and a route that no other one has.
void Publish(const WireDeployment& site, uint64_t config) {
  site.PublishConfig(config, KeyOf(config), WireDeployment::ProbeRoute(config));
}

int StatusOf(const WireDeployment& site,
             int gateway,
             uint64_t route_of,
             uint64_t key_of) {
  static int calls = 0;
  return site
      .Call(gateway, "GET", WireDeployment::ProbeRoute(route_of) + "x",
            "probe-" + std::to_string(++calls), KeyOf(key_of))
      .status;
}

uint64_t FollowedBy(const WireDeployment& site, int gateway) {
  return static_cast<uint64_t>(
      MetricValue(site.metrics_url(gateway), "bramleybank_config_version"));
}

/// @returns the gateways that run and follow another configuration at the end
/// of the time.
std::set<int> LateGateways(WireDeployment& site,
                           uint64_t config,
                           milliseconds time) {
  const auto end = steady_clock::now() + time;
  std::set<int> late;
  for (int i = 0; i < site.gateway_count(); ++i) {
    if (site.gateway(i).is_running()) {
      late.insert(i);
    }
  }
  while (!late.empty() && steady_clock::now() < end) {
    std::erase_if(late, [&](int i) { return FollowedBy(site, i) == config; });
    Sleep(kPollInterval);
  }
  return late;
}

/// Checks at each running gateway that requests are handled as `config` says
/// and not as the one before it does.
void CheckHandledAs(WireDeployment& site, uint64_t config) {
  for (int i = 0; i < site.gateway_count(); ++i) {
    if (!site.gateway(i).is_running()) {
      continue;
    }
    CAPTURE(i);
    CHECK(FollowedBy(site, i) == config);
    CHECK(StatusOf(site, i, config, config) == 200);
    CHECK(StatusOf(site, i, config, config - 1) == 401);
    CHECK(StatusOf(site, i, config - 1, config) == 404);
  }
}

/// Checks that all running gateways follow `config` after this time at most.
void CheckInForce(WireDeployment& site, uint64_t config, milliseconds time) {
  const std::set<int> late = LateGateways(site, config, time);
  const int first_late = late.empty() ? -1 : *late.begin();
  CAPTURE(config);
  CAPTURE(first_late);
  CHECK(late.size() == 0);
  if (late.empty()) {
    CheckHandledAs(site, config);
  }
}

void WaitForMembers(const WireDeployment& site) {
  for (int i = 0; i < site.gateway_count(); ++i) {
    WaitUntil("all gateways to know each other", [&] {
      return MetricValue(site.metrics_url(i), "bramleybank_gateways") ==
             site.gateway_count();
    });
  }
}

/// @returns the gateways from which others read the configuration.
std::set<int> Relays(WireDeployment& site) {
  std::set<int> relays;
  for (int i = 0; i < site.gateway_count(); ++i) {
    const std::string log = site.gateway(i).Log();
    const size_t line = log.rfind("table=op source=");
    for (int relay = 0; relay < site.gateway_count(); ++relay) {
      const std::string address = site.caller_address(relay);
      const std::string source =
          "table=op source=" + address.substr(0, address.find(':') + 1);
      if (line != std::string::npos &&
          log.compare(line, source.size(), source) == 0) {
        relays.insert(relay);
      }
    }
  }
  return relays;
}

struct RestoreCase {
  std::string name;
  int domains = 3;
  int gateways_per_domain = 1;
  int restores = 1;
  /// Whether the store counts past the lost versions before it is back, after
  /// the next configuration was written.
  bool is_passed = false;
  bool kills_relays = false;
  /// Controls of the store before its loss and with its return.
  json before = json::object();
  json with_return = json::object();
  /// From the acknowledgement of the next configuration.
  milliseconds bound = kApplyBound;
};

/// Loses a configuration that is in force, and publishes the next one.
/// @param config the one in force and in the copy.
void PlayRestore(WireDeployment& site,
                 const RestoreCase& play,
                 uint64_t config) {
  site.ControlStore({{"snapshot", true}});
  site.ControlStore({{"skip_versions", kLostVersions}});
  Publish(site, config + 1);
  CheckInForce(site, config + 1, kContactTime);
  site.ControlStore({{"down", "reset"}, {"cut_waiting", true}});
  Sleep(kOutage);
  json control = play.with_return;
  control["restore"] = true;
  site.ControlStore(control);
  if (play.is_passed) {
    Publish(site, config + 2);
    site.ControlStore({{"skip_versions", kPassingVersions}});
    site.ControlStore({{"down", ""}});
    CheckInForce(site, config + 2, kContactTime);
  } else {
    site.ControlStore({{"down", ""}});
    if (play.kills_relays) {
      const std::set<int> relays = Relays(site);
      CHECK(relays.size() > 0);
      for (const int relay : relays) {
        site.gateway(relay).Kill();
      }
    }
    const auto gap_end = steady_clock::now() + kGap;
    while (steady_clock::now() < gap_end) {
      CheckHandledAs(site, config + 1);
      Sleep(kPollInterval);
    }
    Publish(site, config + 1);
    Sleep(kPollInterval);
    Publish(site, config + 2);
    CheckInForce(site, config + 2, play.bound);
  }
}

std::vector<RestoreCase> Cases() {
  const milliseconds odd_bound = kContactTime + kApplyBound;
  return {
      {.name = "lower versions"},
      {.name = "the store counts past the lost versions", .is_passed = true},
      {.name = "three restores", .restores = 3},
      {.name = "three restores, passed", .restores = 3, .is_passed = true},
      {.name = "relays", .domains = 1, .gateways_per_domain = 9},
      {.name = "relays, passed",
       .domains = 1,
       .gateways_per_domain = 9,
       .is_passed = true},
      {.name = "relays that are killed",
       .domains = 1,
       .gateways_per_domain = 9,
       .kills_relays = true,
       .bound = kContactTime + kApplyBound},
      {.name = "era goes back",
       .before = {{"era", 9}},
       .with_return = {{"era", 3}},
       .bound = odd_bound},
      {.name = "era in no answer",
       .before = {{"era_text", ""}},
       .bound = odd_bound},
      {.name = "era missing after the restore",
       .with_return = {{"era_text", ""}},
       .bound = odd_bound},
      {.name = "era is a text",
       .with_return = {{"era_text", "second"}},
       .bound = odd_bound},
      {.name = "era is too large",
       .with_return = {{"era_text", "99999999999999999999999"}},
       .bound = odd_bound},
      {.name = "era is negative",
       .with_return = {{"era_text", "-1"}},
       .bound = odd_bound},
      {.name = "largest era, passed",
       .is_passed = true,
       .with_return = {{"era_text", "18446744073709551615"}}},
  };
}

// Guards against gateways that keep an old configuration once versions of rows
// have gone back, or that take back a confirmed one.
TEST_CASE("configurations are in force in time after the store was restored") {
  for (const RestoreCase& play : Cases()) {
    MESSAGE(play.name);
    CAPTURE(play.name);
    WireDeployment site({.domains = play.domains,
                         .gateways_per_domain = play.gateways_per_domain});
    WaitForMembers(site);
    if (play.gateways_per_domain > 1) {
      WaitUntil("a relay", [&] { return !Relays(site).empty(); });
      Sleep(kApplyBound);
    }
    site.ControlStore(play.before);
    uint64_t config = 2;
    Publish(site, config);
    CheckInForce(site, config, kContactTime);
    for (int i = 0; i < play.restores; ++i) {
      CAPTURE(i);
      PlayRestore(site, play, config);
      config += 2;
    }
  }
}

// Guards against an era that is read as new with each answer, or not at all,
// once the header has been odd for a while.
TEST_CASE("a restore is noticed after answers with odd eras") {
  WireDeployment site({.domains = 3});
  WaitForMembers(site);
  for (const char* odd : {"", "x", "7 8"}) {
    CAPTURE(odd);
    site.ControlStore({{"era_text", odd}});
    Sleep(kApplyBound + kOutage);
  }
  site.ControlStore({{"era_text", nullptr}});
  Publish(site, 2);
  CheckInForce(site, 2, kContactTime);
  PlayRestore(site, {.is_passed = true}, 2);
}

}  // namespace
}  // namespace bramleybank::testing
