// Selects the source from which a gateway reads the metadata store: the store
// itself, or a relay, which is a gateway that reads the store for others.
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

/// Target of a read of rows, or of a wait for changes.
struct RowSource {
  /// Peer address of the relay; empty for the store.
  std::string relay;

  bool is_store() const { return relay.empty(); }
  friend bool operator==(const RowSource&, const RowSource&) = default;
};

/// Bounds the load of hundreds of gateways on the store: in each failure domain
/// two gateways, the relays, read it for the others. A hash over the known
/// gateways determines the relays, without an election. While the gateways have
/// different member lists, one of them may ask a gateway that does not read the
/// store. That gateway refuses, and the asking gateway tries its next source.
/// Sources that failed are left out for a time that grows with each failure.
class RelaySelector {
 public:
  /// @param name, failure_domain of this gateway.
  RelaySelector(std::string name,
                std::string failure_domain,
                ClockHook clock,
                RandomHook random);

  /// Sets the known gateways. The list may or may not contain this gateway.
  void SetMembers(const std::vector<GatewayMember>& members);
  bool IsMember(std::string_view name) const;

  /// @returns whether this gateway reads the store, as a relay or because its
  /// domain has no relays.
  bool IsReader() const;
  /// @returns whether gateways of this domain use relays.
  bool IsRelayed() const { return m_is_relayed; }
  /// @returns the number of known gateways that read the store.
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
  std::set<std::string, std::less<>> m_member_names;
  // Gateways that read the store, by failure domain. Their order is the same at
  // all gateways.
  std::map<std::string, std::vector<GatewayMember>, std::less<>> m_readers;
  // Whether this gateway's domain has enough gateways for relays.
  bool m_is_relayed = false;
  // By relay address; the empty address stands for the store.
  std::map<std::string, Pause, std::less<>> m_pauses;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_RELAY_SELECTOR_H_
