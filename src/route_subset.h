// Choice of the endpoints of a group that this daemon polls and prefers.
#ifndef BRAMLEYBANK_SRC_ROUTE_SUBSET_H_
#define BRAMLEYBANK_SRC_ROUTE_SUBSET_H_

#include <span>
#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "config_snapshot.h"

namespace bramleybank {

/// A live daemon.
struct SubsetMember {
  std::string id;
  std::string region;
  std::string failure_domain;

  friend bool operator==(const SubsetMember&, const SubsetMember&) = default;
};

/// Chooses subsets by rendezvous hashing. Every daemon computes the shares of
/// all daemons of its failure domain, with a cap on the daemons per endpoint,
/// so that each endpoint of a domain is preferred by about the same number of
/// daemons. Daemons with the same members and configuration agree without
/// exchanging messages.
class SubsetChooser {
 public:
  explicit SubsetChooser(SubsetMember self,
                         size_t size = kSubsetSize,
                         size_t own_domain_size = kSubsetOwnDomainSize);

  /// @param members live daemons; this daemon is added when it is missing.
  /// @param group endpoints of one group; leaving ones are skipped.
  /// @returns addresses of endpoints in the own failure domain, then in the own
  /// region, then in other regions.
  std::vector<std::string> Choose(std::span<const SubsetMember> members,
                                  std::span<const EndpointConfig> group) const;

 private:
  using Endpoints = std::vector<const EndpointConfig*>;

  std::vector<std::string> DaemonsOfDomain(
      std::span<const SubsetMember> members) const;
  Endpoints TakeBalanced(const std::vector<std::string>& daemons,
                         const Endpoints& endpoints,
                         size_t count) const;
  Endpoints TakeHighest(Endpoints endpoints, size_t count) const;

  SubsetMember m_self;
  size_t m_size;
  // At most m_size.
  size_t m_own_domain_size;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_SUBSET_H_
