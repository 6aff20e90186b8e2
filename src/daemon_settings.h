// Settings of the daemon, read from an INI file.
#ifndef BRAMLEYBANK_SRC_DAEMON_SETTINGS_H_
#define BRAMLEYBANK_SRC_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config_ini_reader.h"
#include "hooks.h"

namespace bramleybank {

/// All settings of the daemon. docs/settings.md describes them.
struct DaemonSettings {
  // [node]
  std::string ip;
  uint16_t caller_port = 0;
  uint16_t operator_port = 0;
  uint16_t peer_port = 0;
  std::string region;
  std::string failure_domain;
  /// Distinguishes deployments that share a network.
  std::string cluster;
  // [platform]
  std::string platform_url;
  // [streams]
  bool copy_enabled = true;
  // [drain]
  Duration drain_time{0};

  std::string PeerAddress() const {
    return ip + ":" + std::to_string(peer_port);
  }

  friend bool operator==(const DaemonSettings&,
                         const DaemonSettings&) = default;
};

/// Reads all settings. The reader collects the errors.
DaemonSettings ReadDaemonSettings(IniReader* reader);

/// @param errors set to all errors of the file; the settings are usable only
/// when it is empty.
DaemonSettings ReadDaemonSettings(const std::string& file,
                                  std::vector<SettingError>* errors);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_DAEMON_SETTINGS_H_
