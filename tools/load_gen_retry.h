// Target and delay of retried requests.
#ifndef BRAMLEYBANK_TOOLS_LOAD_GEN_RETRY_H_
#define BRAMLEYBANK_TOOLS_LOAD_GEN_RETRY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// Round-robin choice of addresses, as by a load balancer.
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

/// Delays between attempts after a lost connection: no delay before the first
/// one, then exponential backoff with full jitter.
class RetryBackoff {
 public:
  /// @param limit time after the first loss within which attempts may start.
  RetryBackoff(Duration limit, RandomHook random);

  /// Reports a loss or a failed attempt.
  /// @returns the delay before the next attempt, or nothing after the limit.
  std::optional<Duration> NextDelay(TimePoint now);
  /// Reports progress. The next loss starts again without delay and with the
  /// full limit.
  void Reset();

  bool is_active() const { return m_first_loss.has_value(); }
  /// Time of the first loss since the last progress. Requires is_active().
  TimePoint first_loss() const { return *m_first_loss; }

 private:
  Duration m_limit;
  RandomHook m_random;
  std::optional<TimePoint> m_first_loss;
  int m_attempts = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_LOAD_GEN_RETRY_H_
