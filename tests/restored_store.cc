// Publishes configurations around a restore of the store, and asks each gateway
// how it handles requests.
#include "restored_store.h"

#include <doctest/doctest.h>

#include <set>
#include <thread>

#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

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

}  // namespace

void WaitForMembers(const WireDeployment& site) {
  for (int i = 0; i < site.gateway_count(); ++i) {
    WaitUntil("all gateways to know each other", [&] {
      return MetricValue(site.metrics_url(i), "bramleybank_gateways") ==
             site.gateway_count();
    });
  }
}

void PublishAndCheck(WireDeployment& site, uint64_t config) {
  Publish(site, config);
  CheckInForce(site, config, kContactTime);
}

void PlayRestore(WireDeployment& site,
                 const RestoreCase& play,
                 uint64_t config) {
  site.ControlStore({{"snapshot", true}});
  site.ControlStore({{"skip_versions", kLostVersions}});
  PublishAndCheck(site, config + 1);
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

void PlayRestores(const RestoreCase& play) {
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
  PublishAndCheck(site, config);
  for (int i = 0; i < play.restores; ++i) {
    CAPTURE(i);
    PlayRestore(site, play, config);
    config += 2;
  }
}

}  // namespace bramleybank::testing
