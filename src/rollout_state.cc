// Merges the rows of a rollout with what this gateway knows.
#include "rollout_state.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "log_event.h"
#include "rollout_judge.h"
#include "rollout_records.h"
#include "rollout_tallies.h"

namespace bramleybank {
namespace {

int64_t AnswersIn(const RolloutEvidence& evidence) {
  const RouteTally total = TotalOf(evidence);
  return total.old_version.total() + total.new_version.total();
}

}  // namespace

RolloutState::RolloutState(RolloutOrderHistory order_history,
                           uint64_t serial_number,
                           RolloutShare share,
                           RandomHook random)
    : history(std::move(order_history)),
      splitter(history.order().version, share, std::move(random)),
      serial(serial_number) {}

RolloutEvidence RolloutState::OwnEvidence() const {
  RolloutEvidence own_evidence = splitter.Evidence();
  SubtractEvidence(handed_over_evidence, &own_evidence);
  return own_evidence;
}

RolloutEvidence RolloutState::TotalEvidence() const {
  RolloutEvidence total_evidence = OwnEvidence();
  AddEvidence(m_other_evidence, &total_evidence);
  return total_evidence;
}

bool RolloutState::IsCurrent(const StoreRows& rows) const {
  return rows.version.era >= std::max(m_read_era, history.order().id.era);
}

void RolloutState::ApplyRows(const StoreRows& rows,
                             const std::string& own_name) {
  const auto found =
      std::ranges::find(rows.rows, history.order().service, &StoreRow::key);
  const StoreRow* row = found == rows.rows.end() ? nullptr : &*found;
  const auto read = row == nullptr ? std::nullopt : DecodeDecision(row->value);
  if (read && history.Owns(read->order)) {
    history.LearnFrom(*read);
  }
  ApplyReports(rows, own_name);
  ApplyDecision(row, read);
}

void RolloutState::ApplyReports(const StoreRows& rows,
                                const std::string& own_name) {
  const std::string prefix = history.order().service + "/";
  RolloutEvidence own_report;
  for (const StoreRow& row : rows.rows) {
    if (!row.key.starts_with(prefix)) {
      continue;
    }
    const auto report = DecodeReport(row.value);
    if (!report || !history.Owns(report->order)) {
      continue;
    }
    if (row.key == prefix + own_name) {
      own_report = report->evidence;
      continue;
    }
    RolloutEvidence& known = m_other_reports[row.key];
    if (AnswersIn(report->evidence) >= AnswersIn(known)) {
      known = report->evidence;
    }
  }
  m_other_evidence.clear();
  for (const auto& [key, evidence] : m_other_reports) {
    AddEvidence(evidence, &m_other_evidence);
  }
  if (!has_read_rows) {
    splitter.RestoreEvidence(own_report);
  }
  if (!has_read_rows || m_read_era != rows.version.era) {
    // What the row has lost is written or handed over again.
    written_evidence = own_report;
  }
  has_read_rows = true;
  m_read_era = rows.version.era;
}

void RolloutState::ApplyDecision(const StoreRow* row,
                                 const std::optional<RolloutDecision>& read) {
  const StoreVersion version = row == nullptr ? StoreVersion() : row->version;
  unchanged_reads = version == row_version ? unchanged_reads + 1 : 0;
  row_version = version;
  const RolloutOrder& order = history.order();
  const bool is_owned = read && history.Owns(read->order);
  m_is_superseded = read && !is_owned && read->order.id > order.id;
  if (is_owned) {
    if (!decision && read->order.id.era < order.id.era) {
      m_reads_after_restore = 0;
    }
    MergeDecision(*read);
  }
  if (m_reads_after_restore) {
    ++*m_reads_after_restore;
  }
  if (!decision) {
    return;
  }
  is_row_behind = !is_owned || read->order.id != order.id ||
                  read->phase != decision->phase ||
                  read->started != decision->started;
  if (splitter.phase() != decision->phase) {
    LogLine line(LogEventId::kRolloutPhase);
    line.Field("service", order.service)
        .Field("version", order.version)
        .Field("phase", NameOf(decision->phase))
        .Field("driver", decision->driver)
        .Field("row_version", static_cast<long long>(version.number));
    AddTallies(TotalEvidence(), &line);
  }
  splitter.SetPhase(decision->phase);
  is_finished =
      IsFinal(decision->phase) && decision->published && !is_row_behind;
}

void RolloutState::MergeDecision(const RolloutDecision& read) {
  if (!decision) {
    decision = read;
    return;
  }
  const Duration started = std::min(decision->started, read.started);
  if (read.phase >= decision->phase) {
    decision = read;
  }
  decision->started = started;
}

void RolloutState::ContinueAs(const StoreVersion& id) {
  history.ContinueAs(id);
  is_finished = false;
  published_phase.reset();
  former_order.reset();
  m_reads_after_restore = 0;
}

void RolloutState::ApplyPublished(RolloutPhase phase) {
  published_phase = phase;
  splitter.SetPhase(phase);
  if (decision && phase > decision->phase) {
    decision->phase = phase;
  }
}

bool RolloutState::MayDrive(const StoreRows& rows,
                            std::string_view own_name) const {
  // While a restored store lacks the order, there is no id to write.
  if (m_is_superseded || history.order().id.era != rows.version.era) {
    return false;
  }
  return !decision || is_row_behind || decision->driver == own_name ||
         unchanged_reads >= kMaxUnchangedRolloutReads;
}

RolloutDecision RolloutState::NextDecision(const std::string& own_name,
                                           Duration now) const {
  RolloutDecision next = decision.value_or(RolloutDecision{.started = now});
  next.order = RefOf(history.order());
  next.earlier_ids = history.earlier_ids();
  next.driver = own_name;
  const RolloutEvidence evidence = TotalEvidence();
  const bool is_held = m_reads_after_restore &&
                       *m_reads_after_restore <= kRolloutReadsAfterRestore;
  if (!is_held || JudgeRollout(evidence) == RolloutVerdict::kBad) {
    next.phase = NextPhase(next.phase, evidence, now - next.started,
                           history.order().duration);
  }
  return next;
}

}  // namespace bramleybank
