// Decides which requests wait for the first configuration after a start, for
// how long, and in which order they are served afterwards.
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

/// Properties of a request that waits for the first configuration.
struct WaitingRequest {
  uint64_t number = 0;
  size_t bytes = 0;
  /// Whether the request resumes a stream of which its caller has a part.
  bool resumes = false;
  /// Time left until the caller's timeout; empty if the caller does not send
  /// it.
  std::optional<Duration> client_timeout;

  friend bool operator==(const WaitingRequest&,
                         const WaitingRequest&) = default;
};

/// Bounded queue of the requests that arrive before the first configuration.
/// After a loss of all gateways, callers return within a few milliseconds of
/// the restart, most of them with their last retry, and the configuration is
/// read shortly afterwards. Requests wait for up to a third of their caller's
/// timeout, in bounded memory. A gateway that has no configuration for longer
/// than kMaxStartWait refuses requests at once, since it cannot tell when it
/// will be able to serve them.
class StartQueue {
 public:
  explicit StartQueue(TimePoint started_at);

  /// @returns whether the request waits; if not, it must be refused.
  bool Add(const WaitingRequest& request, TimePoint now);
  /// Removes a request whose caller has disconnected.
  void Remove(uint64_t number);
  /// Removes the requests whose wait has expired.
  /// @returns their numbers in the order of arrival.
  std::vector<uint64_t> TakeExpired(TimePoint now);
  /// Removes all requests.
  /// @returns their numbers in the order in which they are to be served:
  /// resumed streams first, since their output is already interrupted.
  std::vector<uint64_t> TakeAll();

  bool empty() const { return m_requests.empty(); }

 private:
  struct Entry {
    WaitingRequest request;
    TimePoint expires_at;
  };

  void Erase(std::map<uint64_t, Entry>::iterator it);

  // No request is added from then on, and all waits end.
  const TimePoint m_closes_at;
  // By number; numbers increase in the order of arrival.
  std::map<uint64_t, Entry> m_requests;
  // Sum of the bytes of m_requests.
  size_t m_bytes = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_START_QUEUE_H_
