// Settings of a daemon that runs as a gateway on the users' platform.
#ifndef BRAMLEYBANK_SRC_GATEWAY_SETTINGS_H_
#define BRAMLEYBANK_SRC_GATEWAY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "config_ini_reader.h"
#include "endpoint_picker.h"
#include "hooks.h"

namespace bramleybank {

/// Limits on what the gateway holds for other processes. A value of 0 derives
/// the limit from the VM's memory or from the limit on file descriptors.
struct MemorySettings {
  // [memory]
  size_t budget_bytes = 0;
  // [callers]
  size_t max_callers = 0;
  size_t reserved_descriptors = 0;
  /// Least average rate, per second, of a request that takes longer than the
  /// idle timeout to arrive.
  size_t min_caller_rate = 64;
  /// Unread responses of a caller from which on its next request waits.
  size_t max_unread_bytes = kMaxCallerBacklogBytes;
  // [operators]
  size_t max_operator_connections = 0;
  // [peers]
  size_t max_peer_connections = 0;
  /// Requests that all peers together may have open.
  size_t max_peer_requests = 4096;

  friend bool operator==(const MemorySettings&,
                         const MemorySettings&) = default;
};

/// All settings; docs/settings.md describes each.
struct GatewaySettings {
  // [node]
  std::string name;
  GatewayLocation place;
  // [listen], each ip:port
  std::string caller_address;
  std::string ready_address;
  std::string metrics_address;
  /// Port for other gateways; empty when this gateway neither queries nor
  /// serves them.
  std::string peer_address;
  // [platform]
  std::string store_url;
  /// A store that does not respond is detected within this time.
  Duration max_store_silence{0};
  /// A new configuration takes effect at every gateway within this time.
  Duration config_bound{0};
  /// An endpoint that shuts down gets no new requests after this time.
  Duration leave_bound{0};
  // [drain]
  /// Time from the stop signal until the process is killed.
  Duration stop_grace{0};
  // [retries]
  /// Retries allowed per first attempt of a request.
  double retry_share = 0;
  /// Retries allowed beyond that share, for all gateways together within 10 s.
  double retry_extra = 0;
  // [placement]
  /// Gateways tell each other the load of engines and choose engines by it.
  bool share_loads = false;
  // [rollouts]
  /// Share of a service's requests that a version under evaluation gets, and
  /// the number of requests of each route allowed beyond that share.
  double probe_share = 0;
  double probe_extra = 0;
  MemorySettings memory;

  friend bool operator==(const GatewaySettings&,
                         const GatewaySettings&) = default;
};

/// @returns whether the file contains the settings of a gateway.
bool IsGatewaySettingsFile(const std::string& file);

/// Reads all settings; errors are collected by the reader.
GatewaySettings ReadGatewaySettings(IniReader* reader);

/// @param errors gets every error of the file; the settings are usable only
/// when it stays empty.
GatewaySettings ReadGatewaySettings(const std::string& file,
                                    std::vector<SettingError>* errors);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_SETTINGS_H_
