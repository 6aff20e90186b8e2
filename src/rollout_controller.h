// Carries out rollouts together with the other gateways, through rows of the
// platform's store.
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
#include "gateway_rows.h"
#include "hooks.h"
#include "metadata_store.h"
#include "rollout_splitter.h"

namespace bramleybank {

class EventLoop;

/// Follows the orders of one gateway.
///
/// A gateway that reads the store writes what it has seen together with what
/// others have handed over to it, so that rows grow with the failure domains.
/// Each gateway reads these rows and stops by itself as soon as the sum speaks
/// against a version. One of the readers, the driver, also writes the decision,
/// under a condition on its row. A driver whose row no longer changes is
/// replaced. While no rollout runs, nothing is read or written.
class RolloutController {
 public:
  struct Hooks {
    RandomHook random;
    /// How many gateways share a budget.
    std::function<size_t()> gateways;
    /// Time between two exchanges of evidence.
    std::function<Duration()> poll_interval;
    /// What a version may get while it is probed.
    RolloutShare share;
    /// Whether this gateway reads and writes the rows of rollouts itself.
    std::function<bool()> is_reader;
    /// Hands a report of new evidence to a gateway that does; the callback
    /// gets whether it was taken.
    std::function<void(const std::string& service,
                       const std::string& report,
                       std::function<void(bool taken)> callback)>
        hand_over;
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

  /// An operator's order has been read; one that is known changes nothing.
  void OnOrder(const RolloutOrder& order);
  /// Another gateway hands over evidence.
  /// @returns whether it was taken.
  bool OnEvidence(std::string_view service, const std::string& report);
  /// The order for this service is gone.
  void OnOrderRemoved(std::string_view service);

  /// @returns the versions for the first attempt of a request.
  RolloutRule RuleForRequest(std::string_view service, std::string_view route);
  /// @returns the versions for another attempt, and for a copy of its run.
  RolloutRule RuleForRetry(std::string_view service) const;
  /// Takes an answer, or the loss of one, into account.
  void Observe(std::string_view service,
               std::string_view route,
               std::string_view version,
               bool failed,
               Duration time);

  /// @returns the phase of a service's rollout, or nothing before one is known.
  std::optional<RolloutPhase> PhaseOf(std::string_view service) const;

 private:
  /// One service's rollout.
  struct Rollout {
    Rollout(const RolloutOrder& order, const Hooks& hooks)
        : gate(order, hooks.share, hooks.random) {}

    RolloutSplitter gate;
    // Decision as read last, and the version of its row (0 without a row).
    std::optional<RolloutDecision> decision;
    uint64_t row_version = 0;
    int unchanged_reads = 0;
    // Sum of what the other gateways have seen.
    RolloutEvidence others;
    // Set once this gateway's earlier report could have been read.
    bool is_read = false;
    RolloutEvidence written;
    // Part of this gateway's evidence that another one has taken over.
    RolloutEvidence handed_over;
    bool is_handing_over = false;
    // The operator's status as far as this gateway has confirmed it.
    std::optional<RolloutPhase> published;
    bool is_over = false;
  };

  void SchedulePoll(Duration delay);
  void Poll();
  void ReadPage(const std::string& after);
  void OnPage(const StoreRows& page);
  void OnAllRows(const StoreRows& rows);
  void TakeRows(Rollout* rollout, const StoreRows& rows);
  void TakeDecision(Rollout* rollout, const StoreRow* row);
  void Judge(Rollout* rollout);
  void WriteReport(Rollout* rollout);
  void HandOver(Rollout* rollout);
  bool MayDrive(const Rollout& rollout) const;
  void Drive(Rollout* rollout, Duration now);
  void OnDriven(const std::string& service,
                const RolloutDecision& decision,
                StoreResult result);
  void Publish(const RolloutDecision& decision, const RolloutOrder& order);
  void OnStatusRows(const RolloutDecision& decision,
                    const RolloutOrder& order,
                    const StoreRows& rows);
  void ConfirmStatus(const std::string& service,
                     uint64_t order_id,
                     RolloutPhase phase);

  Rollout* FindRollout(std::string_view service, uint64_t order_id);
  RolloutEvidence Own(const Rollout& rollout) const;
  RolloutEvidence Total(const Rollout& rollout) const;

  /// Calls `function` unless this object is gone by then.
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
  std::map<std::string, Rollout, std::less<>> m_rollouts;
  // Rows of the pages that a read has brought so far.
  StoreRows m_pages;
  TimerHandle m_timer;
  bool m_is_reading = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_CONTROLLER_H_
