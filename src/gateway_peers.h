// Tracks which gateways are alive, based on their rows in the metadata store.
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

/// Writes a heartbeat row to the store and reads the rows of the other
/// gateways, both at a low rate. The number of gateways determines this
/// gateway's share of a budget. This needs no consensus, since the budget
/// tolerates a list that is some seconds old.
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
  /// Processes rows that were read; public for tests.
  /// @param is_heartbeat whether the read belongs to a heartbeat; only then
  /// does an unchanged row count as a missed heartbeat of its gateway.
  void OnRows(const StoreRows& rows, bool is_heartbeat = true);

  /// A gateway that is not listed has sent a message. Reads the list again,
  /// unless it was read within kUnknownSenderReadInterval.
  void OnUnknownSender();
  /// The store has been restored from an older copy, which may lack the row of
  /// this gateway. Writes it again within kPeerRestoreSpread.
  void OnStoreRestored();

  /// Finds up to `count` other gateways with a peer address that are probably
  /// alive. Before the first list it reads the rows and takes those that were
  /// written last, since rows of gateways that are gone stay in the store.
  void FindOthers(
      size_t count,
      std::function<void(const std::vector<GatewayMember>&)> callback);

  /// Called when the list may have changed.
  void SetChangeHandler(std::function<void()> handler);

  /// @returns the number of gateways known to be alive, including this one.
  size_t count() const;
  /// @returns the gateways known to be alive, including this one.
  std::vector<GatewayMember> members() const;
  /// @returns members(), or nothing until the first list has been read.
  std::vector<GatewayMember> known_members() const;
  /// @returns the number of gateways that share a budget; kAssumedPeerCount
  /// until the first list has been read.
  size_t budget_divisor() const;

 private:
  struct Peer {
    GatewayMember member;
    StoreVersion version;
    // Highest number of the row in any era.
    uint64_t highest_number = 0;
    // Consecutive heartbeat reads that found the row unchanged.
    int unchanged_reads = 0;
    // The store was restored from a copy that lacks the row.
    bool is_row_lost = false;
  };

  void SendHeartbeat();
  void WriteRow(MetadataStore::WriteCallback callback);
  bool IsOwnRowLost(const StoreRows& rows) const;
  /// @returns whether the row shows that its gateway was alive after the last
  /// read. After a restore, an unchanged or older row shows nothing.
  static bool IsHeartbeat(const Peer& known, const StoreRow& row);
  Peer UpdatePeer(const Peer& known,
                  const StoreRow& row,
                  bool is_counted) const;
  /// Keeps the gateways whose rows a restore has taken away, until they have
  /// missed as many heartbeats as others.
  void KeepLostPeers(bool is_restored,
                     bool is_heartbeat,
                     std::map<std::string, Peer>* peers) const;
  Duration HeartbeatInterval() const;
  void ReadRows(bool is_heartbeat);
  void ScheduleHeartbeat();
  bool IsAlive(const Peer& peer) const;
  /// @returns the other gateways of `rows`, the last written ones first.
  std::vector<GatewayMember> OthersByVersion(const StoreRows& rows) const;

  EventLoop* m_loop;
  MetadataStore* m_store;
  const GatewayMember m_self;
  const RandomHook m_random;
  std::function<void()> m_on_change;
  std::map<std::string, Peer> m_peers;
  bool m_has_list = false;
  // Era of the last read.
  uint64_t m_era = 0;
  TimePoint m_last_read;
  TimerHandle m_timer;
  TimerHandle m_restore_timer;
  std::shared_ptr<GatewayPeers*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_PEERS_H_
