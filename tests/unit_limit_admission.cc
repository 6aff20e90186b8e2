// Guards against requests that wait although their first token will come too
// late, and against an overload that lasts after its cause is gone because
// refusals keep the old estimate errors alive.
#include <doctest/doctest.h>

#include "limit_admission.h"
#include "manual_clock.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  ManualClock clock;
  AdmissionController admission{clock.hook(), SeededRandom(3), 10};
};

TEST_CASE("a request whose first token would come too late is refused") {
  Fixture f;
  CHECK(f.admission.Admit(2900ms));
  CHECK_FALSE(f.admission.Admit(3100ms));
  CHECK(f.admission.last_reason().code == ResultCode::kExpectedTooLate);
  CHECK(f.admission.retry_after() >= 1s);
  CHECK(f.admission.retry_after() <= 30s);
  CHECK_FALSE(f.admission.Admit(600ms, 500ms));
}

TEST_CASE("refused callers get different retry times") {
  Fixture f;
  f.admission.Admit(8s);
  const Duration first = f.admission.retry_after();
  f.admission.Admit(8s);
  CHECK(f.admission.retry_after() != first);
}

TEST_CASE("estimates that turn out too low are corrected") {
  Fixture f;
  for (int i = 0; i < 50; ++i) {
    f.admission.OnFirstToken(500ms, 4s);
  }
  CHECK_FALSE(f.admission.Admit(500ms));
}

TEST_CASE(
    "estimates near the client timeout are refused when waits are uneven") {
  Fixture f;
  for (int i = 0; i < 50; ++i) {
    f.admission.OnFirstToken(1s, i % 2 == 0 ? 300ms : 1700ms);
  }
  CHECK(f.admission.Admit(2000ms));
  CHECK_FALSE(f.admission.Admit(2600ms));
}

TEST_CASE("requests are admitted again because errors decay without traffic") {
  Fixture f;
  for (int i = 0; i < 200; ++i) {
    f.admission.OnFirstToken(100ms, 10s);
  }
  CHECK_FALSE(f.admission.Admit(100ms));
  CHECK(f.admission.is_under_pressure());
  f.clock.Advance(60s);
  CHECK(f.admission.Admit(100ms));
  CHECK_FALSE(f.admission.is_under_pressure());
}

TEST_CASE("the number of waiting requests is bounded") {
  Fixture f;
  for (int i = 0; i < 10; ++i) {
    CHECK(f.admission.Admit(1ms));
  }
  CHECK_FALSE(f.admission.Admit(1ms));
  CHECK(f.admission.last_reason().code == ResultCode::kOverloaded);
  f.admission.OnWaitEnded();
  CHECK(f.admission.Admit(1ms));
}

}  // namespace
}  // namespace bramleybank
