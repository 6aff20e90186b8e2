// Polls the load reports of the engines that this daemon prefers.
#ifndef BRAMLEYBANK_SRC_ROUTE_LOAD_POLLER_H_
#define BRAMLEYBANK_SRC_ROUTE_LOAD_POLLER_H_

#include <functional>
#include <set>
#include <string>

#include "bramleybank/handle.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;
class HttpClient;
class RouteDirector;
struct HttpOutcome;

/// Sends `GET /load` to each polled engine once per interval, at a random time
/// in it, so that the polls of one daemon make no burst. The interval is
/// kLoadPollInterval, or longer to stay below kMaxLoadPollsPerSecond.
class RouteLoadPoller {
 public:
  /// Called when an engine says of itself that it is leaving, or no longer.
  using LeavingHook =
      std::function<void(const std::string& address, bool leaving)>;

  RouteLoadPoller(EventLoop* loop,
                  HttpClient* client,
                  RandomHook random,
                  RouteDirector* director,
                  LeavingHook on_leaving);
  ~RouteLoadPoller();
  RouteLoadPoller(const RouteLoadPoller&) = delete;
  RouteLoadPoller& operator=(const RouteLoadPoller&) = delete;

  void Start();
  /// Polls at once the engines that were not polled before; call it when the
  /// polled engines have changed. Until its first report an engine's slots are
  /// a guess, and a burst may be refused that it could take.
  void PollNew();

 private:
  void PollAll();
  Duration Interval() const;
  void Poll(const std::string& address);
  void OnAnswer(const std::string& address, const HttpOutcome& outcome);
  void NoteLeaving(const std::string& address, bool leaving);

  EventLoop* m_loop;
  HttpClient* m_client;
  RandomHook m_random;
  RouteDirector* m_director;
  LeavingHook m_on_leaving;
  // Engines that were polled at least once.
  std::set<std::string> m_polled;
  // Engines that said so in their last answer.
  std::set<std::string> m_leaving;
  TimerHandle m_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_LOAD_POLLER_H_
