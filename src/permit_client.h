// Gets permits for endpoints that limit their rate from the gateways that issue
// them.
#ifndef BRAMLEYBANK_SRC_PERMIT_CLIENT_H_
#define BRAMLEYBANK_SRC_PERMIT_CLIENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endpoint_permit.h"
#include "gateway_member.h"
#include "hooks.h"
#include "permit_issuer.h"

namespace bramleybank {

struct EndpointEntry;

/// One gateway issues the permits of an endpoint: the first one of its failure
/// domain by a hash over gateways and endpoint, without an election. While
/// lists of gateways differ or an issuer does not answer, a second one may
/// issue permits too; PermitRate() leaves room for both. When neither answers,
/// a gateway uses an even part of the limit.
class PermitClient {
 public:
  using Callback = std::function<void(const PermitAnswer& answer)>;
  struct Hooks {
    ClockHook clock;
    RandomHook random;
    /// @returns the gateways known to be alive, including this one; empty
    /// before they are known.
    std::function<std::vector<GatewayMember>()> members;
    /// @returns the number of gateways that share a limit evenly.
    std::function<size_t()> gateways;
    /// Sends a query to another gateway. The callback gets nothing without an
    /// answer.
    std::function<void(const GatewayMember& issuer,
                       const PermitQuery& query,
                       std::function<void(std::optional<PermitAnswer>)>)>
        call;
  };

  /// @param name of this gateway.
  PermitClient(std::string name, Hooks hooks);

  /// Asks an issuer of the endpoint.
  /// @param callback runs once, possibly inside this call, unless this object
  /// is destroyed before.
  void Ask(const EndpointEntry& endpoint,
           const PermitQuery& query,
           Callback callback);
  /// Answers a query of another gateway.
  PermitAnswer Answer(const PermitQuery& query) {
    return m_issuer.Issue(query);
  }
  /// @returns the gateways that may issue permits of the endpoint, best first.
  std::vector<GatewayMember> IssuersOf(const EndpointEntry& endpoint) const;

 private:
  bool IsPaused(const std::string& gateway) const;
  /// Leaves out a gateway that has not answered for a while.
  void Pause(const std::string& gateway);
  /// @returns this gateway's even part of the limit.
  PermitAnswer IssueEvenShare(const PermitQuery& query) const;

  const std::string m_name;
  const Hooks m_hooks;
  PermitIssuer m_issuer;
  // Gateways that have not answered, by name, and until when they are not
  // asked.
  std::map<std::string, TimePoint, std::less<>> m_paused_until;
  // Answers may arrive after this object is destroyed.
  std::shared_ptr<PermitClient*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PERMIT_CLIENT_H_
