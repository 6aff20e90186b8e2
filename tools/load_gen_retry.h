// Where and when a lost request is sent again.
#ifndef BRAMLEYBANK_TOOLS_LOAD_GEN_RETRY_H_
#define BRAMLEYBANK_TOOLS_LOAD_GEN_RETRY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// Addresses in turn, as a load balancer hands out connections.
class TargetRing {
 public:
  /// @param targets at least one.
  explicit TargetRing(std::vector<std::string> targets);

  /// @returns the next address in turn.
  const std::string& Next();
  /// @returns the address after `failed`.
  const std::string& After(const std::string& failed) const;

 private:
  std::vector<std::string> m_targets;
  size_t m_next = 0;
};

/// Delays between tries after a loss: none, then backoff with full jitter.
class RetryBackoff {
 public:
  /// @param limit time after the loss in which tries may start.
  RetryBackoff(Duration limit, RandomHook random);

  /// Reports a loss or a failed try.
  /// @returns the delay before the next try, or nothing after the limit.
  std::optional<Duration> NextDelay(TimePoint now);
  /// Reports progress: the next loss starts anew.
  void Reset();

  bool is_active() const { return m_lost_at.has_value(); }
  /// Time of the first loss without progress since. Needs is_active().
  TimePoint lost_at() const { return *m_lost_at; }

 private:
  Duration m_limit;
  RandomHook m_random;
  std::optional<TimePoint> m_lost_at;
  int m_tries = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_LOAD_GEN_RETRY_H_
