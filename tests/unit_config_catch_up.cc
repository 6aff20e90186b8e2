// Gateways that ask others for a configuration which a restored store has lost.
#include "config_catch_up.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "event_loop.h"

namespace bramleybank {
namespace {

struct Fixture {
  void RunUntil(const std::function<bool()>& is_done) {
    while (!is_done()) {
      loop.RunOnce(std::chrono::milliseconds(5));
    }
  }

  EventLoop loop;
  std::vector<GatewayMember> members = {{.name = "a"}, {.name = "b"}};
  std::vector<ConfigCatchUp::AnswerCallback> open;
  std::vector<std::string> configs;
  int asked = 0;
  int unblocked = 0;
  ConfigCatchUp catch_up{
      &loop,
      {.random = [] { return uint64_t{0}; },
       .find_members =
           [this](size_t, const ConfigCatchUp::MembersCallback& callback) {
             callback(members);
           },
       .ask =
           [this](const GatewayMember&,
                  ConfigCatchUp::AnswerCallback callback) {
             ++asked;
             open.push_back(std::move(callback));
           },
       .on_config =
           [this](const std::string& value) { configs.push_back(value); },
       .on_unblocked = [this] { ++unblocked; }}};
};

TEST_CASE("a gateway that starts does not use an older configuration first") {
  Fixture fixture;
  fixture.catch_up.OnFirstConfig();
  fixture.RunUntil([&] { return fixture.open.size() == 2; });
  fixture.open[0]("");
  // It does not know the gateway that asks yet, and is asked again.
  fixture.open[1](std::nullopt);
  CHECK(fixture.catch_up.is_blocking());
  fixture.RunUntil([&] { return fixture.open.size() == 4; });
  fixture.open[2]("");
  CHECK(fixture.catch_up.is_blocking());
  fixture.open[3]("newer");
  CHECK(fixture.configs == std::vector<std::string>{"newer"});
  CHECK_FALSE(fixture.catch_up.is_blocking());
  CHECK(fixture.unblocked == 1);
}

TEST_CASE("a gateway that starts alone, or gets no answer, is not held up") {
  Fixture alone;
  alone.members.clear();
  alone.catch_up.OnFirstConfig();
  alone.RunUntil([&] { return alone.unblocked == 1; });

  Fixture unanswered;
  unanswered.catch_up.OnFirstConfig();
  const TimePoint start = unanswered.loop.Now();
  unanswered.RunUntil([&] { return unanswered.unblocked == 1; });
  CHECK(unanswered.loop.Now() - start >= kMaxConfigCatchUpWait);
}

// Guards against a gateway that keeps the older configuration because those
// that it asked first did not know it yet.
TEST_CASE("a restore is followed by several rounds, without blocking") {
  Fixture fixture;
  fixture.catch_up.OnRestored();
  CHECK(fixture.asked == 0);
  CHECK_FALSE(fixture.catch_up.is_blocking());
  fixture.RunUntil([&] { return fixture.asked == 2 * kConfigCatchUpRounds; });
  fixture.open.back()("newer");
  CHECK(fixture.configs == std::vector<std::string>{"newer"});
  CHECK(fixture.unblocked == 0);
}

}  // namespace
}  // namespace bramleybank
