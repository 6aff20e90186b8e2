// Which gateways are alive, as far as the platform's store tells.
#ifndef BRAMLEYBANK_SRC_GATEWAY_PEERS_H_
#define BRAMLEYBANK_SRC_GATEWAY_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "metadata_store.h"

namespace bramleybank {

class EventLoop;

/// Position of this gateway among those that are alive.
struct PeerRank {
  size_t rank = 0;
  size_t count = 1;

  friend bool operator==(const PeerRank&, const PeerRank&) = default;
};

/// Keeps a row of its own in the store and reads those of the others, both at a
/// low rate. What follows from the list (shares of a budget, preferred engines)
/// needs no agreement: a list that is old by some seconds costs balance only.
class GatewayPeers {
 public:
  /// @param name unique name of this gateway, the key of its row.
  GatewayPeers(EventLoop* loop,
               MetadataStore* store,
               std::string name,
               std::string failure_domain,
               RandomHook random);
  ~GatewayPeers();
  GatewayPeers(const GatewayPeers&) = delete;
  GatewayPeers& operator=(const GatewayPeers&) = delete;

  void Start();
  /// Reports rows that were read; public for tests.
  void OnRows(const StoreRows& rows);

  /// Called when the list may have changed.
  void SetChangeHandler(std::function<void()> handler);

  /// @returns whether the list has been read.
  bool is_known() const { return m_is_known; }
  /// Position among the gateways of one failure domain, by name. Nothing is
  /// claimed before the list is known: rank 0 of 1.
  PeerRank RankInDomain() const;
  PeerRank RankInFleet() const;

 private:
  struct Peer {
    std::string failure_domain;
    uint64_t version = 0;
    // Reads in a row that have found the row unchanged.
    int unchanged_reads = 0;
  };

  void Beat();
  void ReadRows();

  EventLoop* m_loop;
  MetadataStore* m_store;
  const std::string m_name;
  const std::string m_failure_domain;
  const RandomHook m_random;
  std::function<void()> m_on_change;
  std::map<std::string, Peer> m_peers;
  bool m_is_known = false;
  TimerHandle m_timer;
  std::shared_ptr<GatewayPeers*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_PEERS_H_
