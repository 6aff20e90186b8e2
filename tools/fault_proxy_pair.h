// One forwarded address: TCP listener, UDP socket and the faults of both.
#ifndef BRAMLEYBANK_TOOLS_FAULT_PROXY_PAIR_H_
#define BRAMLEYBANK_TOOLS_FAULT_PROXY_PAIR_H_

#include <netinet/in.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fault_proxy_connection.h"

namespace bramleybank {

/// One forwarded address, over TCP and UDP.
struct ProxyPair {
  std::string name;
  sockaddr_in listen{};
  sockaddr_in target{};
};

/// Forwards one address. Lives as long as the event loop runs.
class ProxyPairServer {
 public:
  ProxyPairServer(EventLoop* loop, ProxyPair pair, RandomHook random);
  ~ProxyPairServer();
  ProxyPairServer(const ProxyPairServer&) = delete;
  ProxyPairServer& operator=(const ProxyPairServer&) = delete;

  /// @returns false if the address cannot be bound.
  bool Start();
  /// Applies a control message; see ApplyProxyFaults(). "reset_all" resets all
  /// connections, "silence_all" silences those that are open for good.
  /// @returns an error message, or an empty string.
  std::string Control(const nlohmann::json& message);

  nlohmann::json Stats() const;
  const std::string& name() const { return m_pair.name; }

 private:
  bool Listen();
  void Accept();
  /// Forwards one datagram from `fd` to `to`.
  void Receive(size_t direction, int fd, const sockaddr_in& to);
  /// @returns the socket towards the target for `source`, or -1 if there are
  /// too many flows.
  int FindOrOpenFlow(const sockaddr_in& source);

  ProxyPair m_pair;
  ProxyPairState m_state;
  std::array<uint64_t, 2> m_udp_bytes{};
  uint64_t m_datagrams_dropped = 0;
  int m_listen_fd = -1;
  int m_udp_fd = -1;
  uint64_t m_accepted = 0;
  std::map<uint64_t, std::unique_ptr<ProxyConnection>> m_connections;
  // Socket towards the target for each source (address, port) of datagrams.
  std::map<std::pair<uint32_t, uint16_t>, int> m_flows;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_FAULT_PROXY_PAIR_H_
