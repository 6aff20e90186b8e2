// Event loop on ACE_Dev_Poll_Reactor. Timers are managed here and not by the
// reactor, because ACE's timer queue uses the wall clock, which can jump.
#include "event_loop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <csignal>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bramleybank {
namespace {

constexpr int kMaxDescriptors = 65536;
constexpr Duration kMaxWait = std::chrono::seconds(1);
constexpr Duration kWaitMargin = std::chrono::microseconds(500);
// Shorter waits use a timerfd, because epoll has a resolution of 1 ms. A timer
// that fires 1 ms late would use up the 1 ms of latency that a daemon may add
// to the first token.
constexpr Duration kTimerFdThreshold = std::chrono::milliseconds(5);

/// @returns the size of the reactor's descriptor table. ACE raises the soft
/// limit of open files to this size and fails if the hard limit is lower.
int MaxDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kMaxDescriptors;
  }
  return static_cast<int>(std::min<rlim_t>(kMaxDescriptors, limit.rlim_max));
}

ACE_Time_Value ToAceTime(Duration duration) {
  const auto micros = duration.count();
  return ACE_Time_Value(static_cast<time_t>(micros / 1000000),
                        static_cast<suseconds_t>(micros % 1000000));
}

/// Forwards the reactor's events for one descriptor to its callback.
class DescriptorHandler : public ACE_Event_Handler {
 public:
  explicit DescriptorHandler(int fd) : m_fd(fd) {}

  ACE_HANDLE get_handle() const override { return m_fd; }

  int handle_input(ACE_HANDLE /*handle*/) override {
    return Dispatch({.readable = true});
  }
  int handle_output(ACE_HANDLE /*handle*/) override {
    return Dispatch({.writable = true});
  }

  void set_callback(EventLoop::IoCallback callback) {
    m_callback = std::move(callback);
  }

 private:
  int Dispatch(IoReady ready) {
    // Calls a copy, because the callback may replace itself or call Unwatch().
    const EventLoop::IoCallback callback = m_callback;
    if (callback) {
      callback(ready);
    }
    return 0;
  }

  int m_fd;
  EventLoop::IoCallback m_callback;
};

/// State of one descriptor number. The handler is kept after Unwatch(): if the
/// descriptor was closed first, as libcurl does with a failed connection, the
/// reactor cannot remove the handler and still refers to it.
struct WatchEntry {
  std::unique_ptr<DescriptorHandler> handler;
  // NULL_MASK if the descriptor is not watched.
  ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
  // Whether the reactor failed to remove the handler and still refers to it.
  bool is_stale = false;
};

}  // namespace

struct EventLoop::Impl {
  ACE_Dev_Poll_Reactor* poll_reactor =
      new ACE_Dev_Poll_Reactor(MaxDescriptors());
  ACE_Reactor reactor{poll_reactor, /*delete_implementation=*/true};
  std::unordered_map<int, WatchEntry> watches;
  std::map<std::pair<TimePoint, uint64_t>, Callback> timers;
  std::unordered_map<uint64_t, TimePoint> due_times;
  uint64_t next_timer = 1;
  std::vector<Callback> posted;
  std::vector<int> signal_fds;
  Duration max_timer_delay{0};
  bool stopped = false;
  const int timer_fd;

  Impl()
      : timer_fd(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    assert(timer_fd >= 0);
  }

  ~Impl() { close(timer_fd); }

  Duration NextWait(Duration max_wait) {
    if (!posted.empty()) {
      return Duration{0};
    }
    Duration wait = max_wait;
    if (!timers.empty()) {
      wait = std::min(wait, timers.begin()->first.first - SteadyNow());
    }
    if (wait <= Duration{0}) {
      return Duration{0};
    }
    if (wait < kTimerFdThreshold) {
      ArmTimerFd(wait);
    }
    // epoll has a resolution of 1 ms. If the wait were rounded down, the loop
    // would wake early and spin until the timer is due. The reactor subtracts
    // its own processing time from the wait before it rounds down; the margin
    // compensates for that.
    return std::chrono::ceil<std::chrono::milliseconds>(wait) + kWaitMargin;
  }

  /// Makes timer_fd readable after `wait`. This also clears an expiration that
  /// has not been read yet.
  void ArmTimerFd(Duration wait) const {
    itimerspec spec{};
    spec.it_value.tv_nsec = std::chrono::nanoseconds(wait).count();
    timerfd_settime(timer_fd, 0, &spec, nullptr);
  }

  bool HasDueTimer() const {
    return !timers.empty() && timers.begin()->first.first <= SteadyNow();
  }

  /// Dispatches events that are ready, at most one for each descriptor. The
  /// reactor dispatches one event a call.
  void DispatchReady() {
    for (size_t i = watches.size(); i > 0 && !stopped; --i) {
      ACE_Time_Value no_wait = ACE_Time_Value::zero;
      if (reactor.handle_events(no_wait) <= 0) {
        return;
      }
    }
  }

  void RunTimers() {
    const TimePoint now = SteadyNow();
    while (!timers.empty() && timers.begin()->first.first <= now) {
      auto node = timers.extract(timers.begin());
      max_timer_delay = std::max(max_timer_delay, now - node.key().first);
      due_times.erase(node.key().second);
      node.mapped()();
    }
  }

  void RunPosted() {
    std::vector<Callback> batch;
    batch.swap(posted);
    for (const Callback& callback : batch) {
      callback();
    }
  }
};

EventLoop::EventLoop() : m_impl(std::make_unique<Impl>()) {
  assert(m_impl->poll_reactor->initialized());
  Watch(m_impl->timer_fd, true, false, [fd = m_impl->timer_fd](IoReady) {
    uint64_t expirations = 0;
    [[maybe_unused]] const ssize_t count =
        read(fd, &expirations, sizeof(expirations));
  });
}

EventLoop::~EventLoop() {
  for (const auto& [fd, entry] : m_impl->watches) {
    Unwatch(fd);
  }
  for (const int fd : m_impl->signal_fds) {
    close(fd);
  }
}

TimerHandle EventLoop::Schedule(Duration delay, Callback callback) {
  assert(callback);
  const TimePoint due = Now() + std::max(delay, Duration{0});
  const uint64_t id = m_impl->next_timer++;
  m_impl->timers.emplace(std::pair{due, id}, std::move(callback));
  m_impl->due_times.emplace(id, due);
  return TimerHandle(id);
}

void EventLoop::Cancel(TimerHandle timer) {
  const auto it = m_impl->due_times.find(timer.value());
  if (it == m_impl->due_times.end()) {
    return;
  }
  m_impl->timers.erase({it->second, it->first});
  m_impl->due_times.erase(it);
}

void EventLoop::Watch(int fd, bool read, bool write, IoCallback callback) {
  assert(fd >= 0);
  if (!read && !write) {
    Unwatch(fd);
    return;
  }
  ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
  if (read) {
    mask |= ACE_Event_Handler::READ_MASK;
  }
  if (write) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  WatchEntry& entry = m_impl->watches[fd];
  if (!entry.handler) {
    entry.handler = std::make_unique<DescriptorHandler>(fd);
  }
  entry.handler->set_callback(std::move(callback));
  if (entry.mask == mask) {
    return;
  }
  if (entry.mask != ACE_Event_Handler::NULL_MASK) {
    m_impl->reactor.mask_ops(fd, mask, ACE_Reactor::SET_MASK);
  } else {
    m_impl->reactor.register_handler(fd, entry.handler.get(), mask);
    if (std::exchange(entry.is_stale, false)) {
      // register_handler() adds to the stale events, so replace them.
      m_impl->reactor.mask_ops(fd, mask, ACE_Reactor::SET_MASK);
    }
  }
  entry.mask = mask;
}

void EventLoop::Unwatch(int fd) {
  const auto it = m_impl->watches.find(fd);
  if (it == m_impl->watches.end() ||
      it->second.mask == ACE_Event_Handler::NULL_MASK) {
    return;
  }
  const int removed = m_impl->reactor.remove_handler(
      fd, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
  it->second.is_stale = removed != 0;
  it->second.handler->set_callback(nullptr);
  it->second.mask = ACE_Event_Handler::NULL_MASK;
}

void EventLoop::Post(Callback callback) {
  assert(callback);
  m_impl->posted.push_back(std::move(callback));
}

void EventLoop::RunOnSignal(int signal, Callback callback) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, signal);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  assert(fd >= 0);
  m_impl->signal_fds.push_back(fd);
  Watch(fd, true, false, [fd, callback = std::move(callback)](IoReady) {
    signalfd_siginfo info;
    while (read(fd, &info, sizeof(info)) == sizeof(info)) {
      callback();
    }
  });
}

void EventLoop::Run() {
  m_impl->stopped = false;
  while (!m_impl->stopped) {
    RunOnce(kMaxWait);
  }
}

void EventLoop::RunOnce(Duration max_wait) {
  ACE_Time_Value wait = ToAceTime(m_impl->NextWait(max_wait));
  m_impl->reactor.handle_events(wait);
  // What has arrived is dispatched before timers. A process that is busy or was
  // paused would otherwise run into timeouts of answers that lie in its
  // sockets.
  if (m_impl->HasDueTimer()) {
    m_impl->DispatchReady();
    m_impl->RunPosted();
  }
  m_impl->RunTimers();
  m_impl->RunPosted();
}

void EventLoop::Stop() {
  m_impl->stopped = true;
}

Duration EventLoop::TakeMaxTimerDelay() {
  return std::exchange(m_impl->max_timer_delay, Duration{0});
}

}  // namespace bramleybank
