// Gateways that start while a restored store shows an older configuration.
#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>
#include <thread>

#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kContactTime{4000};
constexpr milliseconds kGap{4000};
constexpr milliseconds kPollInterval{50};

uint64_t FollowedBy(const WireDeployment& site, int gateway) {
  return static_cast<uint64_t>(
      MetricValue(site.metrics_url(gateway), "bramleybank_config_version"));
}

bool AllFollow(const WireDeployment& site, uint64_t config) {
  for (int i = 0; i < site.gateway_count(); ++i) {
    if (FollowedBy(site, i) != config) {
      return false;
    }
  }
  return true;
}

// Guards against a dropped key that is valid again at a gateway that starts
// between the restore and the operator's repeat.
TEST_CASE("a newcomer refuses a key that was dropped in the lost seconds") {
  WireDeployment site({.domains = 3});
  site.ControlStore({{"snapshot", true}});
  site.PublishConfig(2, "key-2", "/only-2/");
  WaitUntil("configuration 2", [&] { return AllFollow(site, 2); });
  site.gateway(0).Kill();
  site.ControlStore({{"down", "reset"}, {"cut_waiting", true}});
  site.ControlStore({{"restore", true}});
  site.ControlStore({{"down", ""}});
  site.StartGateway(0);
  const auto gap_end = steady_clock::now() + kGap;
  int accepted = 0;
  int calls = 0;
  while (steady_clock::now() < gap_end) {
    const HttpAnswer answer =
        site.Call(0, "GET", "/reads/x", "old-" + std::to_string(++calls));
    accepted += answer.status == 200 ? 1 : 0;
    std::this_thread::sleep_for(kPollInterval);
  }
  CHECK(calls > 0);
  CHECK(accepted == 0);
  site.PublishConfig(2, "key-2", "/only-2/");
  site.PublishConfig(3, "key-3", "/only-3/");
  const auto end = steady_clock::now() + kContactTime;
  while (!AllFollow(site, 3) && steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  CHECK(AllFollow(site, 3));
}

}  // namespace
}  // namespace bramleybank::testing
