// Rendezvous hashing over the gateways, and the fallback without an issuer.
#include "permit_client.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <tuple>
#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_entry.h"
#include "log_event.h"

namespace bramleybank {
PermitClient::PermitClient(std::string name, Hooks hooks)
    : m_name(std::move(name)),
      m_hooks(std::move(hooks)),
      m_issuer(m_hooks.clock, m_hooks.random),
      m_alive(std::make_shared<PermitClient*>(this)) {}

std::vector<GatewayMember> PermitClient::IssuersOf(
    const EndpointEntry& endpoint) const {
  const uint64_t seed = XXH3_64bits(endpoint.id.data(), endpoint.id.size());
  // Gateways in the failure domain of the endpoint come first.
  const auto rank = [&](const GatewayMember& member) {
    const uint64_t hash =
        XXH3_64bits_withSeed(member.name.data(), member.name.size(), seed);
    return std::tuple(member.failure_domain != endpoint.failure_domain, hash,
                      std::string_view(member.name));
  };
  std::vector<GatewayMember> members = m_hooks.members();
  std::erase_if(members, [&](const GatewayMember& member) {
    return member.peer_address.empty() && member.name != m_name;
  });
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(members.size(), kPermitIssuers));
  std::ranges::partial_sort(members, members.begin() + count, {}, rank);
  members.resize(static_cast<size_t>(count));
  return members;
}

bool PermitClient::IsPaused(const std::string& gateway) const {
  const auto it = m_paused_until.find(gateway);
  return it != m_paused_until.end() && m_hooks.clock() < it->second;
}

void PermitClient::Pause(const std::string& gateway) {
  const TimePoint now = m_hooks.clock();
  std::erase_if(m_paused_until,
                [now](const auto& item) { return item.second <= now; });
  m_paused_until[gateway] = now + kPermitIssuerPause;
}

void PermitClient::Ask(const EndpointEntry& endpoint,
                       const PermitQuery& query,
                       Callback callback) {
  const std::vector<GatewayMember> issuers = IssuersOf(endpoint);
  const auto issuer = std::ranges::find_if(
      issuers,
      [&](const GatewayMember& member) { return !IsPaused(member.name); });
  if (issuer == issuers.end()) {
    callback(IssueEvenShare(query));
    return;
  }
  if (issuer->name == m_name) {
    callback(m_issuer.Issue(query));
    return;
  }
  const TimePoint asked_at = m_hooks.clock();
  m_hooks.call(*issuer, query,
               [weak = std::weak_ptr(m_alive), endpoint, query, asked_at,
                name = issuer->name, callback = std::move(callback)](
                   std::optional<PermitAnswer> answer) {
                 const auto self = weak.lock();
                 if (!self) {
                   return;
                 }
                 if (answer) {
                   callback(*answer);
                   return;
                 }
                 LogLine(LogEventId::kPermitIssuerLost)
                     .Field("gateway", name)
                     .Field("endpoint", endpoint.id);
                 (*self)->Pause(name);
                 PermitQuery next = query;
                 next.age += (*self)->m_hooks.clock() - asked_at;
                 (*self)->Ask(endpoint, next, callback);
               });
}

PermitAnswer PermitClient::IssueEvenShare(const PermitQuery& query) const {
  if (!query.rate_limit) {
    return {.is_unlimited = true};
  }
  const double share =
      PermitRate(*query.rate_limit) / static_cast<double>(m_hooks.gateways());
  const double permits =
      share * std::chrono::duration<double>(kEvenSharePeriod).count();
  // With hundreds of gateways the share is a fraction of one permit. Granting
  // that fraction of the queries keeps the sum, and no gateway saves permits
  // up.
  const auto whole = std::floor(permits);
  const bool rounds_up = UniformFraction(m_hooks.random) < permits - whole;
  const auto granted = static_cast<uint32_t>(whole) + (rounds_up ? 1U : 0U);
  return {.granted = std::min(granted, query.wanted),
          .retry_after = kEvenSharePeriod};
}

}  // namespace bramleybank
