// The datagrams of the membership protocol, in msgpack.
//
// A datagram is the array [format version, lowest version that can read it,
// cluster, kind, sequence, about, from, members, notices, confirmations].
// Arrays may be longer than this release knows: what follows is skipped.
// Members are [peer, start number, region, failure domain, state, incarnation,
// configuration number, age in s], notices [kind, key, version, active, age in
// s], confirmations [number, hash of the live members, bits] or nil.
#ifndef BRAMLEYBANK_SRC_MEMBER_MESSAGE_H_
#define BRAMLEYBANK_SRC_MEMBER_MESSAGE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"
#include "member_info.h"

namespace bramleybank {

inline constexpr uint32_t kMemberFormatVersion = 1;

enum class MemberMessageKind : uint8_t {
  /// Asks for an acknowledgement.
  kPing = 0,
  /// Answers a ping; `about` names the member that is thereby known to live.
  kAck = 1,
  /// Asks the receiver to ping `about` and to pass its answer on.
  kPingRequest = 2,
  /// Carries news only.
  kGossip = 3,
  /// Asks for the full state.
  kJoin = 4,
};

struct MemberNews {
  MemberInfo info;
  /// How long ago a dead member died or a left one left.
  Duration age{0};

  friend bool operator==(const MemberNews&, const MemberNews&) = default;
};

struct NoticeNews {
  Notice notice;
  /// How long ago an inactive notice was withdrawn.
  Duration age{0};

  friend bool operator==(const NoticeNews&, const NoticeNews&) = default;
};

struct ConfirmationNews {
  uint64_t number = 0;
  uint64_t live_hash = 0;
  std::string bits;

  friend bool operator==(const ConfirmationNews&,
                         const ConfirmationNews&) = default;
};

/// Fixed part of a datagram.
struct MemberHeader {
  uint32_t format_version = kMemberFormatVersion;
  uint32_t lowest_reader = 1;
  /// Daemons of another deployment have another value and are not heard.
  uint64_t cluster = 0;
  MemberMessageKind kind = MemberMessageKind::kGossip;
  uint64_t sequence = 0;
  std::string about;
  MemberInfo from;

  friend bool operator==(const MemberHeader&, const MemberHeader&) = default;
};

struct MemberMessage {
  MemberHeader header;
  std::vector<MemberNews> members;
  std::vector<NoticeNews> notices;
  /// Number 0 means none.
  ConfirmationNews confirmations;

  friend bool operator==(const MemberMessage&, const MemberMessage&) = default;
};

/// Builds one datagram up to a size limit.
class MemberMessageWriter {
 public:
  /// @param confirmations number 0 leaves them out.
  /// @param max_bytes the fixed part is written even when it is larger.
  MemberMessageWriter(const MemberHeader& header,
                      const ConfirmationNews& confirmations,
                      size_t max_bytes);

  /// @returns false when the item does not fit any more.
  bool Add(const MemberNews& news);
  bool Add(const NoticeNews& news);

  std::string Finish() const;

 private:
  bool Append(const msgpack::sbuffer& item, msgpack::sbuffer* list);

  size_t m_max_bytes;
  size_t m_bytes = 0;
  uint32_t m_member_count = 0;
  uint32_t m_notice_count = 0;
  msgpack::sbuffer m_head;
  msgpack::sbuffer m_members;
  msgpack::sbuffer m_notices;
  msgpack::sbuffer m_tail;
};

enum class MemberDecodeResult { kOk, kMalformed, kTooNew };

/// Reads one datagram. Items with unknown states or kinds are left out.
/// Never throws.
MemberDecodeResult DecodeMemberMessage(std::string_view bytes,
                                       MemberMessage* message);

/// @returns whether `peer` is an IPv4 address with a port.
bool IsPeerAddress(std::string_view peer);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_MESSAGE_H_
