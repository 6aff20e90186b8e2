// Settings of the platform stand-in.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_SETTINGS_H_
#define BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace bramleybank {

class IniReader;

/// Settings of the platform stand-in.
struct PlatformSettings {
  std::string ip;
  uint16_t port = 0;
  /// A second port for /control and /stats that stays open while the platform
  /// refuses connections; 0 means none.
  uint16_t control_port = 0;
  /// Requests per second above which further requests are queued. A batch
  /// counts as one write request unless batch_counts_rows is set.
  double writes_per_s = 400;
  double reads_per_s = 2000;
  size_t max_queue = 200;
  bool batch_counts_rows = false;
  /// Rate limit of the weight store, shared by all readers.
  double weight_bytes_per_s = 50e6;
  /// Delay until a changed VM list appears in GET /vms.
  int64_t vm_lag_ms = 2000;

  friend bool operator==(const PlatformSettings&,
                         const PlatformSettings&) = default;
};

/// Reads all settings. The reader collects the errors.
PlatformSettings ReadPlatformSettings(IniReader* reader);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_SETTINGS_H_
