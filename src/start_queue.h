// Decides which requests wait for the first configuration after a start, how
// long, and in which order they are served then.
#ifndef BRAMLEYBANK_SRC_START_QUEUE_H_
#define BRAMLEYBANK_SRC_START_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// What is known of a request that waits.
struct StartWaiter {
  uint64_t number = 0;
  size_t bytes = 0;
  /// Whether its caller has a part of a stream and waits for the rest.
  bool resumes = false;
  /// How long the caller waits from now on; nothing when it does not tell.
  std::optional<Duration> patience;

  friend bool operator==(const StartWaiter&, const StartWaiter&) = default;
};

/// Answers the load after a loss of all gateways: callers come back within some
/// milliseconds after the restart, most of them for their last try, and the
/// configuration is read a moment later. Requests wait for it in bounded
/// memory, up to a third of their time. A gateway that has no configuration for
/// longer than that refuses at once, since it does not know when it will serve.
class StartQueue {
 public:
  explicit StartQueue(TimePoint started_at);

  /// @returns whether the request waits; it is refused otherwise.
  bool Add(const StartWaiter& waiter, TimePoint now);
  /// The caller has gone.
  void Remove(uint64_t number);
  /// @returns the requests whose wait is over, in the order of their arrival.
  std::vector<uint64_t> TakeExpired(TimePoint now);
  /// @returns all requests in the order in which they are to be served: callers
  /// in the middle of a stream first, since their pause is running.
  std::vector<uint64_t> TakeAll();

  bool empty() const { return m_waiters.empty(); }

 private:
  struct Entry {
    StartWaiter waiter;
    TimePoint expires_at;
  };

  void Erase(std::map<uint64_t, Entry>::iterator it);

  const TimePoint m_closes_at;
  // Numbers rise with the arrival of requests.
  std::map<uint64_t, Entry> m_waiters;
  // Sum over m_waiters.
  size_t m_bytes = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_START_QUEUE_H_
