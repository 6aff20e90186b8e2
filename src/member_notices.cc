// Merge rules of notices.
#include "member_notices.h"

#include <algorithm>

#include "bramleybank/limits.h"

namespace bramleybank {

bool MemberNotices::Merge(const Notice& news,
                          Duration withdrawn_for,
                          TimePoint now) {
  const auto it = m_rows.find({news.kind, news.key});
  const TimePoint since = news.active ? now : now - withdrawn_for;
  if (it == m_rows.end()) {
    if (now - since >= kDeadMemberRetention) {
      return false;
    }
    if (m_rows.size() >= kMaxNotices && !MakeRoom()) {
      return false;
    }
    m_rows.emplace(Key{news.kind, news.key}, Row{news, since});
    return true;
  }
  Notice& held = it->second.notice;
  const bool newer =
      news.version > held.version ||
      (news.version == held.version && news.active && !held.active);
  if (newer) {
    it->second = {news, since};
  }
  return newer;
}

std::optional<Notice> MemberNotices::Publish(NoticeKind kind,
                                             const std::string& key,
                                             bool active,
                                             TimePoint now) {
  const Notice* held = Find({kind, key});
  if (held == nullptr ? !active : held->active == active) {
    return std::nullopt;
  }
  const Notice notice{.kind = kind,
                      .key = key,
                      .version = held == nullptr ? 1 : held->version + 1,
                      .active = active};
  if (!Merge(notice, Duration{0}, now)) {
    return std::nullopt;
  }
  return notice;
}

bool MemberNotices::IsActive(NoticeKind kind, const std::string& key) const {
  const Notice* held = Find({kind, key});
  return held != nullptr && held->active;
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

bool MemberNotices::MakeRoom() {
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
