// Pings that are sent on behalf of other members.
#ifndef BRAMLEYBANK_SRC_MEMBER_RELAYS_H_
#define BRAMLEYBANK_SRC_MEMBER_RELAYS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hooks.h"

namespace bramleybank {

/// A ping request of another member.
struct MemberRelay {
  std::string requester;
  /// Sequence of the requester's probe.
  uint64_t sequence = 0;
  std::string target;
  TimePoint expires;
};

/// A bounded set of relays, by the sequence of the own ping.
class MemberRelays {
 public:
  /// @returns false when the set is full.
  bool Add(uint64_t own_sequence, const MemberRelay& relay);

  /// Takes out the relay that an answer of `from` belongs to.
  std::optional<MemberRelay> Take(uint64_t own_sequence, std::string_view from);

  void Expire(TimePoint now);

 private:
  // At most 64, so that ping requests cannot fill the memory.
  std::map<uint64_t, MemberRelay> m_relays;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_RELAYS_H_
