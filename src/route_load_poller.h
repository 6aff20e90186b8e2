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
/// within it, so that the polls of one daemon do not form a burst. The interval
/// is kLoadPollInterval, or longer to stay below kMaxLoadPollsPerSecond.
class RouteLoadPoller {
 public:
  /// Called when an engine begins or ceases to report that it is leaving.
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
  /// Polls engines that were not in the list at the previous call, without
  /// waiting for the interval. Call it when the list of polled engines has
  /// changed. Until its first report, the number of an engine's slots is a
  /// default, and a burst that the engine could serve may be refused.
  void PollNew();

 private:
  void PollAll();
  Duration PollInterval() const;
  void Poll(const std::string& address);
  void OnAnswer(const std::string& address, const HttpOutcome& outcome);
  void UpdateLeaving(const std::string& address, bool leaving);

  EventLoop* m_loop;
  HttpClient* m_client;
  RandomHook m_random;
  RouteDirector* m_director;
  LeavingHook m_on_leaving;
  // Polled engines at the last PollNew().
  std::set<std::string> m_last_polled;
  // Engines that reported in their last answer that they are leaving.
  std::set<std::string> m_leaving;
  TimerHandle m_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_LOAD_POLLER_H_
