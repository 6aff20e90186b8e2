// Tests the parts of the membership protocol one by one: the local health
// score, the steps of a probe, the order and number of gossip transmissions,
// and the limit on relayed pings.
#include <doctest/doctest.h>

#include <vector>

#include "member_gossip_queue.h"
#include "member_health.h"
#include "member_probe.h"
#include "member_relays.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using Step = MemberProbe::Step;

TEST_CASE("timeouts grow when most members do not answer, not when one does") {
  MemberHealth fresh;
  fresh.OnProbeResult(false);
  fresh.OnProbeResult(false);
  // Two results do not tell the state of the group.
  CHECK(fresh.multiplier() == 1);
  MemberHealth health;
  for (int i = 0; i < 20; ++i) {
    health.OnProbeResult(i % 3 != 0);
  }
  CHECK(health.multiplier() == 1);
  for (int i = 0; i < 10; ++i) {
    health.OnProbeResult(false);
  }
  CHECK(health.multiplier() == 4);
  for (int i = 0; i < 3; ++i) {
    health.OnProbeResult(true);
  }
  CHECK(health.multiplier() == 1);
  health.OnLateTimer();
  CHECK(health.multiplier() == 2);
}

TEST_CASE("the steps of a probe come later when the local health is poor") {
  const TimePoint start{std::chrono::hours(1)};
  for (const int multiplier : {1, 4}) {
    MemberProbe probe;
    probe.Start("10.0.0.2:1", 7, start);
    const auto step = [&](int ms) {
      return probe.Advance(start + milliseconds(ms) * multiplier, multiplier);
    };
    CHECK(step(299) == Step::kWait);
    CHECK(step(300) == Step::kPingAndIndirect);
    CHECK(step(599) == Step::kWait);
    CHECK(step(600) == Step::kPing);
    CHECK(step(999) == Step::kWait);
    CHECK(step(1000) == Step::kFailed);
    CHECK_FALSE(probe.is_active());
  }
}

TEST_CASE("only an acknowledgement of the probe ends it") {
  MemberProbe probe;
  CHECK_FALSE(probe.OnAck(0, ""));
  probe.Start("10.0.0.2:1", 7, {});
  CHECK_FALSE(probe.OnAck(6, "10.0.0.2:1"));
  CHECK_FALSE(probe.OnAck(7, "10.0.0.3:1"));
  CHECK(probe.OnAck(7, "10.0.0.2:1"));
  CHECK_FALSE(probe.OnAck(7, "10.0.0.2:1"));
}

TEST_CASE(
    "updates are sent least often sent first, a limited number of times") {
  MemberGossipQueue queue;
  std::vector<std::string> sent;
  const auto take = [&](size_t count) {
    sent.clear();
    queue.Take(2, [&](const MemberGossipQueue::Subject& subject) {
      if (sent.size() == count) {
        return false;
      }
      sent.push_back(std::get<std::string>(subject));
      return true;
    });
    return sent;
  };
  queue.Add("a");
  queue.Add("b");
  CHECK(take(1) == std::vector<std::string>{"a"});
  queue.Add("c");
  CHECK(take(3) == std::vector<std::string>{"b", "c", "a"});
  queue.Add("b");
  CHECK(take(3) == std::vector<std::string>{"b", "c"});
  CHECK(take(3) == std::vector<std::string>{"b"});
  CHECK(queue.empty());
}

TEST_CASE("relayed pings are bounded and expire") {
  MemberRelays relays;
  const TimePoint end{std::chrono::seconds(5)};
  size_t added = 0;
  for (uint64_t i = 1; i <= 1000; ++i) {
    added += relays.Add(i, {"10.0.0.2:1", i, "10.0.0.3:1", end}) ? 1 : 0;
  }
  CHECK(added == 64);
  CHECK_FALSE(relays.Take(5, "10.0.0.9:1"));
  CHECK(relays.Take(5, "10.0.0.3:1")->sequence == 5);
  CHECK_FALSE(relays.Take(5, "10.0.0.3:1"));
  relays.Expire(end);
  CHECK_FALSE(relays.Take(6, "10.0.0.3:1"));
}

}  // namespace
}  // namespace bramleybank
