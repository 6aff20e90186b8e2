// Guards against a load that differs between runs with the same seed, deviates
// from the configured shares, or retries at the wrong target or time.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "load_gen_plan.h"
#include "load_gen_retry.h"
#include "load_gen_stats.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<PlannedRequest> AllRequests(const LoadSettings& settings) {
  LoadPlan plan(settings);
  std::vector<PlannedRequest> requests;
  while (auto request = plan.Next()) {
    requests.push_back(*request);
  }
  return requests;
}

TEST_CASE("the same seed repeats the plan, another seed does not") {
  LoadSettings settings;
  settings.requests = 50;
  const auto first = AllRequests(settings);
  CHECK(first.size() == 50);
  CHECK(AllRequests(settings) == first);
  settings.seed = 2;
  CHECK(AllRequests(settings) != first);
}

TEST_CASE("arrivals, customers, lengths and kinds follow the settings") {
  LoadSettings settings;
  settings.rate = 100;
  settings.duration = seconds(100);
  settings.service_share = 0.2;
  settings.lookup_share = 0.75;
  settings.customer_skew = 1;
  std::map<std::string, double> share;
  std::map<LoadKind, double> kind;
  double long_count = 0;
  const auto requests = AllRequests(settings);
  const auto total = static_cast<double>(requests.size());
  CHECK(total == doctest::Approx(10000).epsilon(0.05));
  for (const PlannedRequest& request : requests) {
    share[request.customer] += 1 / total;
    kind[request.kind] += 1 / total;
    long_count += request.max_tokens == settings.long_tokens ? 1 : 0;
  }
  CHECK(share["customer-1"] ==
        doctest::Approx(2 * share["customer-2"]).epsilon(0.1));
  CHECK(share.size() == 10);
  CHECK(kind[LoadKind::kLookup] == doctest::Approx(0.15).epsilon(0.1));
  CHECK(kind[LoadKind::kBooking] == doctest::Approx(0.05).epsilon(0.15));
  CHECK(kind[LoadKind::kChat] == doctest::Approx(0.24).epsilon(0.1));
  CHECK(long_count / total ==
        doctest::Approx(settings.long_share).epsilon(0.15));
}

TEST_CASE(
    "targets are used in turn, and a failed one is followed by the next") {
  TargetRing ring({"a", "b", "c"});
  CHECK(ring.Next() == "a");
  CHECK(ring.Next() == "b");
  CHECK(ring.Next() == "c");
  CHECK(ring.Next() == "a");
  CHECK(ring.After("b") == "c");
  CHECK(ring.After("c") == "a");
}

TEST_CASE("attempts start immediately, back off, and end at the limit") {
  RetryBackoff backoff(seconds(5), [] { return uint64_t{25000}; });
  const TimePoint start{};
  CHECK(backoff.NextDelay(start) == Duration(0));
  CHECK(backoff.NextDelay(start) == milliseconds(25));
  CHECK(backoff.is_active());
  CHECK(backoff.first_loss() == start);
  CHECK_FALSE(backoff.NextDelay(start + seconds(5)));
  backoff.Reset();
  CHECK_FALSE(backoff.is_active());
  CHECK(backoff.NextDelay(start + seconds(9)) == Duration(0));
}

TEST_CASE("a delay never exceeds a second") {
  RetryBackoff backoff(seconds(500), [] { return uint64_t{1000000}; });
  for (int i = 0; i < 50; ++i) {
    CHECK(*backoff.NextDelay(TimePoint()) <= seconds(1));
  }
}

TEST_CASE("quantiles are accurate to one percent") {
  LatencyHistogram times;
  CHECK(times.Quantile(0.5) == Duration(0));
  for (int i = 1; i <= 1000; ++i) {
    times.Add(milliseconds(i));
  }
  CHECK(static_cast<double>(times.Quantile(0.5).count()) ==
        doctest::Approx(500000).epsilon(0.011));
  CHECK(static_cast<double>(times.Quantile(0.95).count()) ==
        doctest::Approx(950000).epsilon(0.011));
  CHECK(times.Quantile(1) == milliseconds(1000));
  CHECK(times.max() == milliseconds(1000));
}

}  // namespace
}  // namespace bramleybank
