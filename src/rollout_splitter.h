// One gateway's part in one rollout: selects the version for each request and
// counts the answers of both versions.
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

/// Limits the share of requests that go to the new version while it is probed.
/// This needs no messages between gateways: each gateway applies the share to
/// its own requests.
class RolloutSplitter {
 public:
  /// @param version new version of the service.
  RolloutSplitter(std::string version, RolloutShare share, RandomHook random);

  /// Counts a new request. @returns the rule for its first attempt.
  RolloutRule RuleForRequest(std::string_view route, size_t gateway_count);
  /// @returns the rule for a retry, and for the endpoint that holds a copy of a
  /// run.
  RolloutRule RuleForRetry() const;

  /// Counts an answer, or a lost answer, as evidence.
  /// @param time since the start of the attempt.
  void Observe(std::string_view route,
               std::string_view version,
               bool failed,
               Duration time);

  /// @returns this gateway's own evidence, including that from before a restart
  /// and that handed over by other gateways.
  RolloutEvidence Evidence() const;
  /// Sets the evidence that this gateway had written before a restart.
  void RestoreEvidence(RolloutEvidence evidence);
  /// Adds evidence that another gateway has handed over.
  void MergeEvidence(const RolloutEvidence& evidence);

  /// Applies the phase of the shared decision. An earlier phase than the known
  /// one changes nothing.
  void SetPhase(RolloutPhase phase);
  /// Stops sending requests to the new version, unless the rollout is completed
  /// later.
  void Stop() { m_is_stopped = true; }

  std::optional<RolloutPhase> phase() const { return m_phase; }
  bool is_stopped() const { return m_is_stopped; }

 private:
  /// Number of the old version's answers on a route, and the sum of their
  /// times.
  struct BaselineTime {
    int64_t answers = 0;
    Duration sum{0};
  };

  bool TakeProbeCredit(std::string_view route, size_t gateway_count);
  bool IsSlow(std::string_view route, Duration time) const;

  const std::string m_version;
  const RolloutShare m_share;
  const RandomHook m_random;
  // Empty until the decision has been read; until then the old version serves.
  std::optional<RolloutPhase> m_phase;
  bool m_is_stopped = false;
  // Number of requests that may go to the new version, by route. Each request
  // adds the share.
  std::map<std::string, double, std::less<>> m_credit;
  std::map<std::string, BaselineTime, std::less<>> m_baseline_times;
  RolloutEvidence m_own_evidence;
  // From before a restart, and from other gateways.
  RolloutEvidence m_base_evidence;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_SPLITTER_H_
