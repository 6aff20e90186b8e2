// Row keys: SERVICE holds the decision, SERVICE/GATEWAY one gateway's report.
#include "rollout_controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "log_event.h"
#include "rollout_judge.h"
#include "rollout_records.h"
#include "rollout_tallies.h"

namespace bramleybank {
namespace {

const StoreRow* FindRow(const StoreRows& rows, std::string_view key) {
  const auto it = std::ranges::find(rows.rows, key, &StoreRow::key);
  return it == rows.rows.end() ? nullptr : &*it;
}

}  // namespace

RolloutController::RolloutController(EventLoop* loop,
                                     MetadataStore* store,
                                     const GatewayRows* rows,
                                     std::string name,
                                     Hooks hooks)
    : m_loop(loop),
      m_store(store),
      m_rows(rows),
      m_name(std::move(name)),
      m_hooks(std::move(hooks)) {}

RolloutController::~RolloutController() {
  m_loop->Cancel(m_timer);
  for (auto& [service, rollout] : m_rollouts) {
    m_loop->Cancel(rollout.repeat_timer);
  }
}

void RolloutController::OnOrder(const RolloutOrder& order) {
  const auto it = m_rollouts.find(order.service);
  if (it == m_rollouts.end()) {
    StartRollout(order);
    return;
  }
  using enum RolloutOrderHistory::Relation;
  switch (it->second.history.RelationOf(order)) {
    case kKnown:
      return;
    case kRepeated:
      ContinueRollout(&it->second, order.id);
      return;
    case kFormer:
      it->second.former_order = order;
      KeepUntilRepeated(&it->second, order.id);
      return;
    case kNew:
      StartRollout(order);
  }
}

void RolloutController::StartRollout(const RolloutOrder& order) {
  LogLine(LogEventId::kRolloutOrdered)
      .Field("service", order.service)
      .Field("version", order.version)
      .Field("order", static_cast<long long>(order.id.number))
      .Field(
          "duration_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(order.duration)
              .count());
  RolloutOrderHistory history(order);
  const auto it = m_rollouts.find(order.service);
  if (it != m_rollouts.end()) {
    history = it->second.history;
    history.ReplaceBy(order);
    EraseRollout(order.service);
  }
  m_rollouts.emplace(std::piecewise_construct,
                     std::forward_as_tuple(order.service),
                     std::forward_as_tuple(std::move(history), m_next_serial++,
                                           m_hooks.share, m_hooks.random));
  SchedulePoll(Duration{0});
}

void RolloutController::ContinueRollout(RolloutState* rollout,
                                        const StoreVersion& id) {
  const RolloutOrder& order = rollout->history.order();
  LogLine(LogEventId::kRolloutContinued)
      .Field("service", order.service)
      .Field("version", order.version)
      .Field("order", static_cast<long long>(id.number))
      .Field("era", static_cast<long long>(id.era))
      .Field("earlier_order", static_cast<long long>(order.id.number))
      .Field("stopped", rollout->splitter.is_stopped() ? 1 : 0);
  m_loop->Cancel(rollout->repeat_timer);
  rollout->ContinueAs(id);
  // Spread out, so that the first reader's writes spare the others theirs.
  SchedulePoll(Duration(static_cast<int64_t>(
      UniformFraction(m_hooks.random) *
      static_cast<double>(m_hooks.poll_interval().count()))));
}

void RolloutController::KeepUntilRepeated(RolloutState* rollout,
                                          const StoreVersion& version) {
  const RolloutOrder& order = rollout->history.order();
  LogLine(LogEventId::kRolloutOrderMissing)
      .Field("service", order.service)
      .Field("version", order.version)
      .Field("order", static_cast<long long>(order.id.number))
      .Field("era", static_cast<long long>(version.era));
  m_loop->Cancel(rollout->repeat_timer);
  rollout->repeat_timer = m_loop->Schedule(
      m_hooks.repeat_time,
      [this, service = order.service] { OnNotRepeated(service); });
}

void RolloutController::OnNotRepeated(const std::string& service) {
  const auto it = m_rollouts.find(service);
  if (it == m_rollouts.end()) {
    return;
  }
  LogLine(LogEventId::kRolloutNotRepeated)
      .Field("service", service)
      .Field("version", it->second.history.order().version);
  const auto former_order = it->second.former_order;
  EraseRollout(service);
  if (former_order) {
    StartRollout(*former_order);
  }
}

void RolloutController::OnOrderRemoved(std::string_view service,
                                       const StoreVersion& version) {
  const auto it = m_rollouts.find(service);
  if (it == m_rollouts.end()) {
    return;
  }
  if (version.era > it->second.history.order().id.era) {
    it->second.former_order.reset();
    KeepUntilRepeated(&it->second, version);
    return;
  }
  EraseRollout(service);
}

void RolloutController::EraseRollout(std::string_view service) {
  const auto it = m_rollouts.find(service);
  if (it != m_rollouts.end()) {
    m_loop->Cancel(it->second.repeat_timer);
    m_rollouts.erase(it);
  }
}

RolloutRule RolloutController::RuleForRequest(std::string_view service,
                                              std::string_view route) {
  const auto it = m_rollouts.find(service);
  return it == m_rollouts.end()
             ? RolloutRule{}
             : it->second.splitter.RuleForRequest(route, m_hooks.gateways());
}

RolloutRule RolloutController::RuleForRetry(std::string_view service) const {
  const auto it = m_rollouts.find(service);
  return it == m_rollouts.end() ? RolloutRule{}
                                : it->second.splitter.RuleForRetry();
}

std::optional<RolloutPhase> RolloutController::PhaseOf(
    std::string_view service) const {
  const auto it = m_rollouts.find(service);
  return it == m_rollouts.end() ? std::nullopt : it->second.splitter.phase();
}

void RolloutController::Observe(std::string_view service,
                                std::string_view route,
                                std::string_view version,
                                bool failed,
                                Duration time) {
  const auto it = m_rollouts.find(service);
  if (it == m_rollouts.end() || it->second.is_finished) {
    return;
  }
  it->second.splitter.Observe(route, version, failed, time);
  StopIfBad(&it->second);
}

void RolloutController::StopIfBad(RolloutState* rollout) {
  if (rollout->splitter.is_stopped() || rollout->is_finished ||
      JudgeRollout(rollout->TotalEvidence()) != RolloutVerdict::kBad) {
    return;
  }
  rollout->splitter.Stop();
  LogLine line(LogEventId::kRolloutStopped);
  line.Field("service", rollout->history.order().service)
      .Field("version", rollout->history.order().version);
  AddTallies(rollout->TotalEvidence(), &line);
  // Writes this evidence immediately, so that the other gateways stop too.
  SchedulePoll(Duration{0});
}

void RolloutController::SchedulePoll(Duration delay) {
  m_loop->Cancel(m_timer);
  m_timer = m_loop->Schedule(delay, [this] { Poll(); });
}

void RolloutController::Poll() {
  const bool is_needed = std::ranges::any_of(
      m_rollouts, [](const auto& item) { return !item.second.is_finished; });
  if (!is_needed) {
    return;
  }
  SchedulePoll(m_hooks.poll_interval());
  for (auto& [service, rollout] : m_rollouts) {
    WriteReport(&rollout);
  }
  if (!m_is_reading) {
    m_is_reading = true;
    m_pages = {};
    ReadPage("");
  }
}

void RolloutController::ReadPage(const std::string& after) {
  m_store->Read(kRolloutTable, after,
                WhileAlive([this](const StoreRows& page) { OnPage(page); }));
}

void RolloutController::OnPage(const StoreRows& page) {
  if (page.result != StoreResult::kOk) {
    m_is_reading = false;
    return;
  }
  if (m_pages.result != StoreResult::kOk) {
    m_pages.result = page.result;
    m_pages.version = page.version;
  } else if (page.version.era != m_pages.version.era) {
    // The store was restored between two pages.
    m_is_reading = false;
    return;
  }
  m_pages.rows.insert(m_pages.rows.end(), page.rows.begin(), page.rows.end());
  m_pages.now = page.now;
  if (page.has_more && !page.rows.empty()) {
    ReadPage(page.rows.back().key);
    return;
  }
  m_is_reading = false;
  OnAllRows(m_pages);
}

void RolloutController::OnAllRows(const StoreRows& rows) {
  for (auto& [service, rollout] : m_rollouts) {
    if (rollout.is_finished || !rollout.IsCurrent(rows)) {
      continue;
    }
    rollout.ApplyRows(rows, m_name);
    StopIfBad(&rollout);
    if (!rollout.is_finished && m_hooks.is_reader() &&
        rollout.MayDrive(rows, m_name)) {
      WriteDecision(&rollout, rows.now);
    }
  }
}

void RolloutController::WriteReport(RolloutState* rollout) {
  const RolloutEvidence evidence = rollout->OwnEvidence();
  if (!rollout->has_read_rows || rollout->is_finished ||
      evidence == rollout->written_evidence) {
    return;
  }
  if (!m_hooks.is_reader()) {
    HandOver(rollout);
    return;
  }
  rollout->written_evidence = evidence;
  const RolloutOrder& order = rollout->history.order();
  // A lost report is not retried, because the next one includes its evidence.
  m_store->Write(
      {.table = kRolloutTable,
       .key = order.service + "/" + m_name,
       .value = EncodeReport({.order = RefOf(order), .evidence = evidence}),
       .expected_version = std::nullopt},
      [](StoreResult) {});
}

void RolloutController::HandOver(RolloutState* rollout) {
  // Evidence in this gateway's own row is already counted there.
  RolloutEvidence evidence = rollout->OwnEvidence();
  SubtractEvidence(rollout->written_evidence, &evidence);
  if (rollout->is_handing_over || TotalOf(evidence) == RouteTally{}) {
    return;
  }
  rollout->is_handing_over = true;
  const RolloutOrder& order = rollout->history.order();
  m_hooks.hand_over(
      order.service,
      EncodeReport({.order = RefOf(order), .evidence = evidence}),
      WhileAlive([this, service = order.service, serial = rollout->serial,
                  evidence](const bool& accepted) {
        const auto it = m_rollouts.find(service);
        if (it == m_rollouts.end() || it->second.serial != serial) {
          return;
        }
        it->second.is_handing_over = false;
        if (accepted) {
          AddEvidence(evidence, &it->second.handed_over_evidence);
        }
      }));
}

bool RolloutController::OnEvidence(std::string_view service,
                                   const std::string& text) {
  const auto report = DecodeReport(text);
  const auto it = m_rollouts.find(service);
  if (!report || it == m_rollouts.end() || !m_hooks.is_reader()) {
    return false;
  }
  RolloutState* rollout = &it->second;
  if (!rollout->history.Owns(report->order) || !rollout->has_read_rows ||
      rollout->is_finished) {
    return false;
  }
  rollout->splitter.MergeEvidence(report->evidence);
  StopIfBad(rollout);
  return true;
}

void RolloutController::WriteDecision(RolloutState* rollout, Duration now) {
  RolloutDecision next = rollout->NextDecision(m_name, now);
  next.published = IsFinal(next.phase) && rollout->published_phase &&
                   IsFinal(*rollout->published_phase);
  m_store->Write({.table = kRolloutTable,
                  .key = rollout->history.order().service,
                  .value = EncodeDecision(next),
                  .expected_version = rollout->row_version},
                 WhileAlive([this, service = rollout->history.order().service,
                             next](const StoreResult& result) {
                   OnDecisionWritten(service, next, result);
                 }));
}

void RolloutController::OnDecisionWritten(const std::string& service,
                                          const RolloutDecision& decision,
                                          StoreResult result) {
  RolloutState* rollout = FindRollout(service, decision.order.id);
  if (rollout == nullptr || result != StoreResult::kOk) {
    return;
  }
  if (rollout->is_row_behind) {
    LogLine(LogEventId::kRolloutRewritten)
        .Field("service", service)
        .Field("version", decision.order.version)
        .Field("phase", NameOf(decision.phase))
        .Field("order", static_cast<long long>(decision.order.id.number))
        .Field("era", static_cast<long long>(decision.order.id.era));
  }
  const bool is_published =
      rollout->published_phase &&
      IsFinal(*rollout->published_phase) == IsFinal(decision.phase);
  if (!is_published) {
    PublishStatus(decision, rollout->history.order());
  }
}

void RolloutController::PublishStatus(const RolloutDecision& decision,
                                      const RolloutOrder& order) {
  m_store->Read(m_rows->status_table, "",
                WhileAlive([this, decision, order](const StoreRows& rows) {
                  OnStatusRows(decision, order, rows);
                }));
}

void RolloutController::OnStatusRows(const RolloutDecision& decision,
                                     const RolloutOrder& order,
                                     const StoreRows& rows) {
  // The order's number can be compared with rows of its own era only.
  if (rows.result != StoreResult::kOk || rows.version.era != order.id.era ||
      FindRollout(order.service, order.id) == nullptr) {
    return;
  }
  const std::string key = m_rows->rollout_key_prefix + order.service;
  const StoreRow* row = FindRow(rows, key);
  const auto current = row == nullptr || row->version < order.id
                           ? std::nullopt
                           : m_rows->decode_rollout_status(row->value);
  // Gateways of earlier releases write without a condition on the order, so a
  // row that is newer than the order may be the status of the former one.
  const bool is_final =
      current && IsFinal(current->phase) && current->version == order.version;
  if (is_final) {
    // A final status is never replaced: a driver that was paused may write
    // late.
    ConfirmStatus(order.service, order.id, current->phase);
    return;
  }
  const RolloutStatus status{.version = order.version, .phase = decision.phase};
  m_store->Write(
      {.table = m_rows->status_table,
       .key = key,
       .value = m_rows->encode_rollout_status(status),
       .expected_version = row == nullptr ? StoreVersion() : row->version,
       // Fails once another order has replaced this one, so a status that is
       // newer than its order belongs to it.
       .conditions = {{m_rows->operator_table, key, order.id}}},
      WhileAlive([this, service = order.service, id = order.id,
                  phase = decision.phase](const StoreResult& result) {
        if (result == StoreResult::kOk) {
          ConfirmStatus(service, id, phase);
        }
      }));
}

void RolloutController::ConfirmStatus(const std::string& service,
                                      const StoreVersion& id,
                                      RolloutPhase phase) {
  RolloutState* rollout = FindRollout(service, id);
  if (rollout == nullptr) {
    return;
  }
  LogLine(LogEventId::kRolloutPublished)
      .Field("service", service)
      .Field("version", rollout->history.order().version)
      .Field("phase", NameOf(phase));
  // The phase that was published to the operator applies to this gateway
  // immediately.
  rollout->ApplyPublished(phase);
}

RolloutState* RolloutController::FindRollout(std::string_view service,
                                             const StoreVersion& id) {
  const auto it = m_rollouts.find(service);
  return it == m_rollouts.end() || it->second.history.order().id != id
             ? nullptr
             : &it->second;
}

}  // namespace bramleybank
