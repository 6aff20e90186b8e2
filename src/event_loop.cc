// Event loop on ACE_Dev_Poll_Reactor. Timers are kept here rather than in the
// reactor because ACE's timer queue follows the wall clock, which can jump.
#include "event_loop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
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

constexpr size_t kMaxDescriptors = 65536;
constexpr Duration kMaxWait = std::chrono::seconds(1);

/// @returns the size of the reactor. It raises the process's descriptor limit
/// to its size and fails to open when the hard limit is lower.
size_t ReactorSize() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_max == RLIM_INFINITY) {
    return kMaxDescriptors;
  }
  return std::min<size_t>(kMaxDescriptors, limit.rlim_max);
}

/// Rounds up to milliseconds, the unit of epoll_wait(). The reactor cuts off
/// the rest, so the loop would spin for the last part of a millisecond before
/// each timer.
ACE_Time_Value ToAceTime(Duration duration) {
  // The reactor first subtracts the time that it has used itself; without the
  // slack, one microsecond of it would cost a whole millisecond of the wait.
  constexpr Duration kSlack{900};
  const Duration rounded =
      duration.count() > 0
          ? std::chrono::ceil<std::chrono::milliseconds>(duration) + kSlack
          : Duration{0};
  const auto micros = rounded.count();
  return ACE_Time_Value(static_cast<time_t>(micros / 1000000),
                        static_cast<suseconds_t>(micros % 1000000));
}

/// Forwards reactor upcalls of one descriptor to its callback.
class DescriptorHandler : public ACE_Event_Handler {
 public:
  DescriptorHandler(int fd, EventLoop::IoCallback callback)
      : m_fd(fd), m_callback(std::move(callback)) {}

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
    // The callback may replace itself or end the watch.
    const EventLoop::IoCallback callback = m_callback;
    callback(ready);
    return 0;
  }

  int m_fd;
  EventLoop::IoCallback m_callback;
};

struct WatchEntry {
  std::unique_ptr<DescriptorHandler> handler;
  ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
};

}  // namespace

struct EventLoop::Impl {
  ACE_Dev_Poll_Reactor* poll_reactor = new ACE_Dev_Poll_Reactor(ReactorSize());
  ACE_Reactor reactor{poll_reactor, /*delete_implementation=*/true};
  std::unordered_map<int, WatchEntry> watches;
  // Handlers that were unwatched in this turn. They are kept until the turn
  // ends because the reactor may still be inside their upcall.
  std::vector<std::unique_ptr<DescriptorHandler>> retired;
  std::map<std::pair<TimePoint, uint64_t>, Callback> timers;
  std::unordered_map<uint64_t, TimePoint> due_times;
  uint64_t next_timer = 1;
  std::vector<Callback> posted;
  std::vector<int> signal_fds;
  Duration max_timer_delay{0};
  bool stopped = false;

  Duration NextWait(Duration max_wait) const {
    if (!posted.empty()) {
      return Duration{0};
    }
    Duration wait = max_wait;
    if (!timers.empty()) {
      wait = std::min(wait, timers.begin()->first.first - SteadyNow());
    }
    return std::max(wait, Duration{0});
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
}

EventLoop::~EventLoop() {
  while (!m_impl->watches.empty()) {
    Unwatch(m_impl->watches.begin()->first);
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
  if (entry.handler) {
    entry.handler->set_callback(std::move(callback));
    if (entry.mask != mask) {
      m_impl->reactor.mask_ops(fd, mask, ACE_Reactor::SET_MASK);
      entry.mask = mask;
    }
    return;
  }
  entry.handler = std::make_unique<DescriptorHandler>(fd, std::move(callback));
  entry.mask = mask;
  m_impl->reactor.register_handler(fd, entry.handler.get(), mask);
}

void EventLoop::Unwatch(int fd) {
  const auto it = m_impl->watches.find(fd);
  if (it == m_impl->watches.end()) {
    return;
  }
  m_impl->reactor.remove_handler(
      fd, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
  m_impl->retired.push_back(std::move(it->second.handler));
  m_impl->watches.erase(it);
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
  m_impl->retired.clear();
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
