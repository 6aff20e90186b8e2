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

namespace bramleybank {
namespace {

/// Adds the answer counts of both versions, summed over all routes.
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

RolloutEvidence RolloutController::OwnEvidence(const Rollout& rollout) const {
  RolloutEvidence own_evidence = rollout.splitter.Evidence();
  SubtractEvidence(rollout.handed_over_evidence, &own_evidence);
  return own_evidence;
}

RolloutEvidence RolloutController::TotalEvidence(const Rollout& rollout) const {
  RolloutEvidence total_evidence = OwnEvidence(rollout);
  AddEvidence(rollout.other_evidence, &total_evidence);
  return total_evidence;
}

void RolloutController::StopIfBad(Rollout* rollout) {
  if (rollout->splitter.is_stopped() || rollout->is_finished ||
      JudgeRollout(TotalEvidence(*rollout)) != RolloutVerdict::kBad) {
    return;
  }
  rollout->splitter.Stop();
  LogLine line(LogEventId::kRolloutStopped);
  line.Field("service", rollout->splitter.order().service)
      .Field("version", rollout->splitter.order().version);
  AddTallies(TotalEvidence(*rollout), &line);
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
    if (rollout.is_finished) {
      continue;
    }
    ApplyRows(&rollout, rows);
    StopIfBad(&rollout);
    if (!rollout.is_finished && MayDrive(rollout)) {
      WriteDecision(&rollout, rows.now);
    }
  }
}

void RolloutController::ApplyRows(Rollout* rollout, const StoreRows& rows) {
  const RolloutOrder& order = rollout->splitter.order();
  const std::string own_key = order.service + "/" + m_name;
  rollout->other_evidence.clear();
  for (const StoreRow& row : rows.rows) {
    if (!row.key.starts_with(order.service + "/")) {
      continue;
    }
    const auto report = DecodeReport(row.value);
    if (!report || report->order_id != order.id) {
      continue;
    }
    if (row.key != own_key) {
      AddEvidence(report->evidence, &rollout->other_evidence);
    } else if (!rollout->has_read_rows) {
      rollout->splitter.RestoreEvidence(report->evidence);
      rollout->written_evidence = report->evidence;
    }
  }
  rollout->has_read_rows = true;
  ApplyDecision(rollout, FindRow(rows, order.service));
}

void RolloutController::ApplyDecision(Rollout* rollout, const StoreRow* row) {
  const StoreVersion version = row == nullptr ? StoreVersion() : row->version;
  rollout->unchanged_reads =
      version == rollout->row_version ? rollout->unchanged_reads + 1 : 0;
  rollout->row_version = version;
  rollout->decision =
      row == nullptr ? std::nullopt : DecodeDecision(row->value);
  if (!rollout->decision ||
      rollout->decision->order_id != rollout->splitter.order().id) {
    rollout->decision.reset();
    return;
  }
  const RolloutPhase phase = rollout->decision->phase;
  if (rollout->splitter.phase() != phase) {
    LogLine line(LogEventId::kRolloutPhase);
    line.Field("service", rollout->splitter.order().service)
        .Field("version", rollout->splitter.order().version)
        .Field("phase", NameOf(phase))
        .Field("driver", rollout->decision->driver)
        .Field("row_version", static_cast<long long>(version.number));
    AddTallies(TotalEvidence(*rollout), &line);
  }
  rollout->splitter.SetPhase(phase);
  rollout->is_finished = IsFinal(phase) && rollout->decision->published;
}

void RolloutController::WriteReport(Rollout* rollout) {
  const RolloutEvidence evidence = OwnEvidence(*rollout);
  if (!rollout->has_read_rows || rollout->is_finished ||
      evidence == rollout->written_evidence) {
    return;
  }
  if (!m_hooks.is_reader()) {
    HandOver(rollout);
    return;
  }
  rollout->written_evidence = evidence;
  const RolloutOrder& order = rollout->splitter.order();
  // A lost report is not retried, because the next one includes its evidence.
  m_store->Write(
      {.table = kRolloutTable,
       .key = order.service + "/" + m_name,
       .value = EncodeReport({.order_id = order.id, .evidence = evidence}),
       .expected_version = std::nullopt},
      [](StoreResult) {});
}

void RolloutController::HandOver(Rollout* rollout) {
  // Evidence in this gateway's own row is already counted there.
  RolloutEvidence evidence = OwnEvidence(*rollout);
  SubtractEvidence(rollout->written_evidence, &evidence);
  if (rollout->is_handing_over || TotalOf(evidence) == RouteTally{}) {
    return;
  }
  rollout->is_handing_over = true;
  const RolloutOrder& order = rollout->splitter.order();
  m_hooks.hand_over(order.service,
                    EncodeReport({.order_id = order.id, .evidence = evidence}),
                    WhileAlive([this, service = order.service, id = order.id,
                                evidence](const bool& accepted) {
                      Rollout* found = FindRollout(service, id);
                      if (found == nullptr) {
                        return;
                      }
                      found->is_handing_over = false;
                      if (accepted) {
                        AddEvidence(evidence, &found->handed_over_evidence);
                      }
                    }));
}

bool RolloutController::OnEvidence(std::string_view service,
                                   const std::string& text) {
  const auto report = DecodeReport(text);
  Rollout* rollout = report ? FindRollout(service, report->order_id) : nullptr;
  if (rollout == nullptr || !rollout->has_read_rows || rollout->is_finished ||
      !m_hooks.is_reader()) {
    return false;
  }
  rollout->splitter.MergeEvidence(report->evidence);
  StopIfBad(rollout);
  return true;
}

bool RolloutController::MayDrive(const Rollout& rollout) const {
  if (!m_hooks.is_reader()) {
    return false;
  }
  return !rollout.decision || rollout.decision->driver == m_name ||
         rollout.unchanged_reads >= kMaxUnchangedRolloutReads;
}

void RolloutController::WriteDecision(Rollout* rollout, Duration now) {
  const RolloutOrder& order = rollout->splitter.order();
  RolloutDecision next = rollout->decision.value_or(
      RolloutDecision{.order_id = order.id, .started = now});
  next.driver = m_name;
  next.phase = NextPhase(next.phase, TotalEvidence(*rollout),
                         now - next.started, order.duration);
  next.published = IsFinal(next.phase) && rollout->published_phase &&
                   IsFinal(*rollout->published_phase);
  m_store->Write({.table = kRolloutTable,
                  .key = order.service,
                  .value = EncodeDecision(next),
                  .expected_version = rollout->row_version},
                 WhileAlive([this, service = order.service,
                             next](const StoreResult& result) {
                   OnDecisionWritten(service, next, result);
                 }));
}

void RolloutController::OnDecisionWritten(const std::string& service,
                                          const RolloutDecision& decision,
                                          StoreResult result) {
  Rollout* rollout = FindRollout(service, decision.order_id);
  if (rollout == nullptr || result != StoreResult::kOk) {
    return;
  }
  const bool is_published =
      rollout->published_phase &&
      IsFinal(*rollout->published_phase) == IsFinal(decision.phase);
  if (!is_published) {
    PublishStatus(decision, rollout->splitter.order());
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
       .expected_version = row == nullptr ? StoreVersion() : row->version},
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
  rollout->published_phase = phase;
  LogLine(LogEventId::kRolloutPublished)
      .Field("service", service)
      .Field("version", rollout->splitter.order().version)
      .Field("phase", NameOf(phase));
  // The phase that was published to the operator applies to this gateway
  // immediately.
  rollout->splitter.SetPhase(phase);
}

RolloutController::Rollout* RolloutController::FindRollout(
    std::string_view service,
    uint64_t order_id) {
  const auto it = m_rollouts.find(service);
  return it == m_rollouts.end() || it->second.splitter.order().id != order_id
             ? nullptr
             : &it->second;
}

}  // namespace bramleybank
