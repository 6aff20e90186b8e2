// Carries out rollouts together with the other gateways, which coordinate
// through rows of the platform's store.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_CONTROLLER_H_
#define BRAMLEYBANK_SRC_ROLLOUT_CONTROLLER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bramleybank/handle.h"
#include "bramleybank/limits.h"
#include "gateway_rows.h"
#include "hooks.h"
#include "metadata_store.h"
#include "rollout_state.h"

namespace bramleybank {

class EventLoop;

/// Carries out the rollout orders at one gateway.
///
/// A gateway that reads the store writes a report of its own evidence and of
/// the evidence that others have handed over to it, so the number of rows grows
/// with the failure domains and not with the gateways. Each gateway reads these
/// rows and stops sending requests to a version as soon as the total evidence
/// is against it. One of the readers, the driver, also writes the decision,
/// with a conditional write on its row. A driver whose row no longer changes is
/// replaced by another reader. While no rollout runs, nothing is read or
/// written.
///
/// After the store was restored from an older copy, rollouts go on where they
/// were: gateways read the rows again, spread over an interval, and a reader
/// that knows more than the rows writes them again.
class RolloutController {
 public:
  struct Hooks {
    RandomHook random;
    /// Number of gateways that share a budget.
    std::function<size_t()> gateways;
    /// Time between two exchanges of evidence.
    std::function<Duration()> poll_interval;
    /// Limits of the requests to a version that is probed.
    RolloutShare share;
    /// Whether this gateway reads and writes the rows of rollouts itself.
    std::function<bool()> is_reader;
    /// Hands over a report of new evidence to a gateway that reads and writes
    /// these rows. The callback gets whether the report was accepted.
    std::function<void(const std::string& service,
                       const std::string& report,
                       std::function<void(bool accepted)> callback)>
        hand_over;
    /// Longest time for which a rollout is kept whose order is missing in a
    /// restored store.
    Duration repeat_time = kRolloutRepeatTime;
  };

  /// @param name unique name of this gateway.
  RolloutController(EventLoop* loop,
                    MetadataStore* store,
                    const GatewayRows* rows,
                    std::string name,
                    Hooks hooks);
  ~RolloutController();
  RolloutController(const RolloutController&) = delete;
  RolloutController& operator=(const RolloutController&) = delete;

  /// Starts the rollout of an operator's order. A known order changes nothing,
  /// and one that is repeated after a restore of the store continues.
  void OnOrder(const RolloutOrder& order);
  /// Takes over evidence from another gateway.
  /// @returns whether it was accepted.
  bool OnEvidence(std::string_view service, const std::string& report);
  /// Drops the rollout of a service whose order has been removed. If the order
  /// is only missing in a restored store, its rollout is kept for a while.
  /// @param version of the removal.
  void OnOrderRemoved(std::string_view service, const StoreVersion& version);

  /// @returns the rule for the first attempt of a request.
  RolloutRule RuleForRequest(std::string_view service, std::string_view route);
  /// @returns the rule for a retry, and for the endpoint that holds a copy of a
  /// run.
  RolloutRule RuleForRetry(std::string_view service) const;
  /// Counts an answer, or a lost answer, as evidence.
  void Observe(std::string_view service,
               std::string_view route,
               std::string_view version,
               bool failed,
               Duration time);

  /// @returns the phase of a service's rollout, or nothing before it is known.
  std::optional<RolloutPhase> PhaseOf(std::string_view service) const;

 private:
  void StartRollout(const RolloutOrder& order);
  void ContinueRollout(RolloutState* rollout, const StoreVersion& id);
  void KeepUntilRepeated(RolloutState* rollout, const StoreVersion& version);
  void OnNotRepeated(const std::string& service);
  void EraseRollout(std::string_view service);
  void SchedulePoll(Duration delay);
  void Poll();
  void ReadPage(const std::string& after);
  void OnPage(const StoreRows& page);
  void OnAllRows(const StoreRows& rows);
  void StopIfBad(RolloutState* rollout);
  void WriteReport(RolloutState* rollout);
  void HandOver(RolloutState* rollout);
  void WriteDecision(RolloutState* rollout, Duration now);
  void OnDecisionWritten(const std::string& service,
                         const RolloutDecision& decision,
                         StoreResult result);
  void PublishStatus(const RolloutDecision& decision,
                     const RolloutOrder& order);
  void OnStatusRows(const RolloutDecision& decision,
                    const RolloutOrder& order,
                    const StoreRows& rows);
  void ConfirmStatus(const std::string& service,
                     const StoreVersion& id,
                     RolloutPhase phase);

  RolloutState* FindRollout(std::string_view service, const StoreVersion& id);

  /// Wraps `function` so that it is not called after this object is destroyed.
  template <typename Function>
  auto WhileAlive(Function function) {
    return [weak = std::weak_ptr(m_alive),
            function = std::move(function)](const auto& value) {
      if (!weak.expired()) {
        function(value);
      }
    };
  }

  EventLoop* m_loop;
  MetadataStore* m_store;
  const GatewayRows* m_rows;
  const std::string m_name;
  const Hooks m_hooks;
  // By service.
  std::map<std::string, RolloutState, std::less<>> m_rollouts;
  // Rows of the pages that the current read has returned so far.
  StoreRows m_pages;
  uint64_t m_next_serial = 1;
  TimerHandle m_timer;
  bool m_is_reading = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_CONTROLLER_H_
