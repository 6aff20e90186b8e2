// Queue of requests that arrive before the first configuration.
#include "start_queue.h"

#include <doctest/doctest.h>

#include <vector>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

WaitingRequest MakeRequest(uint64_t number, bool resumes = false) {
  return {.number = number,
          .bytes = 100,
          .resumes = resumes,
          .client_timeout = seconds(20)};
}

// Guards against refusals that use up the last retry of each caller. After a
// loss of all gateways, 50 callers that resume streams and 50 new ones arrive
// within 10 ms, and the configuration 100 ms later.
TEST_CASE("callers that come back together are all served, resumes first") {
  StartQueue queue(kStart);
  for (uint64_t i = 0; i < 100; ++i) {
    const TimePoint now = kStart + milliseconds(i / 10);
    REQUIRE(queue.Add(MakeRequest(i, /*resumes=*/i % 2 == 1), now));
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

// Guards against callers that wait without limit when no configuration arrives.
TEST_CASE("the wait ends, and a late request does not wait") {
  StartQueue queue(kStart);
  REQUIRE(queue.Add(MakeRequest(1), kStart));
  CHECK(queue.TakeExpired(kStart + kMaxStartWait - milliseconds(1)).empty());
  CHECK(queue.TakeExpired(kStart + kMaxStartWait) == std::vector<uint64_t>{1});
  CHECK(queue.empty());
  CHECK_FALSE(queue.Add(MakeRequest(2), kStart + kMaxStartWait));
}

// Guards against a refusal that is sent only after the caller has given up.
TEST_CASE("a request waits for at most a third of its caller's timeout") {
  StartQueue queue(kStart);
  WaitingRequest short_timeout = MakeRequest(1);
  short_timeout.client_timeout = milliseconds(300);
  REQUIRE(queue.Add(short_timeout, kStart));
  REQUIRE(queue.Add(MakeRequest(2), kStart));
  CHECK(queue.TakeExpired(kStart + milliseconds(99)).empty());
  CHECK(queue.TakeExpired(kStart + milliseconds(100)) ==
        std::vector<uint64_t>{1});
  queue.Remove(2);
  CHECK(queue.empty());
}

// Guards against a process that runs out of memory while requests wait.
TEST_CASE("waiting requests are bounded in number and bytes") {
  StartQueue many(kStart);
  for (uint64_t i = 0; i < kMaxStartWaiters; ++i) {
    REQUIRE(many.Add(MakeRequest(i), kStart));
  }
  CHECK_FALSE(many.Add(MakeRequest(kMaxStartWaiters), kStart));
  StartQueue large(kStart);
  WaitingRequest request = MakeRequest(1);
  request.bytes = kMaxStartWaitBytes;
  REQUIRE(large.Add(request, kStart));
  CHECK_FALSE(large.Add(MakeRequest(2), kStart));
  large.Remove(1);
  CHECK(large.Add(MakeRequest(2), kStart));
}

}  // namespace
}  // namespace bramleybank
