// Guards against limits that grow when a partition splits the fleet, small
// customers that starve beside a large one, and state that grows with the
// number of customers seen.
#include <doctest/doctest.h>

#include <vector>

#include "limit_customer.h"
#include "limit_divisor.h"
#include "manual_clock.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  ManualClock clock;
  int divisor = 1;
  CustomerLimiter limiter{clock.hook(), [this] { return divisor; }};

  Fixture() {
    const std::vector<CustomerConfig> customers = {
        {.name = "rate", .requests_per_s = 10},
        {.name = "tokens", .tokens_in_flight = 1000},
        {.name = "large", .weight = 1},
        {.name = "small", .weight = 1}};
    limiter.SetConfig(customers);
  }
  int AdmitMany(const char* customer, int count) {
    int admitted = 0;
    for (int i = 0; i < count; ++i) {
      admitted += limiter.Admit(customer, 1, false) ? 1 : 0;
    }
    return admitted;
  }
};

TEST_CASE("the request rate is limited and a refusal says when to retry") {
  Fixture f;
  CHECK(f.AdmitMany("rate", 50) == 10);
  CHECK(f.limiter.last_reason().code == ResultCode::kCustomerRateLimit);
  f.clock.Advance(f.limiter.retry_after());
  f.clock.Advance(1us);
  CHECK(f.AdmitMany("rate", 50) == 1);
  f.clock.Advance(10s);
  CHECK(f.AdmitMany("rate", 50) == 10);
}

TEST_CASE("a daemon admits only its share of the rate") {
  Fixture f;
  f.divisor = 5;
  f.AdmitMany("rate", 50);
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    f.clock.Advance(100ms);
    admitted += f.AdmitMany("rate", 2);
  }
  CHECK(admitted == doctest::Approx(200).epsilon(0.02));
}

TEST_CASE("tokens in flight are bounded and freed on release") {
  Fixture f;
  const auto first = f.limiter.Admit("tokens", 600, false);
  REQUIRE(first);
  CHECK_FALSE(f.limiter.Admit("tokens", 600, false));
  CHECK(f.limiter.last_reason().code == ResultCode::kCustomerTokenLimit);
  f.limiter.Release(*first);
  CHECK(f.limiter.Admit("tokens", 600, false));
}

TEST_CASE("a withdrawn request does not count in the rate") {
  Fixture f;
  for (int i = 0; i < 50; ++i) {
    const auto admission = f.limiter.Admit("rate", 1, false);
    REQUIRE(admission);
    f.limiter.Withdraw(*admission);
  }
  CHECK(f.AdmitMany("rate", 50) == 10);
}

TEST_CASE("a small customer keeps its share beside one that floods") {
  Fixture f;
  int small = 0;
  int large = 0;
  // The customers offer 2 and 100 requests per second. The engines accept 20
  // per second and refuse any request while they are full.
  const auto run = [&f](const char* customer, int free) {
    const auto admission = f.limiter.Admit(customer, 100, free < 2);
    if (admission && free <= 0) {
      f.limiter.Withdraw(*admission);
    }
    return admission && free > 0 ? 1 : 0;
  };
  for (int i = 0; i < 6000; ++i) {
    f.clock.Advance(10ms);
    large += run("large", (i / 5) - (small + large));
    small += i % 50 == 0 ? run("small", (i / 5) - (small + large)) : 0;
  }
  CHECK(small >= 108);
  CHECK(large > 800);
}

TEST_CASE("a customer without competitors is not limited under pressure") {
  Fixture f;
  for (int i = 0; i < 3000; ++i) {
    f.clock.Advance(10ms);
    CHECK(f.limiter.Admit("large", 100, true));
  }
}

TEST_CASE("withdrawn requests do not count in the customer's share") {
  Fixture f;
  for (int i = 0; i < 1000; ++i) {
    f.clock.Advance(10ms);
    const auto refused = f.limiter.Admit("small", 100, false);
    REQUIRE(refused);
    f.limiter.Withdraw(*refused);
    f.limiter.Admit("large", 50, false);
  }
  CHECK(f.limiter.Admit("small", 100, true));
  CHECK_FALSE(f.limiter.Admit("large", 100, true));
}

TEST_CASE("shares follow the weights when all customers ask for more") {
  Fixture f;
  const std::vector<CustomerConfig> customers = {
      {.name = "one", .weight = 1}, {.name = "three", .weight = 3}};
  f.limiter.SetConfig(customers);
  int one = 0;
  int three = 0;
  for (int i = 0; i < 6000; ++i) {
    f.clock.Advance(10ms);
    // The engines accept one request per 20 ms; above that there is pressure.
    const bool busy = one + three > i / 2;
    one += f.limiter.Admit("one", 100, busy) ? 1 : 0;
    three += f.limiter.Admit("three", 100, busy) ? 1 : 0;
  }
  CHECK(three > 2 * one);
  CHECK(one > 300);
}

TEST_CASE(
    "38,000 idle customers are dropped; those above the limit share an entry") {
  Fixture f;
  for (int i = 0; i < 60000; ++i) {
    f.limiter.Admit(std::to_string(i), 1, false);
  }
  CHECK(f.limiter.tracked_count() <= kMaxTrackedCustomers + 1);
  Fixture g;
  for (int i = 0; i < 38000; ++i) {
    const auto admission = g.limiter.Admit(std::to_string(i), 1, false);
    REQUIRE(admission);
    g.limiter.Release(*admission);
  }
  g.clock.Advance(61s);
  g.limiter.Sweep();
  CHECK(g.limiter.tracked_count() == 0);
}

TEST_CASE("dropping an idle customer doesn't refill its bucket early") {
  Fixture f;
  const std::vector<CustomerConfig> customers = {
      {.name = "slow", .requests_per_s = 0.01}};
  f.limiter.SetConfig(customers);
  CHECK(f.AdmitMany("slow", 5) == 2);
  f.clock.Advance(70s);
  f.limiter.Sweep();
  CHECK(f.AdmitMany("slow", 5) == 0);
}

TEST_CASE("the parts of a partition together admit at most twice the limit") {
  for (const int part : {1, 3, 10, 15, 20, 29}) {
    ManualClock clock;
    LimitDivisor here(clock.hook());
    LimitDivisor there(clock.hook());
    here.OnMembers(30);
    there.OnMembers(30);
    clock.Advance(5min);
    here.OnMembers(part);
    there.OnMembers(30 - part);
    const double sum = (static_cast<double>(part) / here.Get()) +
                       ((30.0 - part) / there.Get());
    CAPTURE(part);
    CHECK(sum <= 2.0);
    CHECK(sum >= 1.0);
  }
}

TEST_CASE("five parts of a fleet together admit at most twice the limit") {
  ManualClock clock;
  LimitDivisor divisor(clock.hook());
  divisor.OnMembers(30);
  clock.Advance(5min);
  divisor.OnMembers(6);
  CHECK(5 * 6.0 / divisor.Get() <= 2.0);
}

TEST_CASE("the share of members that left is used after 10 minutes") {
  ManualClock clock;
  LimitDivisor divisor(clock.hook());
  divisor.OnMembers(30);
  clock.Advance(1h);
  divisor.OnMembers(4);
  CHECK(divisor.Get() == 15);
  clock.Advance(9min);
  divisor.OnMembers(6);
  CHECK(divisor.Get() == 15);
  clock.Advance(2min);
  CHECK(divisor.Get() == 6);
  divisor.OnMembers(40);
  CHECK(divisor.Get() == 40);
}

}  // namespace
}  // namespace bramleybank
