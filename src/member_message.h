// The msgpack datagrams of the membership protocol.
//
// A datagram is the array [format version, lowest version that can read it,
// cluster, kind, sequence, target, from, members, notices, confirmations].
// Arrays may have more elements than this release knows; these are skipped.
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
  /// Answers a ping; `target` is the member that is thereby known to be alive.
  kAck = 1,
  /// Asks the receiver to ping `target` and to forward its acknowledgement.
  kPingRequest = 2,
  /// Carries updates only and expects no answer.
  kGossip = 3,
  /// Asks the receiver to send its full state.
  kJoin = 4,
};

/// A member as the sender of the update knows it.
struct MemberUpdate {
  MemberInfo info;
  /// For a dead or left member: how long ago it died or left.
  Duration age{0};

  friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

/// A notice as the sender of the update knows it.
struct NoticeUpdate {
  Notice notice;
  /// For an inactive notice: how long ago it was withdrawn.
  Duration age{0};

  friend bool operator==(const NoticeUpdate&, const NoticeUpdate&) = default;
};

/// Which live members have confirmed a configuration number. `bits` has the
/// form of MemberTable::ConfirmationBits().
struct ConfirmationUpdate {
  uint64_t number = 0;
  uint64_t live_hash = 0;
  std::string bits;

  friend bool operator==(const ConfirmationUpdate&,
                         const ConfirmationUpdate&) = default;
};

/// The fixed part of a datagram.
struct MemberHeader {
  uint32_t format_version = kMemberFormatVersion;
  uint32_t lowest_reader = 1;
  /// Identifies the deployment. Datagrams with another value are dropped.
  uint64_t cluster = 0;
  MemberMessageKind kind = MemberMessageKind::kGossip;
  uint64_t sequence = 0;
  std::string target;
  MemberInfo from;

  friend bool operator==(const MemberHeader&, const MemberHeader&) = default;
};

struct MemberMessage {
  MemberHeader header;
  std::vector<MemberUpdate> members;
  std::vector<NoticeUpdate> notices;
  /// Number 0 means that the datagram carries none.
  ConfirmationUpdate confirmations;

  friend bool operator==(const MemberMessage&, const MemberMessage&) = default;
};

/// Builds one datagram up to a size limit.
class MemberMessageWriter {
 public:
  /// @param confirmations number 0 leaves them out.
  /// @param max_bytes size limit; the fixed part is written even when it
  /// exceeds the limit.
  MemberMessageWriter(const MemberHeader& header,
                      const ConfirmationUpdate& confirmations,
                      size_t max_bytes);

  /// @returns false when the item no longer fits.
  bool Add(const MemberUpdate& update);
  bool Add(const NoticeUpdate& update);

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

/// Decodes one datagram. Items with unknown states or kinds are skipped. Never
/// throws.
MemberDecodeResult DecodeMemberMessage(std::string_view bytes,
                                       MemberMessage* message);

/// @returns whether `peer` is an IPv4 address with a port.
bool IsPeerAddress(std::string_view peer);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_MESSAGE_H_
