// Guards against a loop that cannot start under a low limit of descriptors,
// that spins while a timer is not yet due, and against timers that fire late,
// twice or after their cancellation.
#include <doctest/doctest.h>

#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>

#include "event_loop.h"

namespace bramleybank {
namespace {

constexpr Duration kMaxWait = std::chrono::milliseconds(50);

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

TEST_CASE("waiting for a timer does not spin") {
  // epoll counts in milliseconds, so a wait rounded down polls for its last
  // part: 900 us use the timerfd, 5,900 us the reactor's own wait.
  for (const Duration delay : {Duration{900}, Duration{5900}}) {
    EventLoop loop;
    for (int round = 0; round < 20; ++round) {
      bool fired = false;
      loop.Schedule(delay, [&] { fired = true; });
      int turns = 0;
      while (!fired) {
        loop.RunOnce(kMaxWait);
        ++turns;
      }
      // One turn may end on a rounding of the clock.
      CHECK(turns <= 2);
    }
  }
}

TEST_CASE("a cancelled timer does not fire, also within its own turn") {
  EventLoop loop;
  int fired = 0;
  TimerHandle second;
  loop.Schedule(Duration{0}, [&] {
    ++fired;
    loop.Cancel(second);
  });
  second = loop.Schedule(Duration{1}, [&] { ++fired; });
  loop.Schedule(std::chrono::milliseconds(5), [&] { loop.Stop(); });
  loop.Run();
  CHECK(fired == 1);
}

TEST_CASE("a callback may end its own watch") {
  EventLoop loop;
  std::array<int, 2> fds{};
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, fds.data()) == 0);
  int calls = 0;
  loop.Watch(fds[0], true, false, [&](IoReady) {
    ++calls;
    loop.Unwatch(fds[0]);
  });
  REQUIRE(write(fds[1], "x", 1) == 1);
  loop.Schedule(std::chrono::milliseconds(20), [&] { loop.Stop(); });
  loop.Run();
  CHECK(calls == 1);
  close(fds[0]);
  close(fds[1]);
}

TEST_CASE("a posted function may post again without starving descriptors") {
  EventLoop loop;
  std::array<int, 2> fds{};
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, fds.data()) == 0);
  bool read_ready = false;
  loop.Watch(fds[0], true, false, [&](IoReady) { read_ready = true; });
  REQUIRE(write(fds[1], "x", 1) == 1);
  std::function<void()> repost = [&] { loop.Post(repost); };
  loop.Post(repost);
  for (int turn = 0; turn < 100 && !read_ready; ++turn) {
    loop.RunOnce(kMaxWait);
  }
  CHECK(read_ready);
  loop.Unwatch(fds[0]);
  close(fds[0]);
  close(fds[1]);
}

}  // namespace
}  // namespace bramleybank
