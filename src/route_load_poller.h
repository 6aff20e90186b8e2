// Polls the load reports of the engines that this daemon prefers.
#ifndef BRAMLEYBANK_SRC_ROUTE_LOAD_POLLER_H_
#define BRAMLEYBANK_SRC_ROUTE_LOAD_POLLER_H_

#include <string>

#include "bramleybank/handle.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;
class HttpClient;
class RouteDirector;
struct HttpOutcome;

/// Sends `GET /load` to each polled engine once per kLoadPollInterval, spread
/// over the interval so that the polls of one daemon make no burst.
class RouteLoadPoller {
 public:
  RouteLoadPoller(EventLoop* loop,
                  HttpClient* client,
                  RandomHook random,
                  RouteDirector* director);
  ~RouteLoadPoller();
  RouteLoadPoller(const RouteLoadPoller&) = delete;
  RouteLoadPoller& operator=(const RouteLoadPoller&) = delete;

  void Start();

 private:
  void PollAll();
  void Poll(const std::string& address);
  void OnAnswer(const std::string& address, const HttpOutcome& outcome);

  EventLoop* m_loop;
  HttpClient* m_client;
  RandomHook m_random;
  RouteDirector* m_director;
  TimerHandle m_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_LOAD_POLLER_H_
