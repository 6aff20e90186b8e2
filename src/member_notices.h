// Versioned notices that are spread with the membership.
#ifndef BRAMLEYBANK_SRC_MEMBER_NOTICES_H_
#define BRAMLEYBANK_SRC_MEMBER_NOTICES_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "hooks.h"
#include "member_info.h"

namespace bramleybank {

/// A bounded set of notices. A withdrawn notice is kept for
/// kDeadMemberRetention, so that a stale update does not restore it. An active
/// notice is kept until it is withdrawn.
class MemberNotices {
 public:
  using Key = std::pair<NoticeKind, std::string>;

  struct Row {
    Notice notice;
    /// When this version became known or, for an inactive notice, was
    /// withdrawn.
    TimePoint since;
  };

  /// Merges an update that another member sent.
  /// @param withdrawn_for how long ago an inactive notice was withdrawn;
  /// ignored for an active one.
  /// @returns whether the update was newer than the stored notice.
  bool Merge(const Notice& update, Duration withdrawn_for, TimePoint now);

  /// Sets or withdraws a notice under the next version number.
  /// @returns the notice to gossip; nullopt when the notice already has this
  /// state or the set is full of active notices.
  std::optional<Notice> Publish(NoticeKind kind,
                                const std::string& key,
                                bool active,
                                TimePoint now);

  bool IsActive(NoticeKind kind, const std::string& key) const;
  const Notice* Find(const Key& key) const;
  void Expire(TimePoint now);
  const std::map<Key, Row>& rows() const { return m_rows; }

 private:
  bool EvictOldestWithdrawn();

  // At most kMaxNotices rows. When the set is full, a new notice replaces the
  // one that was withdrawn first.
  std::map<Key, Row> m_rows;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_NOTICES_H_
