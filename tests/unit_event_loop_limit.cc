// Guards against an event loop that cannot start where the hard limit on
// descriptors is lower than the reactor's size.
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "event_loop.h"

namespace bramleybank {
namespace {

TEST_CASE("an event loop starts under a low hard limit on descriptors") {
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    // In a process of its own, because a hard limit cannot be raised again.
    const rlimit limit{.rlim_cur = 256, .rlim_max = 256};
    setrlimit(RLIMIT_NOFILE, &limit);
    const EventLoop loop;
    _exit(0);
  }
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  CHECK(status == 0);
}

}  // namespace
}  // namespace bramleybank
