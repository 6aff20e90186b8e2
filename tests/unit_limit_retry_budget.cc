// Guards against retries that multiply the load after the loss of an engine,
// and against retries that use up the reserve for resumes of streams.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>

#include "limit_retry_budget.h"
#include "manual_clock.h"
#include "route_baselines.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  ManualClock clock;
  RetryBudget budget{clock.hook(), SeededRandom(5)};

  int RetryMany(int count) {
    int granted = 0;
    for (int i = 0; i < count; ++i) {
      granted += budget.TryRetry("m", RetryReason::kConnectFailed) ? 1 : 0;
    }
    return granted;
  }
  int ResumeMany(int count) {
    int granted = 0;
    for (int i = 0; i < count; ++i) {
      granted += budget.TryResume("m", RetryReason::kStalled) ? 1 : 0;
    }
    return granted;
  }
};

TEST_CASE("retries are limited to a tenth of the first tries plus 5") {
  Fixture f;
  for (int i = 0; i < 200; ++i) {
    f.budget.OnFirstTry("m");
  }
  CHECK(f.RetryMany(500) == 25);
  CHECK(f.budget.last_reason().code == ResultCode::kRetryBudgetExhausted);
  CHECK(f.budget.granted(RetryReason::kConnectFailed) == 25);
  CHECK(f.budget.refused(RetryReason::kConnectFailed) == 475);
  // First tries and retries from before the last 10 s no longer count.
  f.clock.Advance(11s);
  CHECK(f.RetryMany(500) == 5);
}

// Guards against streams that are cut because other retries have used up the
// budget, and against a reserve where no retries are allowed.
TEST_CASE("streams that have begun have a reserve") {
  const auto count = [](double extra) {
    ManualClock clock;
    RetryBudget budget(clock.hook(), SeededRandom(5),
                       {.share = 0, .extra = extra, .begun_reserve = 0.2});
    const auto take = [&budget](RetryUse use) {
      int granted = 0;
      while (budget.TryRetry("m", RetryReason::kEarlyEnd, use)) {
        ++granted;
      }
      return granted;
    };
    const int requests = take(RetryUse::kRequest);
    return std::pair(requests, take(RetryUse::kBegunStream));
  };
  CHECK(count(20) == std::pair(20, 4));
  CHECK(count(1) == std::pair(1, 1));
  CHECK(count(0) == std::pair(0, 0));
}

TEST_CASE("each route has its own budget") {
  Fixture f;
  f.RetryMany(500);
  CHECK(f.budget.TryRetry("other", RetryReason::kErrorEvent));
}

TEST_CASE("retries do not use the reserve of resumes") {
  Fixture f;
  for (int i = 0; i < 100; ++i) {
    f.budget.OnStreamOpened("m");
  }
  // Streams that were opened within the window count, too: they would lose
  // their answers together with their engine.
  CHECK(f.ResumeMany(500) == 120);
  f.clock.Advance(11s);
  f.RetryMany(500);
  CHECK(f.ResumeMany(500) == 120);
  for (int i = 0; i < 100; ++i) {
    f.budget.OnStreamClosed("m");
  }
  f.clock.Advance(11s);
  CHECK(f.ResumeMany(500) == 20);
}

TEST_CASE(
    "only idempotent calls without a token are hedged, within the budget") {
  Fixture f;
  CHECK_FALSE(f.budget.TryHedge("m", false, false));
  CHECK_FALSE(f.budget.TryHedge("m", true, true));
  CHECK(f.budget.TryHedge("m", true, false));
  CHECK(f.RetryMany(500) == 4);
  CHECK_FALSE(f.budget.TryHedge("m", true, false));
}

TEST_CASE("backoff is random, and bounded by 50 ms at first and by 1 s later") {
  Fixture f;
  Duration most_first{};
  Duration most_late{};
  for (int i = 0; i < 1000; ++i) {
    most_first = std::max(most_first, f.budget.Backoff(0));
    most_late = std::max(most_late, f.budget.Backoff(60));
  }
  CHECK(most_first <= 50ms);
  CHECK(most_first > 45ms);
  CHECK(most_late <= 1s);
  CHECK(most_late > 900ms);
}

TEST_CASE("the baseline without a budget refuses nothing") {
  ManualClock clock;
  RetryBudget budget(clock.hook(), SeededRandom(5), kUnlimitedRetries);
  for (int i = 0; i < 1000; ++i) {
    CHECK(budget.TryRetry("m", RetryReason::kConnectFailed));
  }
}

TEST_CASE("routes above the limit share one budget") {
  Fixture f;
  for (size_t i = 0; i < kMaxRetryRoutes; ++i) {
    f.budget.OnFirstTry(std::to_string(i));
  }
  for (int i = 0; i < 5; ++i) {
    CHECK(f.budget.TryRetry("x" + std::to_string(i), RetryReason::kEarlyEnd));
  }
  CHECK_FALSE(f.budget.TryRetry("y", RetryReason::kEarlyEnd));
}

}  // namespace
}  // namespace bramleybank
