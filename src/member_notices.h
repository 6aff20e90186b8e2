// Versioned notices that spread with the membership.
#ifndef BRAMLEYBANK_SRC_MEMBER_NOTICES_H_
#define BRAMLEYBANK_SRC_MEMBER_NOTICES_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "hooks.h"
#include "member_info.h"

namespace bramleybank {

/// A bounded set of notices. A notice that was withdrawn is kept for the
/// retention of dead members, so that old news does not bring it back. An
/// active notice stays until it is withdrawn.
class MemberNotices {
 public:
  using Key = std::pair<NoticeKind, std::string>;

  struct Row {
    Notice notice;
    /// When this version became known, or was withdrawn.
    TimePoint since;
  };

  /// @param withdrawn_for how long ago an inactive notice was withdrawn;
  /// ignored for an active one.
  /// @returns whether the news was newer than what is held.
  bool Merge(const Notice& news, Duration withdrawn_for, TimePoint now);

  /// Sets or withdraws a notice with the next version.
  /// @returns the notice to be spread; nothing when nothing changes or the set
  /// is full of active notices.
  std::optional<Notice> Publish(NoticeKind kind,
                                const std::string& key,
                                bool active,
                                TimePoint now);

  bool IsActive(NoticeKind kind, const std::string& key) const;
  const Notice* Find(const Key& key) const;
  void Expire(TimePoint now);
  const std::map<Key, Row>& rows() const { return m_rows; }

 private:
  bool MakeRoom();

  // At most kMaxNotices rows.
  std::map<Key, Row> m_rows;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_NOTICES_H_
