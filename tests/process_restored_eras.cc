// Real gateways whose store comes back from an older copy and does not state
// its era as agreed. The answer 410 still tells that versions have gone back.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "restored_store.h"

namespace bramleybank::testing {
namespace {

std::vector<RestoreCase> Cases() {
  const auto odd_bound = kContactTime + kApplyBound;
  return {
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
  };
}

// Guards against gateways that keep an old configuration for lack of an era.
TEST_CASE("a restore without a readable era is noticed") {
  for (const RestoreCase& play : Cases()) {
    MESSAGE(play.name);
    PlayRestores(play);
  }
}

}  // namespace
}  // namespace bramleybank::testing
