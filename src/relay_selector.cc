// Rendezvous hashing over the gateways of a failure domain.
#include "relay_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

constexpr int kMaxPauseDoublings = 8;

uint64_t Rank(std::string_view name, std::string_view seed) {
  return XXH3_64bits_withSeed(name.data(), name.size(),
                              XXH3_64bits(seed.data(), seed.size()));
}

}  // namespace

RelaySelector::RelaySelector(std::string name,
                             std::string failure_domain,
                             ClockHook clock,
                             RandomHook random)
    : m_name(std::move(name)),
      m_failure_domain(std::move(failure_domain)),
      m_clock(std::move(clock)),
      m_random(std::move(random)) {}

void RelaySelector::SetMembers(const std::vector<GatewayMember>& members) {
  m_member_names.clear();
  m_readers.clear();
  m_is_relayed = false;
  for (const GatewayMember& member : members) {
    if (!member.peer_address.empty()) {
      m_member_names.insert(member.name);
      m_readers[member.failure_domain].push_back(member);
    }
  }
  for (auto& [domain, readers] : m_readers) {
    std::ranges::sort(readers, {}, [](const GatewayMember& member) {
      return std::pair(Rank(member.name, member.failure_domain), member.name);
    });
    if (readers.size() >= kMinRelayedGateways) {
      readers.resize(kRelaysPerDomain);
      m_is_relayed = m_is_relayed || domain == m_failure_domain;
    }
  }
}

bool RelaySelector::IsMember(std::string_view name) const {
  return m_member_names.contains(name);
}

bool RelaySelector::IsReader() const {
  if (!m_is_relayed || !IsMember(m_name)) {
    return true;
  }
  const auto& readers = m_readers.find(m_failure_domain)->second;
  return std::ranges::find(readers, m_name, &GatewayMember::name) !=
         readers.end();
}

size_t RelaySelector::reader_count() const {
  size_t count = 0;
  for (const auto& [domain, readers] : m_readers) {
    count += readers.size();
  }
  return std::max<size_t>(1, count);
}

bool RelaySelector::IsPaused(const std::string& relay) const {
  const auto it = m_pauses.find(relay);
  return it != m_pauses.end() && m_clock() < it->second.until;
}

void RelaySelector::AddReaders(const std::string& domain,
                               std::vector<RowSource>* sources) const {
  const auto it = m_readers.find(domain);
  if (it == m_readers.end()) {
    return;
  }
  std::vector<std::pair<uint64_t, std::string>> relays;
  for (const GatewayMember& member : it->second) {
    if (member.name != m_name && !IsPaused(member.peer_address)) {
      // Each follower ranks the relays differently, which spreads the followers
      // over them.
      relays.emplace_back(Rank(member.name, m_name), member.peer_address);
    }
  }
  std::ranges::sort(relays);
  relays.resize(std::min(relays.size(), kRelaysPerDomain));
  for (auto& [rank, address] : relays) {
    sources->push_back({.relay = std::move(address)});
  }
}

std::vector<RowSource> RelaySelector::Sources() const {
  const RowSource store;
  std::vector<RowSource> sources;
  const bool is_reader = IsReader();
  if (is_reader) {
    sources.push_back(store);
  }
  AddReaders(m_failure_domain, &sources);
  if (!is_reader && !IsPaused(store.relay)) {
    sources.push_back(store);
  }
  // The whole domain may be cut off from the store, so one reader of another
  // domain is added.
  std::vector<RowSource> other_domain_sources;
  for (const auto& [domain, readers] : m_readers) {
    if (domain != m_failure_domain) {
      AddReaders(domain, &other_domain_sources);
    }
  }
  if (!other_domain_sources.empty()) {
    sources.push_back(
        other_domain_sources[m_random() % other_domain_sources.size()]);
  }
  if (sources.empty()) {
    sources.push_back(store);
  }
  return sources;
}

void RelaySelector::OnSuccess(const RowSource& source) {
  m_pauses.erase(source.relay);
}

void RelaySelector::OnFailure(const RowSource& source) {
  if (IsPaused(source.relay)) {
    // Calls for several tables fail together and count as one failure.
    return;
  }
  Pause& pause = m_pauses[source.relay];
  const Duration max_pause =
      source.is_store() ? kMaxStoreSourceBackoff : kMaxSourceBackoff;
  const Duration pause_bound =
      std::min<Duration>(kMinSourceBackoff * (1 << pause.failures), max_pause);
  pause.failures = std::min(pause.failures + 1, kMaxPauseDoublings);
  pause.until = m_clock() + EqualJitter(pause_bound, m_random);
}

}  // namespace bramleybank
