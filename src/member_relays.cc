// Bounded set of relayed pings.
#include "member_relays.h"

#include <utility>

namespace bramleybank {
namespace {

constexpr size_t kMaxRelays = 64;

}  // namespace

bool MemberRelays::Add(uint64_t own_sequence, const MemberRelay& relay) {
  return m_relays.size() < kMaxRelays &&
         m_relays.emplace(own_sequence, relay).second;
}

std::optional<MemberRelay> MemberRelays::Take(uint64_t own_sequence,
                                              std::string_view from) {
  const auto it = m_relays.find(own_sequence);
  if (it == m_relays.end() || it->second.target != from) {
    return std::nullopt;
  }
  std::optional<MemberRelay> relay = std::move(it->second);
  m_relays.erase(it);
  return relay;
}

void MemberRelays::Expire(TimePoint now) {
  std::erase_if(m_relays,
                [&](const auto& entry) { return entry.second.expires <= now; });
}

}  // namespace bramleybank
