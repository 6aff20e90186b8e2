// Timers and messages of the exchange of loads.
#include "load_exchange.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "engine_speeds.h"
#include "load_ledger.h"
#include "load_message.h"
#include "load_view.h"
#include "log_event.h"
#include "metric_registry.h"

namespace bramleybank {
namespace {

constexpr char kQueriesMetric[] = "bramleybank_load_queries_total";

}  // namespace

LoadExchange::LoadExchange(const GatewayMember& self,
                           const LoadLedger* ledger,
                           LoadView* view,
                           EngineSpeeds* speeds,
                           MetricRegistry* metrics,
                           Hooks hooks)
    : m_self(self),
      m_hooks(std::move(hooks)),
      m_ledger(ledger),
      m_view(view),
      m_speeds(speeds),
      m_metrics(metrics),
      m_aggregator(m_hooks.clock),
      m_coordinators(self, m_hooks.clock),
      m_alive(std::make_shared<LoadExchange*>(this)) {}

LoadExchange::~LoadExchange() {
  m_hooks.cancel(m_report_timer);
  m_hooks.cancel(m_totals_timer);
}

void LoadExchange::SetMembers(const std::vector<GatewayMember>& members) {
  m_coordinators.SetMembers(members);
  ScheduleTotals();
}

LoadReport LoadExchange::OwnReport() {
  return {.entries = m_ledger->Entries(),
          .speeds = m_speeds->TakeSamples(),
          .losses = std::exchange(m_own_losses, {})};
}

void LoadExchange::Refresh(std::function<void()> callback) {
  const auto coordinator = m_coordinators.Own();
  if (!coordinator || coordinator->name == m_self.name) {
    m_view->SetOthers(m_aggregator.Totals({}, {}));
    m_metrics->Count(kQueriesMetric, "result", coordinator ? "own" : "unknown");
    callback();
    return;
  }
  m_waiters.push_back(std::move(callback));
  if (m_waiters.size() == 1) {
    SendQuery(*coordinator, /*is_last=*/false);
  }
}

void LoadExchange::Send(const GatewayMember& to,
                        LoadMessageKind kind,
                        LoadReport report,
                        Duration timeout,
                        AnswerCallback callback) {
  const LoadMessage message{
      .sender = m_self.name, .kind = kind, .report = std::move(report)};
  m_hooks.send(to, message, timeout,
               [weak = std::weak_ptr(m_alive), name = to.name, kind,
                losses = message.report.losses, callback = std::move(callback)](
                   const std::optional<LoadReport>& answer) {
                 const auto self = weak.lock();
                 if (!self) {
                   return;
                 }
                 (*self)->OnReply(name, answer.has_value());
                 if (!answer && kind != LoadMessageKind::kDomainTotals) {
                   (*self)->KeepLosses(losses);
                 }
                 if (callback) {
                   callback(answer);
                 }
               });
}

void LoadExchange::SendQuery(const GatewayMember& coordinator, bool is_last) {
  Send(coordinator, LoadMessageKind::kQuery, OwnReport(), kLoadQueryTimeout,
       [this, is_last](const std::optional<LoadReport>& answer) {
         if (answer) {
           OnAnswer(*answer);
           EndQuery("answered");
           return;
         }
         const auto next = m_coordinators.Own();
         if (!is_last && next && !m_coordinators.IsOwn()) {
           SendQuery(*next, /*is_last=*/true);
         } else {
           EndQuery("lost");
         }
       });
}

void LoadExchange::OnAnswer(const LoadReport& answer) {
  m_view->SetOthers(answer.entries);
  for (const EngineSpeed& speed : answer.speeds) {
    m_speeds->OnReported(speed, /*is_estimate=*/true);
  }
  std::ranges::for_each(answer.losses, m_hooks.on_loss);
}

void LoadExchange::EndQuery(const char* result) {
  m_metrics->Count(kQueriesMetric, "result", result);
  for (const auto& waiter : std::exchange(m_waiters, {})) {
    waiter();
  }
}

void LoadExchange::OnReply(const std::string& gateway, bool has_answered) {
  if (has_answered) {
    m_coordinators.OnAnswer(gateway);
    return;
  }
  LogLine(LogEventId::kLoadCoordinatorLost).Field("gateway", gateway);
  m_coordinators.OnFailure(gateway);
}

void LoadExchange::OnOwnLoss(EngineKey engine) {
  if (m_coordinators.IsOwn()) {
    m_aggregator.OnLosses({engine}, /*is_own_domain=*/true);
  } else {
    KeepLosses({engine});
  }
  OnOwnLoadChanged();
}

void LoadExchange::KeepLosses(const std::vector<EngineKey>& engines) {
  for (const EngineKey engine : engines) {
    if (m_own_losses.size() < kMaxLossesPerReport) {
      m_own_losses.push_back(engine);
    }
  }
}

void LoadExchange::OnOwnLoadChanged() {
  const TimePoint next = m_reported_at + kLoadReportInterval;
  const TimePoint now = m_hooks.clock();
  ScheduleReport(next > now ? next - now : Duration{0});
  ScheduleTotals();
}

void LoadExchange::ScheduleReport(Duration delay) {
  m_hooks.cancel(m_report_timer);
  m_report_timer = m_hooks.schedule(delay, [this] { SendReport(); });
}

void LoadExchange::SendReport() {
  m_report_timer = TimerHandle();
  m_reported_at = m_hooks.clock();
  const auto coordinator = m_coordinators.Own();
  if (coordinator && coordinator->name != m_self.name) {
    Send(*coordinator, LoadMessageKind::kReport, OwnReport(),
         kLoadReportTimeout, nullptr);
  }
  if (!m_ledger->empty()) {
    ScheduleReport(kLoadHeartbeatInterval);
  }
}

std::optional<LoadReport> LoadExchange::OnMessage(const LoadMessage& message) {
  const std::string domain = m_coordinators.DomainOf(message.sender);
  if (domain.empty()) {
    return std::nullopt;
  }
  const bool is_totals = message.kind == LoadMessageKind::kDomainTotals;
  if (is_totals == (domain == m_self.failure_domain)) {
    // Lists of gateways differ. The load would count twice.
    return LoadReport{};
  }
  for (const EngineSpeed& speed : message.report.speeds) {
    m_speeds->OnReported(speed, is_totals);
  }
  m_aggregator.OnLosses(message.report.losses, !is_totals);
  std::ranges::for_each(message.report.losses, m_hooks.on_loss);
  if (is_totals) {
    m_aggregator.OnDomainReport(domain, message.report.entries);
    return LoadReport{};
  }
  m_aggregator.OnGatewayReport(message.sender, message.report.entries);
  ScheduleTotals();
  if (message.kind != LoadMessageKind::kQuery) {
    return LoadReport{};
  }
  return LoadReport{
      .entries = m_aggregator.Totals(message.sender, m_ledger->Entries()),
      .speeds = m_speeds->Latest(kMaxSpeedsPerReport),
      .losses = m_aggregator.RecentLosses(/*only_own_domain=*/false)};
}

void LoadExchange::ScheduleTotals() {
  if (!m_totals_timer.is_valid() && m_coordinators.IsOwn()) {
    m_totals_timer =
        m_hooks.schedule(kRegionLoadInterval, [this] { SendTotals(); });
  }
}

void LoadExchange::SendTotals() {
  m_totals_timer = TimerHandle();
  if (!m_coordinators.IsOwn()) {
    return;
  }
  const TimePoint now = m_hooks.clock();
  const auto totals = m_aggregator.DomainTotals(m_ledger->Entries());
  bool is_pending = !totals.empty();
  for (const GatewayMember& other : m_coordinators.Others()) {
    const SentTotals& sent = m_sent_totals[other.failure_domain];
    const Duration interval = m_hooks.is_same_region(other.failure_domain)
                                  ? Duration(kRegionLoadInterval)
                                  : Duration(kRemoteLoadInterval);
    const Duration age = now - sent.sent_at;
    const bool has_changed = sent.entries != totals;
    const bool is_due = has_changed
                            ? age >= interval
                            : !totals.empty() && age >= kLoadHeartbeatInterval;
    if (is_due) {
      SendTotalsTo(other, totals);
    } else {
      is_pending = is_pending || has_changed;
    }
  }
  if (is_pending) {
    ScheduleTotals();
  }
}

void LoadExchange::SendTotalsTo(const GatewayMember& coordinator,
                                const std::vector<EngineLoadEntry>& totals) {
  m_sent_totals[coordinator.failure_domain] = {.entries = totals,
                                               .sent_at = m_hooks.clock()};
  Send(coordinator, LoadMessageKind::kDomainTotals,
       {.entries = totals,
        .speeds = m_speeds->Latest(kMaxSpeedsInTotals),
        .losses = m_aggregator.RecentLosses(/*only_own_domain=*/true)},
       kLoadReportTimeout, nullptr);
}

}  // namespace bramleybank
