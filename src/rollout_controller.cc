// Rows: SERVICE holds the decision, SERVICE/GATEWAY one gateway's report.
#include "rollout_controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "log_event.h"
#include "rollout_judge.h"
#include "rollout_records.h"

namespace bramleybank {
namespace {

/// Adds the answers of both versions on all routes.
void AddTallies(const RolloutEvidence& evidence, LogLine* line) {
  const RouteTally total = TotalOf(evidence);
  line->Field("old_good", static_cast<long long>(total.old_version.good))
      .Field("old_bad", static_cast<long long>(total.old_version.bad))
      .Field("new_good", static_cast<long long>(total.new_version.good))
      .Field("new_bad", static_cast<long long>(total.new_version.bad));
}

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
}

void RolloutController::OnOrder(const RolloutOrder& order) {
  if (FindRollout(order.service, order.id) != nullptr) {
    return;
  }
  LogLine(LogEventId::kRolloutOrdered)
      .Field("service", order.service)
      .Field("version", order.version)
      .Field("order", static_cast<long long>(order.id))
      .Field(
          "duration_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(order.duration)
              .count());
  m_rollouts.erase(order.service);
  m_rollouts.emplace(std::piecewise_construct,
                     std::forward_as_tuple(order.service),
                     std::forward_as_tuple(order, m_hooks));
  SchedulePoll(Duration{0});
}

void RolloutController::OnOrderRemoved(std::string_view service) {
  const auto it = m_rollouts.find(service);
  if (it != m_rollouts.end()) {
    m_rollouts.erase(it);
  }
}

RolloutRule RolloutController::RuleForRequest(std::string_view service,
                                              std::string_view route) {
  const auto it = m_rollouts.find(service);
  return it == m_rollouts.end()
             ? RolloutRule{}
             : it->second.gate.RuleForRequest(route, m_hooks.gateways());
}

RolloutRule RolloutController::RuleForRetry(std::string_view service) const {
  const auto it = m_rollouts.find(service);
  return it == m_rollouts.end() ? RolloutRule{}
                                : it->second.gate.RuleForRetry();
}

std::optional<RolloutPhase> RolloutController::PhaseOf(
    std::string_view service) const {
  const auto it = m_rollouts.find(service);
  return it == m_rollouts.end() ? std::nullopt : it->second.gate.phase();
}

void RolloutController::Observe(std::string_view service,
                                std::string_view route,
                                std::string_view version,
                                bool failed,
                                Duration time) {
  const auto it = m_rollouts.find(service);
  if (it == m_rollouts.end() || it->second.is_over) {
    return;
  }
  it->second.gate.Observe(route, version, failed, time);
  Judge(&it->second);
}

RolloutEvidence RolloutController::Own(const Rollout& rollout) const {
  RolloutEvidence own = rollout.gate.Evidence();
  SubtractEvidence(rollout.handed_over, &own);
  return own;
}

RolloutEvidence RolloutController::Total(const Rollout& rollout) const {
  RolloutEvidence total = Own(rollout);
  AddEvidence(rollout.others, &total);
  return total;
}

void RolloutController::Judge(Rollout* rollout) {
  if (rollout->gate.is_stopped() || rollout->is_over ||
      JudgeRollout(Total(*rollout)) != RolloutVerdict::kBad) {
    return;
  }
  rollout->gate.Stop();
  LogLine line(LogEventId::kRolloutStopped);
  line.Field("service", rollout->gate.order().service)
      .Field("version", rollout->gate.order().version);
  AddTallies(Total(*rollout), &line);
  // The others hear of it at once.
  SchedulePoll(Duration{0});
}

void RolloutController::SchedulePoll(Duration delay) {
  m_loop->Cancel(m_timer);
  m_timer = m_loop->Schedule(delay, [this] { Poll(); });
}

void RolloutController::Poll() {
  const bool is_needed = std::ranges::any_of(
      m_rollouts, [](const auto& item) { return !item.second.is_over; });
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
    if (rollout.is_over) {
      continue;
    }
    TakeRows(&rollout, rows);
    Judge(&rollout);
    if (!rollout.is_over && MayDrive(rollout)) {
      Drive(&rollout, rows.now);
    }
  }
}

void RolloutController::TakeRows(Rollout* rollout, const StoreRows& rows) {
  const RolloutOrder& order = rollout->gate.order();
  const std::string own_key = order.service + "/" + m_name;
  rollout->others.clear();
  for (const StoreRow& row : rows.rows) {
    if (!row.key.starts_with(order.service + "/")) {
      continue;
    }
    const auto report = DecodeReport(row.value);
    if (!report || report->order_id != order.id) {
      continue;
    }
    if (row.key != own_key) {
      AddEvidence(report->evidence, &rollout->others);
    } else if (!rollout->is_read) {
      rollout->gate.SetEarlierEvidence(report->evidence);
      rollout->written = report->evidence;
    }
  }
  rollout->is_read = true;
  TakeDecision(rollout, FindRow(rows, order.service));
}

void RolloutController::TakeDecision(Rollout* rollout, const StoreRow* row) {
  const uint64_t version = row == nullptr ? 0 : row->version;
  rollout->unchanged_reads =
      version == rollout->row_version ? rollout->unchanged_reads + 1 : 0;
  rollout->row_version = version;
  rollout->decision =
      row == nullptr ? std::nullopt : DecodeDecision(row->value);
  if (!rollout->decision ||
      rollout->decision->order_id != rollout->gate.order().id) {
    rollout->decision.reset();
    return;
  }
  const RolloutPhase phase = rollout->decision->phase;
  if (rollout->gate.phase() != phase) {
    LogLine line(LogEventId::kRolloutPhase);
    line.Field("service", rollout->gate.order().service)
        .Field("version", rollout->gate.order().version)
        .Field("phase", NameOf(phase))
        .Field("driver", rollout->decision->driver)
        .Field("row_version", static_cast<long long>(version));
    AddTallies(Total(*rollout), &line);
  }
  rollout->gate.SetPhase(phase);
  rollout->is_over = IsFinal(phase) && rollout->decision->published;
}

void RolloutController::WriteReport(Rollout* rollout) {
  const RolloutEvidence evidence = Own(*rollout);
  if (!rollout->is_read || rollout->is_over || evidence == rollout->written) {
    return;
  }
  if (!m_hooks.is_reader()) {
    HandOver(rollout);
    return;
  }
  rollout->written = evidence;
  const RolloutOrder& order = rollout->gate.order();
  // A report that is lost is followed by the next one, which says more.
  m_store->Write(
      {.table = kRolloutTable,
       .key = order.service + "/" + m_name,
       .value = EncodeReport({.order_id = order.id, .evidence = evidence}),
       .expected_version = std::nullopt},
      [](StoreResult) {});
}

void RolloutController::HandOver(Rollout* rollout) {
  // What is written in a row of this gateway is counted there.
  RolloutEvidence evidence = Own(*rollout);
  SubtractEvidence(rollout->written, &evidence);
  if (rollout->is_handing_over || TotalOf(evidence) == RouteTally{}) {
    return;
  }
  rollout->is_handing_over = true;
  const RolloutOrder& order = rollout->gate.order();
  m_hooks.hand_over(order.service,
                    EncodeReport({.order_id = order.id, .evidence = evidence}),
                    WhileAlive([this, service = order.service, id = order.id,
                                evidence](const bool& taken) {
                      Rollout* found = FindRollout(service, id);
                      if (found == nullptr) {
                        return;
                      }
                      found->is_handing_over = false;
                      if (taken) {
                        AddEvidence(evidence, &found->handed_over);
                      }
                    }));
}

bool RolloutController::OnEvidence(std::string_view service,
                                   const std::string& text) {
  const auto report = DecodeReport(text);
  Rollout* rollout = report ? FindRollout(service, report->order_id) : nullptr;
  if (rollout == nullptr || !rollout->is_read || rollout->is_over ||
      !m_hooks.is_reader()) {
    return false;
  }
  rollout->gate.AddEarlierEvidence(report->evidence);
  Judge(rollout);
  return true;
}

bool RolloutController::MayDrive(const Rollout& rollout) const {
  if (!m_hooks.is_reader()) {
    return false;
  }
  return !rollout.decision || rollout.decision->driver == m_name ||
         rollout.unchanged_reads >= kMaxUnchangedRolloutReads;
}

void RolloutController::Drive(Rollout* rollout, Duration now) {
  const RolloutOrder& order = rollout->gate.order();
  RolloutDecision next = rollout->decision.value_or(
      RolloutDecision{.order_id = order.id, .started = now});
  next.driver = m_name;
  next.phase = NextPhase(next.phase, Total(*rollout), now - next.started,
                         order.duration);
  next.published =
      IsFinal(next.phase) && rollout->published && IsFinal(*rollout->published);
  m_store->Write({.table = kRolloutTable,
                  .key = order.service,
                  .value = EncodeDecision(next),
                  .expected_version = rollout->row_version},
                 WhileAlive([this, service = order.service,
                             next](const StoreResult& result) {
                   OnDriven(service, next, result);
                 }));
}

void RolloutController::OnDriven(const std::string& service,
                                 const RolloutDecision& decision,
                                 StoreResult result) {
  Rollout* rollout = FindRollout(service, decision.order_id);
  if (rollout == nullptr || result != StoreResult::kOk) {
    return;
  }
  const bool is_told = rollout->published &&
                       IsFinal(*rollout->published) == IsFinal(decision.phase);
  if (!is_told) {
    Publish(decision, rollout->gate.order());
  }
}

void RolloutController::Publish(const RolloutDecision& decision,
                                const RolloutOrder& order) {
  m_store->Read(m_rows->status_table, "",
                WhileAlive([this, decision, order](const StoreRows& rows) {
                  OnStatusRows(decision, order, rows);
                }));
}

void RolloutController::OnStatusRows(const RolloutDecision& decision,
                                     const RolloutOrder& order,
                                     const StoreRows& rows) {
  if (rows.result != StoreResult::kOk) {
    return;
  }
  const std::string key = m_rows->rollout_key_prefix + order.service;
  const StoreRow* row = FindRow(rows, key);
  const auto current = row == nullptr || row->version < order.id
                           ? std::nullopt
                           : m_rows->decode_rollout_status(row->value);
  const bool is_final = current && IsFinal(current->phase);
  if (is_final) {
    // Never replaced: a driver that was paused may come late.
    ConfirmStatus(order.service, order.id, current->phase);
    return;
  }
  const RolloutStatus status{.version = order.version, .phase = decision.phase};
  m_store->Write(
      {.table = m_rows->status_table,
       .key = key,
       .value = m_rows->encode_rollout_status(status),
       .expected_version = row == nullptr ? 0 : row->version},
      WhileAlive([this, service = order.service, id = order.id,
                  phase = decision.phase](const StoreResult& result) {
        if (result == StoreResult::kOk) {
          ConfirmStatus(service, id, phase);
        }
      }));
}

void RolloutController::ConfirmStatus(const std::string& service,
                                      uint64_t order_id,
                                      RolloutPhase phase) {
  Rollout* rollout = FindRollout(service, order_id);
  if (rollout == nullptr) {
    return;
  }
  rollout->published = phase;
  LogLine(LogEventId::kRolloutPublished)
      .Field("service", service)
      .Field("version", rollout->gate.order().version)
      .Field("phase", NameOf(phase));
  // What this gateway has told the operator holds here at once.
  rollout->gate.SetPhase(phase);
}

RolloutController::Rollout* RolloutController::FindRollout(
    std::string_view service,
    uint64_t order_id) {
  const auto it = m_rollouts.find(service);
  return it == m_rollouts.end() || it->second.gate.order().id != order_id
             ? nullptr
             : &it->second;
}

}  // namespace bramleybank
