// Guards against an event loop that fails to start if the limit of open files
// is low or that spins until a timer is due, and against timers that fire late,
// twice or after they were cancelled.
#include <doctest/doctest.h>

#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <vector>

#include "event_loop.h"

namespace bramleybank {
namespace {

constexpr Duration kMaxWait = std::chrono::milliseconds(50);

TEST_CASE("the loop starts whatever the hard limit of descriptors") {
  // Runs in a child process, because a hard limit cannot be raised again.
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
  // epoll has a resolution of 1 ms. With a wait that is rounded down, the loop
  // would spin for the remainder. 900 us use the timerfd, 5,900 us the wait of
  // the reactor.
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
      // One iteration may end early because the clock is rounded.
      CHECK(turns <= 2);
    }
  }
}

TEST_CASE("a timer does not fire if another timer of its turn cancels it") {
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

/// Checks that a timer fires after all that has arrived was dispatched.
/// @param pause of the process, which makes the timer late.
void CheckArrivalsBeforeTimer(useconds_t pause) {
  constexpr int kPairs = 10;
  EventLoop loop;
  std::vector<std::array<int, 2>> pairs(kPairs);
  int received = 0;
  for (auto& pair : pairs) {
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
    loop.Watch(pair[0], true, false, [&loop, &received, fd = pair[0]](IoReady) {
      ++received;
      loop.Unwatch(fd);
    });
    REQUIRE(write(pair[1], "x", 1) == 1);
  }
  int received_before_timer = -1;
  loop.Schedule(Duration(0), [&] { received_before_timer = received; });
  usleep(pause);
  while (received_before_timer < 0) {
    loop.RunOnce(kMaxWait);
  }
  CHECK(received_before_timer == kPairs);
  for (const auto& pair : pairs) {
    loop.Unwatch(pair[0]);
    close(pair[0]);
    close(pair[1]);
  }
}

// Guards against timeouts of answers that arrived while the process was paused.
TEST_CASE("a late timer fires after what has arrived was dispatched") {
  CheckArrivalsBeforeTimer(20'000);
}

// Guards against timeouts of answers that wait for their turn in a busy loop.
TEST_CASE("a timer in time fires after what has arrived was dispatched") {
  CheckArrivalsBeforeTimer(0);
}

TEST_CASE("a callback may end the watch of its own descriptor") {
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
