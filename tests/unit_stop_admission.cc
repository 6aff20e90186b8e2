// Tests of which requests a stopping gateway still sends.
#include "stop_admission.h"

#include <doctest/doctest.h>

#include <string>

#include "bramleybank/limits.h"
#include "gateway_config.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(1);
constexpr Duration kLongDeadline = seconds(20);

GatewayRoute Route(RequestKind kind, bool resumable = false) {
  GatewayRoute route;
  route.name = "r";
  route.kind = kind;
  route.resumable = resumable;
  route.timeout = kLongDeadline;
  route.latency_target = seconds(2);
  return route;
}

const GatewayRoute kSafe = Route(RequestKind::kIdempotent);
const GatewayRoute kUnsafe = Route(RequestKind::kNonIdempotent);

StopAdmission Learnt(Duration time, size_t count = kAnswerTimesPerRoute) {
  StopAdmission admission;
  for (size_t i = 0; i < count; ++i) {
    admission.OnAnswer("r", time);
  }
  return admission;
}

StopVerdict Judge(const StopAdmission& admission,
                  const GatewayRoute& route,
                  Duration stop_left,
                  Duration time_left = kLongDeadline,
                  bool is_first = true) {
  return admission.Judge(
      {.route = &route, .time_left = time_left, .is_first = is_first},
      stop_left);
}

// Guards against sending a request just before the end of a stop, which cuts
// it.
TEST_CASE("nothing is sent at the end of a stop") {
  const StopAdmission admission = Learnt(kTick);
  for (const GatewayRoute& route : {kSafe, kUnsafe}) {
    CHECK(Judge(admission, route, kDrainRefuseTime, kTick) ==
          StopVerdict::kEnding);
    CHECK(Judge(admission, route, kDrainRefuseTime + kTick, kTick) ==
          StopVerdict::kSend);
  }
}

// Guards against cutting a non-idempotent request that takes as long as others
// of its route, or a bit longer.
TEST_CASE("a non-idempotent request needs more time than the longest answer") {
  StopAdmission admission = Learnt(milliseconds(50));
  const Duration longest = seconds(2);
  admission.OnAnswer("r", longest);
  const Duration expected =
      longest + longest / kUnsafeStopReserveShare + kUnsafeStopReserve;
  CHECK(Judge(admission, kUnsafe, expected) == StopVerdict::kSend);
  CHECK(Judge(admission, kUnsafe, expected - kTick) == StopVerdict::kTooLong);
}

// Guards against refusing idempotent requests for one slow answer.
TEST_CASE("an idempotent request needs the time that most answers take") {
  StopAdmission admission = Learnt(milliseconds(50));
  admission.OnAnswer("r", seconds(20));
  const Duration expected = milliseconds(50) + kDrainRefuseTime;
  CHECK(Judge(admission, kSafe, expected) == StopVerdict::kSend);
  CHECK(Judge(Learnt(seconds(3)), kSafe, seconds(3)) == StopVerdict::kTooLong);
}

// Guards against cutting non-idempotent requests of a route that is hardly
// used, and against refusing all idempotent ones.
TEST_CASE("before enough answers are known the deadline or target counts") {
  const StopAdmission admission = Learnt(kTick, kMinAnswerTimes - 1);
  CHECK(Judge(admission, kUnsafe, seconds(7)) == StopVerdict::kUnknownTime);
  CHECK(Judge(admission, kUnsafe, seconds(7), seconds(7)) ==
        StopVerdict::kSend);
  CHECK(Judge(admission, kSafe, seconds(3)) == StopVerdict::kSend);
  CHECK(Judge(admission, kSafe, seconds(3) - kTick) ==
        StopVerdict::kUnknownTime);
  CHECK(Judge(Learnt(kTick, kMinAnswerTimes), kUnsafe, seconds(7)) ==
        StopVerdict::kSend);
}

// Guards against refusing a request whose deadline comes before the end.
TEST_CASE("a request that ends at its deadline before the stop does is sent") {
  const StopAdmission admission = Learnt(seconds(10));
  CHECK(Judge(admission, kUnsafe, seconds(4), seconds(4)) ==
        StopVerdict::kSend);
  CHECK(Judge(admission, kUnsafe, seconds(4), seconds(4) + kTick) ==
        StopVerdict::kTooLong);
}

// Guards against starting streams in a stop, and against leaving streams alone
// whose engine fails in a stop.
TEST_CASE("a stream is moved in a stop but not started") {
  const StopAdmission admission;
  const GatewayRoute resumable = Route(RequestKind::kStream, true);
  const GatewayRoute single = Route(RequestKind::kStream, false);
  CHECK(Judge(admission, resumable, seconds(7), kTick) == StopVerdict::kStream);
  CHECK(Judge(admission, resumable, seconds(7), kLongDeadline, false) ==
        StopVerdict::kSend);
  CHECK(Judge(admission, single, seconds(7), kLongDeadline, false) ==
        StopVerdict::kUnknownTime);
}

// Guards against judging by answers of long ago, and against memory that grows
// with the names of routes.
TEST_CASE("only the last answers and a limited number of routes are kept") {
  StopAdmission admission = Learnt(seconds(10));
  for (size_t i = 0; i < kAnswerTimesPerRoute; ++i) {
    admission.OnAnswer("r", kTick);
  }
  CHECK(Judge(admission, kUnsafe, seconds(2)) == StopVerdict::kSend);
  for (size_t i = 0; i < kMaxAnswerTimeRoutes; ++i) {
    admission.OnAnswer("other-" + std::to_string(i), kTick);
  }
  CHECK(Judge(admission, kUnsafe, seconds(2)) == StopVerdict::kUnknownTime);
}

}  // namespace
}  // namespace bramleybank
