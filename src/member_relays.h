// Indirect pings that this daemon sends on behalf of other members.
#ifndef BRAMLEYBANK_SRC_MEMBER_RELAYS_H_
#define BRAMLEYBANK_SRC_MEMBER_RELAYS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hooks.h"

namespace bramleybank {

/// A request of another member to ping a third one.
struct MemberRelay {
  std::string requester;
  /// Sequence number of the requester's probe.
  uint64_t sequence = 0;
  std::string target;
  TimePoint expires;
};

/// A bounded set of relayed pings. The key is the sequence number of the ping
/// that this daemon sent to the target.
class MemberRelays {
 public:
  /// @returns false when the set is full.
  bool Add(uint64_t own_sequence, const MemberRelay& relay);

  /// Removes and returns the relay that an acknowledgement of `from` answers.
  std::optional<MemberRelay> Take(uint64_t own_sequence, std::string_view from);

  void Expire(TimePoint now);

 private:
  // At most 64 entries, so that ping requests cannot exhaust memory.
  std::map<uint64_t, MemberRelay> m_relays;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_RELAYS_H_
