// One service's rollout as one gateway knows it, from the rows of the store and
// from its own requests.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_STATE_H_
#define BRAMLEYBANK_SRC_ROLLOUT_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "metadata_store.h"
#include "rollout_order_history.h"
#include "rollout_splitter.h"

namespace bramleybank {

/// State of one rollout. What has been read or decided is never taken back by
/// older rows, which come back when the store is restored: phases only advance,
/// and of two reports of a gateway the one with more answers counts.
struct RolloutState {
  RolloutState(RolloutOrderHistory order_history,
               uint64_t serial_number,
               RolloutShare share,
               RandomHook random);

  /// Takes over all rows of the table, as read with `rows`.
  void ApplyRows(const StoreRows& rows, const std::string& own_name);
  /// The order is in the store again after a restore, under another id.
  void ContinueAs(const StoreVersion& id);
  /// Applies the phase that was published to the operator.
  void ApplyPublished(RolloutPhase phase);

  /// @returns this gateway's evidence that no other gateway has accepted.
  RolloutEvidence OwnEvidence() const;
  RolloutEvidence TotalEvidence() const;
  /// @returns whether the rows of a read are not older than what is known.
  bool IsCurrent(const StoreRows& rows) const;
  /// @returns whether this gateway, as one that reads the store, may write the
  /// decision after a read of `rows`.
  bool MayDrive(const StoreRows& rows, std::string_view own_name) const;
  /// @returns the decision to write, without `published`.
  RolloutDecision NextDecision(const std::string& own_name, Duration now) const;

  RolloutOrderHistory history;
  RolloutSplitter splitter;
  /// Distinguishes this rollout from others of the service.
  const uint64_t serial;
  /// Furthest decision known, and the version of its row as last read (0 if
  /// there is no row).
  std::optional<RolloutDecision> decision;
  StoreVersion row_version;
  int unchanged_reads = 0;
  /// Whether the row as last read is missing, or older than `decision`.
  bool is_row_behind = false;
  /// Set after the first read of the rows, which restores the report that this
  /// gateway wrote before a restart.
  bool has_read_rows = false;
  RolloutEvidence written_evidence;
  /// Part of this gateway's evidence that another gateway has accepted.
  RolloutEvidence handed_over_evidence;
  bool is_handing_over = false;
  /// Phase in the operator's status, as last confirmed by this gateway.
  std::optional<RolloutPhase> published_phase;
  bool is_finished = false;
  /// Ends the rollout if its order, which is missing in a restored store, is
  /// not repeated; `former_order` is in the store in its place.
  TimerHandle repeat_timer;
  std::optional<RolloutOrder> former_order;

 private:
  void ApplyReports(const StoreRows& rows, const std::string& own_name);
  void ApplyDecision(const StoreRow* row,
                     const std::optional<RolloutDecision>& read);
  void MergeDecision(const RolloutDecision& read);

  // The other gateways' reports by row key, and their sum.
  std::map<std::string, RolloutEvidence> m_other_reports;
  RolloutEvidence m_other_evidence;
  // Era of the rows as last read.
  uint64_t m_read_era = 0;
  // Whether the row as last read holds the decision on a later order, of which
  // this gateway has not heard yet.
  bool m_is_superseded = false;
  // Number of reads since the order was repeated, or since a decision of an
  // earlier era was read first; empty without a restore.
  std::optional<int> m_reads_after_restore;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_STATE_H_
