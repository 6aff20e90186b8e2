// Sends and receives the loads of engines.
#ifndef BRAMLEYBANK_SRC_LOAD_EXCHANGE_H_
#define BRAMLEYBANK_SRC_LOAD_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bramleybank/handle.h"
#include "gateway_member.h"
#include "hooks.h"
#include "load_aggregator.h"
#include "load_coordinators.h"

namespace bramleybank {

class EngineSpeeds;
class LoadLedger;
class LoadView;
class MetricRegistry;
enum class LoadMessageKind : uint8_t;
struct LoadMessage;

/// A gateway asks its coordinator for the load of all engines when it places a
/// stream, and reports when its own load changes. So messages follow streams,
/// engines are not asked, and within a failure domain each choice takes the
/// ones before it into account.
class LoadExchange {
 public:
  struct Hooks {
    ClockHook clock;
    /// Runs `callback` once after `delay`.
    std::function<TimerHandle(Duration delay, std::function<void()> callback)>
        schedule;
    /// Cancels a timer; ignores one that is not valid.
    std::function<void(TimerHandle timer)> cancel;
    /// Sends a message. The callback gets nothing without an answer.
    std::function<void(
        const GatewayMember& to,
        const LoadMessage& message,
        Duration timeout,
        std::function<void(const std::optional<LoadReport>&)> callback)>
        send;
    /// Another gateway has lost an engine within kLossReportAge. May be called
    /// again for the same loss.
    std::function<void(EngineKey engine)> on_loss;
    /// @returns whether a failure domain is in the region of this gateway.
    std::function<bool(const std::string& domain)> is_same_region;
  };

  /// @param ledger, view, speeds, metrics outlive this object.
  LoadExchange(const GatewayMember& self,
               const LoadLedger* ledger,
               LoadView* view,
               EngineSpeeds* speeds,
               MetricRegistry* metrics,
               Hooks hooks);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  void SetMembers(const std::vector<GatewayMember>& members);
  /// Brings the view up to date.
  /// @param callback runs once, inside this call or within kLoadQueryTimeout of
  /// each coordinator of this domain.
  void Refresh(std::function<void()> callback);
  /// The own load has changed.
  void OnOwnLoadChanged();
  /// This gateway has lost an engine.
  void OnOwnLoss(EngineKey engine);
  /// Another gateway has sent a message.
  /// @returns the answer; empty if the sender is not known.
  std::optional<LoadReport> OnMessage(const LoadMessage& message);

 private:
  /// The last totals that were sent to another failure domain.
  struct SentTotals {
    std::vector<EngineLoadEntry> entries;
    TimePoint sent_at;
  };

  using AnswerCallback =
      std::function<void(const std::optional<LoadReport>& answer)>;

  LoadReport OwnReport();
  /// Sends a message and records whether it was answered.
  /// @param callback may be null.
  void Send(const GatewayMember& to,
            LoadMessageKind kind,
            LoadReport report,
            Duration timeout,
            AnswerCallback callback);
  /// Losses that are still to be reported.
  void KeepLosses(const std::vector<EngineKey>& engines);
  /// @param is_last whether no other gateway is asked without an answer.
  void SendQuery(const GatewayMember& coordinator, bool is_last);
  void OnAnswer(const LoadReport& answer);
  /// Runs the callbacks of the query that has ended.
  void EndQuery(const char* result);
  void SendReport();
  void ScheduleReport(Duration delay);
  void ScheduleTotals();
  void SendTotals();
  void SendTotalsTo(const GatewayMember& coordinator,
                    const std::vector<EngineLoadEntry>& totals);
  /// Records whether a gateway has answered.
  void OnReply(const std::string& gateway, bool has_answered);

  const GatewayMember m_self;
  const Hooks m_hooks;
  const LoadLedger* m_ledger;
  LoadView* m_view;
  EngineSpeeds* m_speeds;
  MetricRegistry* m_metrics;
  LoadAggregator m_aggregator;
  LoadCoordinators m_coordinators;
  // Since the last report.
  std::vector<EngineKey> m_own_losses;
  // Callers of Refresh() that wait for the query in flight, if there is one.
  std::vector<std::function<void()>> m_waiters;
  TimePoint m_reported_at;
  TimerHandle m_report_timer;
  TimerHandle m_totals_timer;
  // By failure domain.
  std::map<std::string, SentTotals, std::less<>> m_sent_totals;
  // Answers may arrive after this object is destroyed.
  std::shared_ptr<LoadExchange*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LOAD_EXCHANGE_H_
