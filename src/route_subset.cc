// Rendezvous hashing with bounded load within the failure domain.
#include "route_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <string_view>
#include <tuple>
#include <utility>

namespace bramleybank {
namespace {

uint64_t Score(std::string_view daemon, std::string_view endpoint) {
  const uint64_t seed = XXH3_64bits(daemon.data(), daemon.size());
  return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), seed);
}

struct ScoredPair {
  uint64_t score = 0;
  uint32_t daemon = 0;
  uint32_t endpoint = 0;
};

}  // namespace

SubsetChooser::SubsetChooser(SubsetMember self,
                             size_t size,
                             size_t own_domain_size)
    : m_self(std::move(self)),
      m_size(size),
      m_own_domain_size(own_domain_size) {
  assert(m_own_domain_size <= m_size);
}

std::vector<std::string> SubsetChooser::Choose(
    std::span<const SubsetMember> members,
    std::span<const EndpointConfig> group) const {
  Endpoints own;
  Endpoints region;
  Endpoints other_regions;
  for (const EndpointConfig& endpoint : group) {
    if (endpoint.leaving) {
      continue;
    }
    if (endpoint.failure_domain == m_self.failure_domain) {
      own.push_back(&endpoint);
    } else {
      (endpoint.region == m_self.region ? region : other_regions)
          .push_back(&endpoint);
    }
  }
  // The places that the own domain leaves free are split evenly between the own
  // region and other regions. When one of these has too few endpoints, the
  // other one gets its places.
  const size_t outside_count = region.size() + other_regions.size();
  const size_t own_count = std::min(
      own.size(),
      std::max(m_own_domain_size, m_size - std::min(m_size, outside_count)));
  const size_t remaining = m_size - own_count;
  const size_t other_regions_count = std::min(
      other_regions.size(),
      std::max(remaining / 2, remaining - std::min(remaining, region.size())));
  const size_t region_count =
      std::min(region.size(), remaining - other_regions_count);

  std::vector<std::string> chosen;
  for (const Endpoints& part :
       {TakeBalanced(DaemonsOfDomain(members), own, own_count),
        TakeHighest(std::move(region), region_count),
        TakeHighest(std::move(other_regions), other_regions_count)}) {
    for (const EndpointConfig* endpoint : part) {
      chosen.push_back(endpoint->address);
    }
  }
  return chosen;
}

std::vector<std::string> SubsetChooser::DaemonsOfDomain(
    std::span<const SubsetMember> members) const {
  std::vector<std::string> daemons = {m_self.id};
  for (const SubsetMember& member : members) {
    if (member.failure_domain == m_self.failure_domain) {
      daemons.push_back(member.id);
    }
  }
  std::ranges::sort(daemons);
  daemons.erase(std::unique(daemons.begin(), daemons.end()), daemons.end());
  return daemons;
}

SubsetChooser::Endpoints SubsetChooser::TakeBalanced(
    const std::vector<std::string>& daemons,
    const Endpoints& endpoints,
    size_t count) const {
  if (count >= endpoints.size()) {
    return endpoints;
  }
  std::vector<ScoredPair> pairs;
  pairs.reserve(daemons.size() * endpoints.size());
  for (uint32_t d = 0; d < daemons.size(); ++d) {
    for (uint32_t e = 0; e < endpoints.size(); ++e) {
      pairs.push_back({Score(daemons[d], endpoints[e]->address), d, e});
    }
  }
  std::ranges::sort(pairs, [](const ScoredPair& a, const ScoredPair& b) {
    return std::tie(b.score, a.daemon, a.endpoint) <
           std::tie(a.score, b.daemon, b.endpoint);
  });
  const auto self = static_cast<uint32_t>(
      std::ranges::find(daemons, m_self.id) - daemons.begin());
  const size_t mean = daemons.size() * count / endpoints.size();
  std::vector<size_t> taken(daemons.size(), 0);
  std::vector<size_t> load(endpoints.size(), 0);
  Endpoints result;
  // The first round fills every endpoint up to the mean, as far as the order of
  // the scores allows. The second round assigns the remainder, and the third
  // serves daemons that found too few endpoints below the cap.
  for (const size_t cap : {mean, mean + 1, daemons.size()}) {
    std::vector<ScoredPair> remaining;
    for (const ScoredPair& pair : pairs) {
      if (taken[pair.daemon] >= count || load[pair.endpoint] >= cap) {
        remaining.push_back(pair);
        continue;
      }
      ++taken[pair.daemon];
      ++load[pair.endpoint];
      if (pair.daemon == self) {
        result.push_back(endpoints[pair.endpoint]);
      }
    }
    pairs = std::move(remaining);
  }
  return result;
}

SubsetChooser::Endpoints SubsetChooser::TakeHighest(Endpoints endpoints,
                                                    size_t count) const {
  std::ranges::sort(endpoints, std::greater<>(),
                    [this](const EndpointConfig* endpoint) {
                      return std::pair(Score(m_self.id, endpoint->address),
                                       endpoint->address);
                    });
  endpoints.resize(std::min(count, endpoints.size()));
  return endpoints;
}

}  // namespace bramleybank
