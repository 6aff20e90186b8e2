// Value types of the membership protocol: a member and a notice.
#ifndef BRAMLEYBANK_SRC_MEMBER_INFO_H_
#define BRAMLEYBANK_SRC_MEMBER_INFO_H_

#include <cstdint>
#include <string>

namespace bramleybank {

enum class MemberState : uint8_t { kAlive, kSuspect, kDead, kLeft };

/// One daemon process as the other members know it. The peer address and the
/// start number together identify it.
struct MemberInfo {
  /// "ip:port" of the peer port.
  std::string peer;
  /// Increases with each start at the same address, for example the start time
  /// in ms.
  uint64_t start_number = 0;
  std::string region;
  std::string failure_domain;
  MemberState state = MemberState::kAlive;
  /// Incremented only by the member itself, to refute a suspicion.
  uint64_t incarnation = 0;
  /// Highest configuration number that is in force at the member.
  uint64_t config_number = 0;

  friend bool operator==(const MemberInfo&, const MemberInfo&) = default;
};

/// Live members take part in the group: they are probed, count as members when
/// limits are divided into shares, and must confirm configurations.
inline bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

enum class NoticeKind : uint8_t { kEndpointLeaving, kVersionStopped };

/// A versioned fact, not about a member, that is spread with the membership.
struct Notice {
  NoticeKind kind = NoticeKind::kEndpointLeaving;
  /// Endpoint address, or "<model>/<version>".
  std::string key;
  /// The higher version wins. Of equal versions the active notice wins, so that
  /// a stop is never undone by an update that was made without knowing of it.
  uint64_t version = 0;
  bool active = true;

  friend bool operator==(const Notice&, const Notice&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_INFO_H_
