// Reads the settings of the platform stand-in.
#include "standin_platform_settings.h"

#include "config_ini_reader.h"

namespace bramleybank {

PlatformSettings ReadPlatformSettings(IniReader* reader) {
  PlatformSettings settings;
  settings.ip = reader->Ip("listen", "ip", "127.0.0.1");
  settings.port =
      static_cast<uint16_t>(reader->Int("listen", "port", 7300, 1, 65535));
  settings.control_port =
      static_cast<uint16_t>(reader->Int("listen", "control_port", 0, 0, 65535));
  settings.writes_per_s =
      reader->Double("limits", "writes_per_s", settings.writes_per_s, 0.1, 1e6);
  settings.reads_per_s =
      reader->Double("limits", "reads_per_s", settings.reads_per_s, 0.1, 1e6);
  settings.max_queue =
      static_cast<size_t>(reader->Int("limits", "max_queue", 200, 0, 100000));
  settings.batch_counts_rows =
      reader->Bool("limits", "batch_counts_rows", false);
  settings.weight_bytes_per_s = reader->Double(
      "limits", "weight_bytes_per_s", settings.weight_bytes_per_s, 1, 1e12);
  settings.vm_lag_ms = reader->Int("vms", "lag_ms", 2000, 0, 3600000);
  return settings;
}

}  // namespace bramleybank
