// The steps of a planned stop of a gateway.
#include <doctest/doctest.h>

#include "bramleybank/limits.h"
#include "gateway_drain.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace = seconds(8);

// Guards against a stop that ends while the balancer still sends connections.
TEST_CASE("a stopping gateway serves until the balancer has noticed") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  CHECK(drain.Next(start, 0) == DrainStep{});
  CHECK(drain.Next(start + kDrainNoticeTime - milliseconds(1), 0) ==
        DrainStep{});
  const DrainStep noticed = drain.Next(start + kDrainNoticeTime, 0);
  CHECK(noticed.close_idle_callers);
  CHECK_FALSE(noticed.stop);
  CHECK(drain.Next(start + kDrainNoticeTime + 2 * kDrainCheckInterval, 0).stop);
}

// Guards against a stop that cuts off requests which could still end.
TEST_CASE("a stopping gateway waits for open requests until the last moment") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  const TimePoint last = start + kGrace - kDrainMargin;
  CHECK_FALSE(drain.Next(last - milliseconds(1), 1).stop);
  CHECK(drain.Next(last, 1).stop);
}

// Guards against a request that is taken just before the end and cut off: the
// balancer sends connections to a stopping gateway when no other is ready.
TEST_CASE("a stopping gateway refuses requests that come too late") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  const TimePoint late = start + kGrace - kDrainMargin - kDrainRefuseTime;
  CHECK_FALSE(drain.Next(late - milliseconds(1), 1).refuse_requests);
  CHECK(drain.Next(late, 1).refuse_requests);
}

}  // namespace
}  // namespace bramleybank
