// The event loop: one thread that serves descriptors, timers and posted
// functions. It wraps ACE_Dev_Poll_Reactor.
#ifndef BRAMLEYBANK_SRC_EVENT_LOOP_H_
#define BRAMLEYBANK_SRC_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "bramleybank/handle.h"
#include "hooks.h"

namespace bramleybank {

/// What a descriptor is ready for.
struct IoReady {
  bool readable = false;
  bool writable = false;
};

/// Single-threaded event loop. All methods are called on the loop's thread,
/// except that a signal handler may call Stop() through RunOnSignal().
class EventLoop {
 public:
  using Callback = std::function<void()>;
  using IoCallback = std::function<void(IoReady)>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs `callback` once after `delay`; a negative delay counts as zero.
  TimerHandle Schedule(Duration delay, Callback callback);

  /// Cancels a timer. Unknown, fired and invalid handles are ignored.
  void Cancel(TimerHandle timer);

  /// Watches a descriptor, or changes what is watched. With neither `read`
  /// nor `write` the descriptor is no longer watched.
  /// @remarks call Unwatch() before the descriptor is closed.
  void Watch(int fd, bool read, bool write, IoCallback callback);
  void Unwatch(int fd);

  /// Runs `callback` in the next turn of the loop.
  void Post(Callback callback);

  /// Runs `callback` on the loop's thread when the process gets `signal`.
  void RunOnSignal(int signal, Callback callback);

  /// Serves events until Stop().
  void Run();
  /// Serves one round of events, waiting at most `max_wait`.
  void RunOnce(Duration max_wait);
  void Stop();

  TimePoint Now() const { return SteadyNow(); }

  /// Longest delay of a timer behind its due time since the last call, in
  /// microseconds. A high value means that this process was paused or busy.
  Duration TakeMaxTimerDelay();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_EVENT_LOOP_H_
