// Guards against a loop that spins while a timer is not yet due, and against
// timers that fire late, twice or after their cancellation.
#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "event_loop.h"

namespace bramleybank {
namespace {

constexpr Duration kMaxWait = std::chrono::milliseconds(50);

TEST_CASE("waiting for a timer does not spin") {
  EventLoop loop;
  // 900 us: epoll counts in milliseconds, so a wait rounded down is zero.
  for (int round = 0; round < 20; ++round) {
    bool fired = false;
    loop.Schedule(std::chrono::microseconds(900), [&] { fired = true; });
    int turns = 0;
    while (!fired) {
      loop.RunOnce(kMaxWait);
      ++turns;
    }
    // One turn may end on a rounding of the clock.
    CHECK(turns <= 2);
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
