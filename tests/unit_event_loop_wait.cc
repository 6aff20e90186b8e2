// Guards against an event loop that polls while it waits for a timer.
#include <doctest/doctest.h>

#include "event_loop.h"

namespace bramleybank {
namespace {

TEST_CASE("a wait of a broken number of milliseconds is one turn") {
  EventLoop loop;
  bool fired = false;
  loop.Schedule(std::chrono::microseconds(5900), [&] { fired = true; });
  int turns = 0;
  while (!fired) {
    loop.RunOnce(std::chrono::seconds(1));
    ++turns;
  }
  // A signal or an early wake-up may add a turn; polling adds hundreds.
  CHECK(turns < 20);
}

}  // namespace
}  // namespace bramleybank
