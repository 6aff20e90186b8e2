// Which gateways are alive, as far as the platform's store tells.
#ifndef BRAMLEYBANK_SRC_GATEWAY_PEERS_H_
#define BRAMLEYBANK_SRC_GATEWAY_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bramleybank/handle.h"
#include "gateway_member.h"
#include "hooks.h"
#include "metadata_store.h"

namespace bramleybank {

class EventLoop;

/// Keeps a row of its own in the store and reads those of the others, both at a
/// low rate. Shares of a budget follow from the number of gateways; that needs
/// no agreement, since the budget has room for a list that is some seconds old.
class GatewayPeers {
 public:
  /// @param self this gateway; its unique name is the key of its row.
  GatewayPeers(EventLoop* loop,
               MetadataStore* store,
               GatewayMember self,
               RandomHook random);
  ~GatewayPeers();
  GatewayPeers(const GatewayPeers&) = delete;
  GatewayPeers& operator=(const GatewayPeers&) = delete;

  void Start();
  /// Reports rows that were read; public for tests.
  /// @param is_beat whether the read belongs to a heartbeat; only then does an
  /// unchanged row speak against its gateway.
  void OnRows(const StoreRows& rows, bool is_beat = true);

  /// A gateway that is not listed has sent a message: reads the list again,
  /// unless that was done just now.
  void OnUnknownSender();

  /// Called when the list may have changed.
  void SetChangeHandler(std::function<void()> handler);

  /// @returns how many gateways are alive, this one included, as far as known.
  size_t count() const;
  /// @returns the gateways that are alive as far as known, this one included.
  std::vector<GatewayMember> members() const;
  /// @returns by how many gateways a budget is divided: a high number until the
  /// first list has been read.
  size_t budget_divisor() const;

 private:
  struct Peer {
    GatewayMember member;
    uint64_t version = 0;
    // Reads in a row that have found the row unchanged.
    int unchanged_reads = 0;
  };

  void Beat();
  Duration Interval() const;
  void ReadRows(bool is_beat);
  void ScheduleBeat();
  bool IsAlive(const Peer& peer) const;

  EventLoop* m_loop;
  MetadataStore* m_store;
  const GatewayMember m_self;
  const RandomHook m_random;
  std::function<void()> m_on_change;
  std::map<std::string, Peer> m_peers;
  bool m_is_known = false;
  TimePoint m_last_read;
  TimerHandle m_timer;
  std::shared_ptr<GatewayPeers*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_PEERS_H_
