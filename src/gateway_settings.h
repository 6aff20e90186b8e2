// Settings of a daemon that serves as a gateway on the users' platform.
#ifndef BRAMLEYBANK_SRC_GATEWAY_SETTINGS_H_
#define BRAMLEYBANK_SRC_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config_ini_reader.h"
#include "endpoint_picker.h"
#include "hooks.h"

namespace bramleybank {

/// All settings; docs/settings.md describes each.
struct GatewaySettings {
  // [node]
  std::string name;
  GatewayPlace place;
  // [listen], each ip:port
  std::string caller_address;
  std::string ready_address;
  std::string metrics_address;
  /// Port for other gateways; empty when this one neither asks nor serves them.
  std::string peer_address;
  // [platform]
  std::string store_url;
  /// A store that hangs is found within this time.
  Duration max_store_silence{0};
  /// A configuration is in force everywhere within this time.
  Duration config_bound{0};
  /// An endpoint that leaves gets no new work after this time.
  Duration leave_bound{0};
  // [drain]
  /// The process is killed this long after the signal to stop.
  Duration stop_grace{0};
  // [retries]
  /// Sends beyond the first of each request, per first send.
  double retry_share = 0;
  /// Sends beyond that, of all gateways together within 10 s.
  double retry_extra = 0;
  // [rollouts]
  /// Share of a service's requests that an unproven version gets, and requests
  /// of each route beyond it.
  double probe_share = 0;
  double probe_extra = 0;

  friend bool operator==(const GatewaySettings&,
                         const GatewaySettings&) = default;
};

/// @returns whether the file has the settings of a gateway.
bool IsGatewaySettingsFile(const std::string& file);

/// Reads all settings; faults are kept by the reader.
GatewaySettings ReadGatewaySettings(IniReader* reader);

/// @param errors gets every fault of the file; the settings are usable only
/// when it stays empty.
GatewaySettings ReadGatewaySettings(const std::string& file,
                                    std::vector<SettingError>* errors);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_SETTINGS_H_
