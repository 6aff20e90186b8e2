// Tests of the steps of a gateway's graceful shutdown.
#include <doctest/doctest.h>

#include "bramleybank/limits.h"
#include "gateway_drain.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace = seconds(8);
const GatewayDrainLoad kEmpty;
const GatewayDrainLoad kOneRequest = {.open_requests = 1,
                                      .open_connections = 1,
                                      .last_accept = {}};

// Guards against a shutdown that ends while the load balancer still sends
// connections.
TEST_CASE("a stopping gateway serves until the load balancer has noticed") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  CHECK(drain.Next(start, kEmpty) == GatewayDrainStep{});
  CHECK(drain.Next(start + kDrainNoticeTime - milliseconds(1), kEmpty) ==
        GatewayDrainStep{});
  const GatewayDrainStep noticed = drain.Next(start + kDrainNoticeTime, kEmpty);
  CHECK(noticed.close_idle_callers);
  CHECK_FALSE(noticed.stop);
  CHECK(drain.Next(start + kDrainNoticeTime + 2 * kDrainCheckInterval, kEmpty)
            .stop);
}

// Guards against a shutdown that cuts off requests that could still finish.
TEST_CASE("a stopping gateway waits for open requests until its deadline") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  const TimePoint last = start + kGrace - kDrainMargin;
  CHECK_FALSE(drain.Next(last - milliseconds(1), kOneRequest).stop);
  CHECK(drain.Next(last, kOneRequest).stop);
}

// Guards against a time left that differs from the end of the stop, by which
// late requests are refused.
TEST_CASE("the time left ends when a stopping gateway stops") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  const TimePoint last = start + kGrace - kDrainMargin;
  CHECK(drain.TimeLeft(last - milliseconds(1)) == milliseconds(1));
  CHECK(drain.TimeLeft(last) == Duration{0});
}

// Guards against a shutdown that cuts off answers in the gateway's buffers, and
// requests on connections that have just come.
TEST_CASE("a stopping gateway waits for open connections and for new ones") {
  const TimePoint start(seconds(100));
  const GatewayDrain drain(kGrace, start);
  const TimePoint now = start + kDrainNoticeTime + seconds(1);
  CHECK(drain.Next(now, kEmpty).stop);
  GatewayDrainLoad load;
  load.open_connections = 1;
  CHECK_FALSE(drain.Next(now, load).stop);
  load = {};
  load.last_accept = now - kDrainQuietTime + milliseconds(1);
  CHECK_FALSE(drain.Next(now, load).stop);
  CHECK(drain.Next(now + milliseconds(1), load).stop);
  CHECK(drain.Next(start + kGrace - kDrainMargin, load).stop);
}

}  // namespace
}  // namespace bramleybank
