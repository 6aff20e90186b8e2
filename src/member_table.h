// The members that this daemon knows of, and the rules by which news about
// them is merged.
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

/// What a piece of news changed.
struct MemberMerge {
  /// Identity, state or incarnation changed; the news is worth passing on.
  bool changed = false;
  bool config_changed = false;
  /// The news says that a member which this table holds live is dead. The
  /// member must be told, so that it can refute.
  bool accused = false;

  friend bool operator==(const MemberMerge&, const MemberMerge&) = default;
};

/// All known members, this daemon included. Merging is commutative in effect:
/// tables that have seen the same news agree, in whatever order it came.
class MemberTable {
 public:
  /// @param self this daemon; it is never removed.
  MemberTable(const MemberInfo& self, TimePoint now);

  /// Merges news about a member.
  /// @param dead_for how long ago the member died or left; ignored otherwise.
  /// @param min_suspicion a member counts as dead by hearsay only after it was
  /// suspect here for this long.
  MemberMerge Merge(const MemberInfo& news,
                    Duration dead_for,
                    Duration min_suspicion,
                    TimePoint now);

  /// Own verdicts. @returns false when the member is not in the state before.
  bool DeclareSuspect(std::string_view peer, TimePoint now);
  bool DeclareDead(std::string_view peer, TimePoint now);
  /// Starts all suspicions anew, after a pause of this process.
  void RestartSuspicions(TimePoint now);

  /// Raises the own incarnation above `incarnation`.
  void Refute(uint64_t incarnation);
  /// Raises the own start number above one seen at the own address.
  void RaiseStartNumber(uint64_t start_number);
  void MarkSelfLeft(TimePoint now);
  /// Notes that this daemon has a configuration in force. Lower numbers are
  /// ignored.
  void ConfirmConfig(uint64_t number);

  /// Forgets members that died or left longer ago than the retention.
  void Expire(TimePoint now);

  const MemberRow* Find(std::string_view peer) const;
  const MemberInfo& self() const { return m_self->info; }
  const std::map<std::string, MemberRow, std::less<>>& rows() const {
    return m_rows;
  }
  /// @returns the live members by address, this daemon included. Valid until
  /// the next change.
  const std::vector<const MemberRow*>& Live() const;
  /// @returns a hash of the identities of the live members.
  uint64_t LiveHash() const;

  uint64_t highest_config() const { return m_highest_config; }
  /// @returns one bit per live member in the order of Live(): whether it has
  /// confirmed `number`.
  std::string ConfirmationBits(uint64_t number) const;
  /// Merges bits of another table.
  /// @param live_hash bits of a table with other members are ignored.
  /// @returns whether anything was new.
  bool MergeConfirmationBits(uint64_t number,
                             uint64_t live_hash,
                             std::string_view bits);

  /// News that was dropped because the table is full of live members.
  uint64_t dropped_when_full() const { return m_dropped_when_full; }

 private:
  MemberMerge Insert(const MemberInfo& news, Duration dead_for, TimePoint now);
  bool MergeState(MemberRow* row,
                  const MemberInfo& news,
                  Duration dead_for,
                  Duration min_suspicion,
                  TimePoint now,
                  bool* accused);
  void SetState(MemberRow* row, MemberState state, TimePoint since);
  bool RaiseConfig(MemberRow* row, uint64_t number);
  bool MakeRoom();
  void RefreshLive() const;

  // At most kMaxMembers rows; dead ones give way to new ones.
  std::map<std::string, MemberRow, std::less<>> m_rows;
  MemberRow* m_self = nullptr;
  uint64_t m_highest_config = 0;
  uint64_t m_dropped_when_full = 0;
  // Derived from m_rows when m_live_stale is set.
  mutable std::vector<const MemberRow*> m_live;
  mutable uint64_t m_live_hash = 0;
  mutable bool m_live_stale = true;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_TABLE_H_
