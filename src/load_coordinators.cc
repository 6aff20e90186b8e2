// Rendezvous hashing over the gateways of a failure domain.
#include "load_coordinators.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// Differs from the hash that selects relays, so that one gateway does not have
// both duties.
constexpr uint64_t kRankSeed = 0x6c6f616473;

// A gateway that is gone leaves the list of gateways some time later.
constexpr int kMaxPauseDoublings = 4;

uint64_t Rank(const GatewayMember& member) {
  return XXH3_64bits_withSeed(member.name.data(), member.name.size(),
                              kRankSeed);
}

}  // namespace

LoadCoordinators::LoadCoordinators(GatewayMember self, ClockHook clock)
    : m_self(std::move(self)), m_clock(std::move(clock)) {}

void LoadCoordinators::SetMembers(const std::vector<GatewayMember>& members) {
  m_candidates.clear();
  m_domains_by_name.clear();
  std::erase_if(m_pauses, [&](const auto& item) {
    return std::ranges::find(members, item.first, &GatewayMember::name) ==
           members.end();
  });
  for (const GatewayMember& member : members) {
    if (!member.peer_address.empty()) {
      m_candidates[member.failure_domain].push_back(member);
      m_domains_by_name.emplace(member.name, member.failure_domain);
    }
  }
  for (auto& [domain, candidates] : m_candidates) {
    const auto count = static_cast<std::ptrdiff_t>(
        std::min(candidates.size(), kLoadCoordinatorsPerDomain));
    std::ranges::partial_sort(candidates, candidates.begin() + count, {},
                              [](const GatewayMember& member) {
                                return std::pair(Rank(member), member.name);
                              });
    candidates.resize(static_cast<size_t>(count));
  }
}

const GatewayMember* LoadCoordinators::FirstInUse(
    const std::vector<GatewayMember>& candidates) const {
  const auto it =
      std::ranges::find_if(candidates, [this](const GatewayMember& member) {
        const auto pause = m_pauses.find(member.name);
        return pause == m_pauses.end() || pause->second.until <= m_clock();
      });
  return it == candidates.end() ? nullptr : &*it;
}

std::optional<GatewayMember> LoadCoordinators::Own() const {
  const auto it = m_candidates.find(m_self.failure_domain);
  const GatewayMember* member =
      it == m_candidates.end() ? nullptr : FirstInUse(it->second);
  return member == nullptr ? std::nullopt : std::optional(*member);
}

bool LoadCoordinators::IsOwn() const {
  const auto own = Own();
  return own && own->name == m_self.name;
}

std::vector<GatewayMember> LoadCoordinators::Others() const {
  std::vector<GatewayMember> others;
  for (const auto& [domain, candidates] : m_candidates) {
    const GatewayMember* member =
        domain == m_self.failure_domain ? nullptr : FirstInUse(candidates);
    if (member != nullptr) {
      others.push_back(*member);
    }
  }
  return others;
}

std::string LoadCoordinators::DomainOf(std::string_view gateway) const {
  const auto it = m_domains_by_name.find(gateway);
  return it == m_domains_by_name.end() ? "" : it->second;
}

void LoadCoordinators::OnFailure(const std::string& gateway) {
  Pause& pause = m_pauses[gateway];
  if (pause.until > m_clock()) {
    // Messages that were on the way fail together and count as one failure.
    return;
  }
  const int doublings = std::min(pause.failures++, kMaxPauseDoublings);
  pause.until = m_clock() + kLoadCoordinatorPause * (1 << doublings);
}

}  // namespace bramleybank
