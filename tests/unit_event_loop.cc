// Guards against an event loop that cannot start under a low descriptor limit,
// and against one that spins.
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "event_loop.h"

namespace bramleybank {
namespace {

TEST_CASE("the loop starts whatever the hard limit of descriptors") {
  // In a process of its own, because a hard limit cannot be raised again.
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    const rlimit low{.rlim_cur = 64, .rlim_max = 256};
    bool ran = false;
    if (setrlimit(RLIMIT_NOFILE, &low) == 0) {
      EventLoop loop;
      loop.Post([&] { ran = true; });
      loop.RunOnce(Duration(0));
    }
    _exit(ran ? 0 : 1);
  }
  int status = -1;
  REQUIRE(waitpid(child, &status, 0) == child);
  CHECK(status == 0);
}

TEST_CASE("the loop sleeps until a timer that is less than 1 ms away") {
  // A wait that is cut off to 0 ms returns before the timer is due.
  EventLoop loop;
  bool fired = false;
  loop.Schedule(Duration(900), [&] { fired = true; });
  loop.RunOnce(std::chrono::seconds(1));
  CHECK(fired);
}

}  // namespace
}  // namespace bramleybank
