// Tests of the steps of a gateway's graceful shutdown.
#include <doctest/doctest.h>

#include "bramleybank/limits.h"
#include "gateway_drain.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace = seconds(8);

// Guards against a shutdown that ends while the load balancer still sends
// connections.
TEST_CASE("a stopping gateway serves until the load balancer has noticed") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  CHECK(drain.Next(start, 0) == GatewayDrainStep{});
  CHECK(drain.Next(start + kDrainNoticeTime - milliseconds(1), 0) ==
        GatewayDrainStep{});
  const GatewayDrainStep noticed = drain.Next(start + kDrainNoticeTime, 0);
  CHECK(noticed.close_idle_callers);
  CHECK_FALSE(noticed.stop);
  CHECK(drain.Next(start + kDrainNoticeTime + 2 * kDrainCheckInterval, 0).stop);
}

// Guards against a shutdown that cuts off requests that could still finish.
TEST_CASE("a stopping gateway waits for open requests until its deadline") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  const TimePoint last = start + kGrace - kDrainMargin;
  CHECK_FALSE(drain.Next(last - milliseconds(1), 1).stop);
  CHECK(drain.Next(last, 1).stop);
}

// Guards against accepting a request just before the end and cutting it off.
// The load balancer sends connections to a stopping gateway when no other is
// ready.
TEST_CASE("a stopping gateway refuses requests that come too late") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  const TimePoint late = start + kGrace - kDrainMargin - kDrainRefuseTime;
  CHECK_FALSE(drain.Next(late - milliseconds(1), 1).refuse_requests);
  CHECK(drain.Next(late, 1).refuse_requests);
}

}  // namespace
}  // namespace bramleybank
