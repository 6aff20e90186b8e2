// Merging, publishing and expiry of notices.
#include "member_notices.h"

#include <algorithm>

#include "bramleybank/limits.h"

namespace bramleybank {

bool MemberNotices::Merge(const Notice& update,
                          Duration withdrawn_for,
                          TimePoint now) {
  const auto it = m_rows.find({update.kind, update.key});
  const TimePoint since = update.active ? now : now - withdrawn_for;
  if (it == m_rows.end()) {
    if (now - since >= kDeadMemberRetention) {
      return false;
    }
    if (m_rows.size() >= kMaxNotices && !EvictOldestWithdrawn()) {
      return false;
    }
    m_rows.emplace(Key{update.kind, update.key}, Row{update, since});
    return true;
  }
  Notice& current = it->second.notice;
  const bool newer =
      update.version > current.version ||
      (update.version == current.version && update.active && !current.active);
  if (newer) {
    it->second = {update, since};
  }
  return newer;
}

std::optional<Notice> MemberNotices::Publish(NoticeKind kind,
                                             const std::string& key,
                                             bool active,
                                             TimePoint now) {
  const Notice* current = Find({kind, key});
  if (current == nullptr ? !active : current->active == active) {
    return std::nullopt;
  }
  const Notice notice{.kind = kind,
                      .key = key,
                      .version = current == nullptr ? 1 : current->version + 1,
                      .active = active};
  if (!Merge(notice, Duration{0}, now)) {
    return std::nullopt;
  }
  return notice;
}

bool MemberNotices::IsActive(NoticeKind kind, const std::string& key) const {
  const Notice* current = Find({kind, key});
  return current != nullptr && current->active;
}

const Notice* MemberNotices::Find(const Key& key) const {
  const auto it = m_rows.find(key);
  return it == m_rows.end() ? nullptr : &it->second.notice;
}

void MemberNotices::Expire(TimePoint now) {
  std::erase_if(m_rows, [&](const auto& entry) {
    return !entry.second.notice.active &&
           now - entry.second.since >= kDeadMemberRetention;
  });
}

bool MemberNotices::EvictOldestWithdrawn() {
  auto oldest = m_rows.end();
  for (auto it = m_rows.begin(); it != m_rows.end(); ++it) {
    if (!it->second.notice.active &&
        (oldest == m_rows.end() || it->second.since < oldest->second.since)) {
      oldest = it;
    }
  }
  if (oldest == m_rows.end()) {
    return false;
  }
  m_rows.erase(oldest);
  return true;
}

}  // namespace bramleybank
