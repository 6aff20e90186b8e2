// Entries of servers around a restore of the store from an older copy.
#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The users' bounds: a gateway is in touch this long after an outage of the
// store, and sends nothing to a server this long after it reported draining.
constexpr milliseconds kContactTime{4000};
constexpr milliseconds kDrainBound{2500};
constexpr milliseconds kOutage{300};
constexpr milliseconds kCallTime{3000};
constexpr milliseconds kCallInterval{10};
// More than the heartbeats of a test write, so that no row catches up.
constexpr uint64_t kLostVersions = 5000;

void Sleep(milliseconds time) {
  std::this_thread::sleep_for(time);
}

void TakeCopy(const WireDeployment& site) {
  site.ControlStore({{"snapshot", true}});
  site.ControlStore({{"skip_versions", kLostVersions}});
}

/// Servers write nothing to the restored store until LetServersWrite().
void RestoreStore(const WireDeployment& site) {
  site.ControlStore({{"down", "reset"}, {"cut_waiting", true}});
  Sleep(kOutage);
  site.ControlStore({{"hold_entries", true}, {"restore", true}});
  site.ControlStore({{"down", ""}});
}

void LetServersWrite(const WireDeployment& site) {
  site.ControlStore({{"hold_entries", false}});
}

/// Sends calls through all gateways. @returns how many were not answered 200.
int Call(const WireDeployment& site, milliseconds time) {
  static int calls = 0;
  int failed = 0;
  const auto end = steady_clock::now() + time;
  while (steady_clock::now() < end) {
    const int i = ++calls;
    const HttpAnswer answer =
        site.Call(i % site.gateway_count(), "GET", "/reads/x",
                  "call-" + std::to_string(i));
    failed += answer.status == 200 ? 0 : 1;
    Sleep(kCallInterval);
  }
  return failed;
}

/// @returns how many of these calls reach the server.
int ArrivalsDuring(const WireDeployment& site, int server, milliseconds time) {
  const int before = site.ArrivalsAtApplication(server);
  CHECK(Call(site, time) == 0);
  return site.ArrivalsAtApplication(server) - before;
}

// Guards against a restored entry that says `ready` of a server that drains.
TEST_CASE("a server that drains since the lost seconds gets no requests") {
  const WireDeployment site({.domains = 3, .applications_per_domain = 2});
  REQUIRE(ArrivalsDuring(site, 0, kCallTime) > 0);
  TakeCopy(site);
  site.ControlApplication(0, {{"draining", true}});
  Sleep(kDrainBound);
  CHECK(ArrivalsDuring(site, 0, kCallTime) == 0);
  RestoreStore(site);
  CHECK(ArrivalsDuring(site, 0, kCallTime) == 0);
  LetServersWrite(site);
  CHECK(ArrivalsDuring(site, 0, kCallTime) == 0);
}

// Guards against a lower version of an entry that is taken for an old one.
TEST_CASE("a server that drains after the restore gets no requests") {
  const WireDeployment site({.domains = 3, .applications_per_domain = 2});
  TakeCopy(site);
  // Until all entries have been written at higher versions.
  REQUIRE(ArrivalsDuring(site, 0, kCallTime) > 0);
  RestoreStore(site);
  LetServersWrite(site);
  Sleep(kContactTime);
  site.ControlApplication(0, {{"draining", true}});
  Sleep(kDrainBound);
  CHECK(ArrivalsDuring(site, 0, kCallTime) == 0);
}

// Guards against a restored entry of a server that has left.
TEST_CASE("a server that was removed in the lost seconds gets no requests") {
  const WireDeployment site({.domains = 3, .applications_per_domain = 2});
  REQUIRE(ArrivalsDuring(site, 0, kCallTime) > 0);
  TakeCopy(site);
  site.ControlStore({{"hold_entries", true}});
  site.RemoveEntryOfApplication(0);
  Sleep(kDrainBound);
  CHECK(ArrivalsDuring(site, 0, kCallTime) == 0);
  RestoreStore(site);
  CHECK(ArrivalsDuring(site, 0, kCallTime) == 0);
}

// Guards against new servers that stay unknown until the store has counted past
// the lost versions.
TEST_CASE("a server that registered in the lost seconds is used again") {
  WireDeployment site({.domains = 3, .applications_per_domain = 1});
  TakeCopy(site);
  const int first = site.AddApplications("");
  CHECK(Call(site, kCallTime) == 0);
  REQUIRE(site.ArrivalsAtApplication(first) > 0);
  RestoreStore(site);
  CHECK(Call(site, kCallTime) == 0);
  LetServersWrite(site);
  Sleep(kContactTime);
  for (int i = 0; i < site.application_count(); ++i) {
    CAPTURE(i);
    CHECK(ArrivalsDuring(site, i, kCallTime) > 0);
  }
}

// Guards against entries that change at lower versions, such as the address and
// start of a server that was replaced.
TEST_CASE("a server that starts again after the restore is used again") {
  WireDeployment site({.domains = 3, .applications_per_domain = 1});
  TakeCopy(site);
  CHECK(Call(site, kCallTime) == 0);
  RestoreStore(site);
  LetServersWrite(site);
  site.StartApplication(0);
  Sleep(kContactTime);
  CHECK(ArrivalsDuring(site, 0, kCallTime) > 0);
}

}  // namespace
}  // namespace bramleybank::testing
