// One forwarded address: TCP listener, UDP socket and the faults of both.
#ifndef BRAMLEYBANK_TOOLS_FAULT_PROXY_PAIR_H_
#define BRAMLEYBANK_TOOLS_FAULT_PROXY_PAIR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <utility>

#include "fault_proxy_connection.h"
#include "fault_proxy_faults.h"
#include "fault_proxy_settings.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;

/// Forwards one address over TCP and UDP. Bandwidth limits apply to TCP only.
class ProxyPairServer {
 public:
  ProxyPairServer(EventLoop* loop, ProxyPair pair, RandomHook random);
  ~ProxyPairServer();
  ProxyPairServer(const ProxyPairServer&) = delete;
  ProxyPairServer& operator=(const ProxyPairServer&) = delete;

  /// @returns false when an address is not free; errno tells why.
  bool Start();
  void SetFaults(const ProxyFaults& faults);
  void ResetAll();

  nlohmann::json Stats() const;
  const ProxyFaults& faults() const { return m_faults; }
  const std::string& name() const { return m_pair.name; }

 private:
  // Source of datagrams: address and port in network order.
  using UdpSource = std::pair<uint32_t, uint16_t>;

  bool Listen();
  void StopListening();
  void Accept();
  void AddConnection(int client_fd);
  void OnClientDatagram();
  void OnTargetDatagram(const UdpSource& source, int fd);
  int FlowOf(const UdpSource& source);
  void Forward(ProxyWay way, std::string bytes, const UdpSource& source);

  EventLoop* m_loop;
  ProxyPair m_pair;
  ProxyFaults m_faults;
  ProxyFigures m_figures;
  ProxyConnection::Shared m_shared;
  int m_listen_fd = -1;
  int m_udp_fd = -1;
  uint64_t m_next_id = 1;
  std::unordered_map<uint64_t, std::unique_ptr<ProxyConnection>> m_connections;
  // Socket towards the target for each source of datagrams.
  std::map<UdpSource, int> m_flows;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_FAULT_PROXY_PAIR_H_
