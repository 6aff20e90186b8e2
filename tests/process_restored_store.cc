// Real gateways whose store comes back from an older copy: versions of rows go
// back and are given out again.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "restored_store.h"
#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

std::vector<RestoreCase> Cases() {
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
       .bound = kContactTime + kApplyBound},
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
    PlayRestores(play);
  }
}

// Guards against a restore that goes unnoticed because the era was odd before.
TEST_CASE("a restore is noticed after answers with odd eras") {
  WireDeployment site({.domains = 3});
  WaitForMembers(site);
  for (const char* odd : {"", "x", "7 8"}) {
    CAPTURE(odd);
    site.ControlStore({{"era_text", odd}});
    std::this_thread::sleep_for(kApplyBound);
  }
  site.ControlStore({{"era_text", nullptr}});
  PublishAndCheck(site, 2);
  PlayRestore(site, {.is_passed = true}, 2);
}

}  // namespace
}  // namespace bramleybank::testing
