// The members that this daemon knows, and the rules for merging updates about
// them.
#ifndef BRAMLEYBANK_SRC_MEMBER_TABLE_H_
#define BRAMLEYBANK_SRC_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"
#include "member_info.h"

namespace bramleybank {

/// A member and the time at which it entered its state.
struct MemberRow {
  MemberInfo info;
  TimePoint since;
};

/// What an update changed.
struct MemberMergeResult {
  /// Identity, state or incarnation changed, so the update must be gossiped.
  bool changed = false;
  bool config_changed = false;
  /// The update says that a member which is live in this table is dead. The
  /// member must be told, so that it can refute the claim.
  bool needs_refutation = false;

  friend bool operator==(const MemberMergeResult&,
                         const MemberMergeResult&) = default;
};

/// All known members, including this daemon. Merging is commutative in effect:
/// tables that received the same updates agree, regardless of their order.
class MemberTable {
 public:
  /// @param self this daemon; it is never removed.
  MemberTable(const MemberInfo& self, TimePoint now);

  /// Merges an update about a member.
  /// @param dead_for how long ago the member died or left; ignored for a live
  /// member.
  /// @param min_suspicion how long a member must have been suspect in this
  /// table before it is marked dead because another member reported its death.
  MemberMergeResult Merge(const MemberInfo& update,
                          Duration dead_for,
                          Duration min_suspicion,
                          TimePoint now);

  /// State changes that this daemon decides itself. @returns false when the
  /// member is not alive (DeclareSuspect) or not suspect (DeclareDead).
  bool DeclareSuspect(std::string_view peer, TimePoint now);
  bool DeclareDead(std::string_view peer, TimePoint now);
  /// Restarts the timeouts of all suspicions after a pause of this process.
  void RestartSuspicions(TimePoint now);

  /// Raises the incarnation of this daemon above `incarnation`.
  void Refute(uint64_t incarnation);
  /// Raises the start number of this daemon above `start_number`, which was
  /// reported for its address.
  void RaiseStartNumber(uint64_t start_number);
  void MarkSelfLeft(TimePoint now);
  /// Records that a configuration is in force at this daemon. Lower numbers are
  /// ignored.
  void ConfirmConfig(uint64_t number);

  /// Removes members that died or left at least kDeadMemberRetention ago.
  void Expire(TimePoint now);

  const MemberRow* Find(std::string_view peer) const;
  const MemberInfo& self() const { return m_self->info; }
  const std::map<std::string, MemberRow, std::less<>>& rows() const {
    return m_rows;
  }
  /// @returns the live members in the order of their addresses, including this
  /// daemon. Valid until the table changes.
  const std::vector<const MemberRow*>& Live() const;
  /// @returns a hash of the identities of the live members.
  uint64_t LiveHash() const;

  uint64_t highest_config() const { return m_highest_config; }
  /// @returns one bit per live member in the order of Live(): whether it has
  /// confirmed `number`.
  std::string ConfirmationBits(uint64_t number) const;
  /// Merges the confirmation bits of another table.
  /// @param live_hash hash of the live members in the other table. The bits are
  /// ignored when it differs from LiveHash().
  /// @returns whether a confirmation was new.
  bool MergeConfirmationBits(uint64_t number,
                             uint64_t live_hash,
                             std::string_view bits);

  /// Number of updates dropped because the table was full of live members.
  uint64_t dropped_when_full() const { return m_dropped_when_full; }

 private:
  MemberMergeResult Insert(const MemberInfo& update,
                           Duration dead_for,
                           TimePoint now);
  bool MergeState(MemberRow* row,
                  const MemberInfo& update,
                  Duration dead_for,
                  Duration min_suspicion,
                  TimePoint now,
                  bool* needs_refutation);
  void SetState(MemberRow* row, MemberState state, TimePoint since);
  bool RaiseConfig(MemberRow* row, uint64_t number);
  bool EvictOldestNonLive();
  void RefreshLive() const;

  // At most kMaxMembers rows. When the table is full, a new member replaces the
  // one that died or left first.
  std::map<std::string, MemberRow, std::less<>> m_rows;
  MemberRow* m_self = nullptr;
  uint64_t m_highest_config = 0;
  uint64_t m_dropped_when_full = 0;
  // Cache of the live rows and of their hash; rebuilt from m_rows on the next
  // read while m_live_stale is set.
  mutable std::vector<const MemberRow*> m_live;
  mutable uint64_t m_live_hash = 0;
  mutable bool m_live_stale = true;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_TABLE_H_
