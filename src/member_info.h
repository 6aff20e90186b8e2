// Values of the membership: one member and one notice.
#ifndef BRAMLEYBANK_SRC_MEMBER_INFO_H_
#define BRAMLEYBANK_SRC_MEMBER_INFO_H_

#include <cstdint>
#include <string>

namespace bramleybank {

enum class MemberState : uint8_t { kAlive, kSuspect, kDead, kLeft };

/// One started daemon as the others know it. The peer address and the start
/// number together are its identity.
struct MemberInfo {
  /// "ip:port" of the peer port.
  std::string peer;
  /// Grows with each start at one address, for example the start time in ms.
  uint64_t start_number = 0;
  std::string region;
  std::string failure_domain;
  MemberState state = MemberState::kAlive;
  /// Raised by the member itself to refute a suspicion.
  uint64_t incarnation = 0;
  /// Highest configuration number that the member has in force.
  uint64_t config_number = 0;

  friend bool operator==(const MemberInfo&, const MemberInfo&) = default;
};

/// Live members take part in the group: they are probed, count for shares and
/// must confirm configurations.
inline bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

enum class NoticeKind : uint8_t { kEndpointLeaving, kVersionStopped };

/// News about something other than a member.
struct Notice {
  NoticeKind kind = NoticeKind::kEndpointLeaving;
  /// Endpoint address, or "<model>/<version>".
  std::string key;
  /// The higher version wins; of equal versions the active notice wins, so
  /// that a stop is never undone by news that does not know of it.
  uint64_t version = 0;
  bool active = true;

  friend bool operator==(const Notice&, const Notice&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_INFO_H_
