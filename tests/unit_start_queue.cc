// Requests that arrive before the first configuration.
#include "start_queue.h"

#include <doctest/doctest.h>

#include <vector>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

StartWaiter Waiter(uint64_t number, bool resumes = false) {
  return {.number = number,
          .bytes = 100,
          .resumes = resumes,
          .patience = seconds(20)};
}

// The load after a loss of all gateways: 50 callers in the middle of a stream
// and 50 new ones within 10 ms, the configuration 100 ms later. Guards against
// refusals that take each caller's last try.
TEST_CASE("callers that come back together are all served, resumes first") {
  StartQueue queue(kStart);
  for (uint64_t i = 0; i < 100; ++i) {
    const TimePoint now = kStart + milliseconds(i / 10);
    REQUIRE(queue.Add(Waiter(i, /*resumes=*/i % 2 == 1), now));
  }
  CHECK(queue.TakeExpired(kStart + milliseconds(100)).empty());
  const std::vector<uint64_t> order = queue.TakeAll();
  REQUIRE(order.size() == 100);
  for (size_t i = 0; i < 50; ++i) {
    CHECK(order[i] == 2 * i + 1);
    CHECK(order[50 + i] == 2 * i);
  }
  CHECK(queue.empty());
}

// Guards against callers that wait for a configuration that does not come.
TEST_CASE("the wait ends, and a late request does not wait") {
  StartQueue queue(kStart);
  REQUIRE(queue.Add(Waiter(1), kStart));
  CHECK(queue.TakeExpired(kStart + kMaxStartWait - milliseconds(1)).empty());
  CHECK(queue.TakeExpired(kStart + kMaxStartWait) == std::vector<uint64_t>{1});
  CHECK(queue.empty());
  CHECK_FALSE(queue.Add(Waiter(2), kStart + kMaxStartWait));
}

// Guards against a caller that leaves before it gets the refusal.
TEST_CASE("a request waits for a third of its time at most") {
  StartQueue queue(kStart);
  StartWaiter hasty = Waiter(1);
  hasty.patience = milliseconds(300);
  REQUIRE(queue.Add(hasty, kStart));
  REQUIRE(queue.Add(Waiter(2), kStart));
  CHECK(queue.TakeExpired(kStart + milliseconds(99)).empty());
  CHECK(queue.TakeExpired(kStart + milliseconds(100)) ==
        std::vector<uint64_t>{1});
  queue.Remove(2);
  CHECK(queue.empty());
}

// Guards against a process that is killed for its memory while it waits.
TEST_CASE("waiting requests are bounded in number and bytes") {
  StartQueue many(kStart);
  for (uint64_t i = 0; i < kMaxStartWaiters; ++i) {
    REQUIRE(many.Add(Waiter(i), kStart));
  }
  CHECK_FALSE(many.Add(Waiter(kMaxStartWaiters), kStart));
  StartQueue large(kStart);
  StartWaiter waiter = Waiter(1);
  waiter.bytes = kMaxStartWaitBytes;
  REQUIRE(large.Add(waiter, kStart));
  CHECK_FALSE(large.Add(Waiter(2), kStart));
  large.Remove(1);
  CHECK(large.Add(Waiter(2), kStart));
}

}  // namespace
}  // namespace bramleybank
