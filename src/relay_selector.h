// Decides from where a gateway learns what stands in the metadata store: from
// the store itself, or from another gateway that reads it.
#ifndef BRAMLEYBANK_SRC_RELAY_SELECTOR_H_
#define BRAMLEYBANK_SRC_RELAY_SELECTOR_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_member.h"
#include "hooks.h"

namespace bramleybank {

/// Where a call for rows goes.
struct RowSource {
  /// Peer address of a gateway; empty for the store.
  std::string relay;

  bool is_store() const { return relay.empty(); }
  friend bool operator==(const RowSource&, const RowSource&) = default;
};

/// Answers the load of hundreds of gateways on the store: two gateways of each
/// failure domain read it for the others. Who they are follows from a hash over
/// the known gateways, without an election: where lists differ for a while, a
/// gateway that is asked and does not read the store refuses, and the asking
/// one reads the store itself. Sources that failed are left out for a growing
/// time.
class RelaySelector {
 public:
  /// @param name, failure_domain of this gateway.
  RelaySelector(std::string name,
                std::string failure_domain,
                ClockHook clock,
                RandomHook random);

  /// The list of gateways, this one included or not.
  void SetMembers(const std::vector<GatewayMember>& members);
  bool IsMember(std::string_view name) const;

  /// @returns whether this gateway reads the store, as a relay or because its
  /// domain has none.
  bool IsReader() const;
  /// @returns whether gateways of this domain use relays.
  bool IsRelayed() const { return m_is_relayed; }
  /// @returns how many gateways read the store, as far as known.
  size_t reader_count() const;

  /// @returns the sources for one call, best first; never empty.
  std::vector<RowSource> Sources() const;
  void OnSuccess(const RowSource& source);
  void OnFailure(const RowSource& source);

 private:
  struct Pause {
    int failures = 0;
    TimePoint until;
  };

  bool IsPaused(const std::string& relay) const;
  void AddReaders(const std::string& domain,
                  std::vector<RowSource>* sources) const;

  const std::string m_name;
  const std::string m_failure_domain;
  const ClockHook m_clock;
  const RandomHook m_random;
  std::set<std::string, std::less<>> m_names;
  // By failure domain, in the order of preference that all gateways share.
  std::map<std::string, std::vector<GatewayMember>, std::less<>> m_readers;
  // Whether the own domain has enough gateways for relays.
  bool m_is_relayed = false;
  // By address of a relay; the store has the empty one.
  std::map<std::string, Pause, std::less<>> m_pauses;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_RELAY_SELECTOR_H_
