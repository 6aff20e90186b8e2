// Settings of the fault-injecting proxy.
#ifndef BRAMLEYBANK_TOOLS_FAULT_PROXY_SETTINGS_H_
#define BRAMLEYBANK_TOOLS_FAULT_PROXY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bramleybank {

struct SettingError;

/// An IPv4 address with a port.
struct ProxyAddress {
  std::string ip;
  uint16_t port = 0;

  friend bool operator==(const ProxyAddress&, const ProxyAddress&) = default;
};

/// One forwarded address, over TCP and UDP.
struct ProxyPair {
  std::string name;
  ProxyAddress listen;
  ProxyAddress target;

  friend bool operator==(const ProxyPair&, const ProxyPair&) = default;
};

/// `[control] ip=, port=, seed=` and `[pairs] names=a,b`; for each name a
/// section `[<name>] listen=ip:port, target=ip:port`.
struct ProxySettings {
  std::string control_ip = "127.0.0.1";
  uint16_t control_port = 9900;
  uint64_t seed = 1;
  std::vector<ProxyPair> pairs;
};

/// @param errors set to all faults of the file.
ProxySettings ReadProxySettings(const std::string& file,
                                std::vector<SettingError>* errors);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_FAULT_PROXY_SETTINGS_H_
