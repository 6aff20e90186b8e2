// Which gateways collect the loads of each failure domain.
#ifndef BRAMLEYBANK_SRC_LOAD_COORDINATORS_H_
#define BRAMLEYBANK_SRC_LOAD_COORDINATORS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_member.h"
#include "hooks.h"

namespace bramleybank {

/// A hash over the gateways of a domain determines its coordinator and, while
/// that one does not answer, a second one, without an election. Gateways with
/// different lists may use different coordinators for a while; each then knows
/// a part of the domain's load.
class LoadCoordinators {
 public:
  /// @param self this gateway.
  LoadCoordinators(GatewayMember self, ClockHook clock);

  void SetMembers(const std::vector<GatewayMember>& members);

  /// @returns the coordinator of this domain, possibly this gateway; empty
  /// while none is known or none answers.
  std::optional<GatewayMember> Own() const;
  /// @returns whether this gateway is the coordinator of its domain.
  bool IsOwn() const;
  /// @returns the coordinators of the other domains.
  std::vector<GatewayMember> Others() const;
  /// @returns the failure domain of a known gateway; empty for others.
  std::string DomainOf(std::string_view gateway) const;

  /// A gateway has not answered; it is left out for kLoadCoordinatorPause, and
  /// for twice as long each time that this repeats.
  void OnFailure(const std::string& gateway);
  void OnAnswer(const std::string& gateway) { m_pauses.erase(gateway); }

 private:
  struct Pause {
    int failures = 0;
    TimePoint until;
  };

  const GatewayMember* FirstInUse(
      const std::vector<GatewayMember>& candidates) const;

  const GatewayMember m_self;
  const ClockHook m_clock;
  // Best first, at most kLoadCoordinatorsPerDomain of each domain.
  std::map<std::string, std::vector<GatewayMember>, std::less<>> m_candidates;
  std::map<std::string, std::string, std::less<>> m_domains_by_name;
  std::map<std::string, Pause, std::less<>> m_pauses;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LOAD_COORDINATORS_H_
