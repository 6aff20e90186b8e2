// Single-threaded event loop for descriptors, timers and posted functions,
// built on ACE_Dev_Poll_Reactor.
#ifndef BRAMLEYBANK_SRC_EVENT_LOOP_H_
#define BRAMLEYBANK_SRC_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "bramleybank/handle.h"
#include "hooks.h"

namespace bramleybank {

/// Readiness of a descriptor.
struct IoReady {
  bool readable = false;
  bool writable = false;
};

/// Single-threaded event loop. All methods must be called on the loop's thread.
/// To react to a signal, for example with Stop(), use RunOnSignal().
class EventLoop {
 public:
  using Callback = std::function<void()>;
  using IoCallback = std::function<void(IoReady)>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs `callback` once after `delay`. A negative delay is treated as zero.
  TimerHandle Schedule(Duration delay, Callback callback);

  /// Cancels a timer. Handles that are unknown, invalid or belong to a timer
  /// that has fired are ignored.
  void Cancel(TimerHandle timer);

  /// Watches a descriptor, or replaces its events and callback if it is watched
  /// already. With neither `read` nor `write` it stops watching the descriptor.
  /// @remarks call Unwatch() before the descriptor is closed.
  void Watch(int fd, bool read, bool write, IoCallback callback);
  void Unwatch(int fd);

  /// Runs `callback` in the next iteration of the loop.
  void Post(Callback callback);

  /// Runs `callback` on the loop's thread when the process receives `signal`.
  void RunOnSignal(int signal, Callback callback);

  /// Processes events until Stop() is called.
  void Run();
  /// Runs one iteration of the loop, waiting at most `max_wait` for events.
  void RunOnce(Duration max_wait);
  void Stop();

  TimePoint Now() const { return SteadyNow(); }

  /// @returns the largest delay of a timer past its due time since the last
  /// call, in microseconds, and resets it. A high value means that this process
  /// was paused or busy.
  Duration TakeMaxTimerDelay();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_EVENT_LOOP_H_
