// One gateway's part in one rollout: which version a request goes to, and what
// both versions answered.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_SPLITTER_H_
#define BRAMLEYBANK_SRC_ROLLOUT_SPLITTER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hooks.h"
#include "rollout_order.h"
#include "rollout_rule.h"
#include "rollout_share.h"

namespace bramleybank {

/// Holds the share of the new version while it is probed, without a word from
/// the others: each gateway keeps the share of its own requests.
class RolloutSplitter {
 public:
  RolloutSplitter(RolloutOrder order, RolloutShare share, RandomHook random);

  /// A request arrives. @returns the rule for its first attempt.
  RolloutRule RuleForRequest(std::string_view route, size_t gateways);
  /// @returns the rule for another attempt, and for a copy of its run.
  RolloutRule RuleForRetry() const;

  /// An answer, or the loss of one.
  /// @param time from the start of the attempt.
  void Observe(std::string_view route,
               std::string_view version,
               bool failed,
               Duration time);

  /// What this gateway has seen, with what it had seen before a restart.
  RolloutEvidence Evidence() const;
  /// Evidence that this gateway had written before a restart.
  void SetEarlierEvidence(RolloutEvidence evidence);
  /// Evidence that another gateway has handed over.
  void AddEarlierEvidence(const RolloutEvidence& evidence);

  /// The decision of all gateways.
  void SetPhase(RolloutPhase phase);
  /// Sends no more requests to the new version until a decision comes.
  void Stop() { m_is_stopped = true; }

  const RolloutOrder& order() const { return m_order; }
  std::optional<RolloutPhase> phase() const { return m_phase; }
  bool is_stopped() const { return m_is_stopped; }

 private:
  /// Time that the old version takes on a route.
  struct UsualTime {
    int64_t answers = 0;
    Duration sum{0};
  };

  bool TakeShare(std::string_view route, size_t gateways);
  bool IsSlow(std::string_view route, Duration time) const;

  const RolloutOrder m_order;
  const RolloutShare m_share;
  const RandomHook m_random;
  // Unknown until the decision has been read; then the old version serves.
  std::optional<RolloutPhase> m_phase;
  bool m_is_stopped = false;
  // Requests that may go to the new version, by route; grows by the share with
  // each request.
  std::map<std::string, double, std::less<>> m_credit;
  std::map<std::string, UsualTime, std::less<>> m_usual_times;
  RolloutEvidence m_own;
  RolloutEvidence m_earlier;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_SPLITTER_H_
