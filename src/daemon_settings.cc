// Reads and validates the daemon's settings.
#include "daemon_settings.h"

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

constexpr int64_t kMaxPort = 65535;
// A drain that is shorter than the service timeout of 30 s would cut off calls.
constexpr int64_t kMinDrainSeconds = 35;
constexpr int64_t kDefaultDrainSeconds = 60;
constexpr int64_t kMaxDrainSeconds = 3600;

uint16_t ReadPort(IniReader* reader, const char* key, int64_t default_port) {
  return static_cast<uint16_t>(
      reader->Int("node", key, default_port, 1, kMaxPort));
}

// Membership messages truncate longer names, so two names could become equal.
std::string ReadDomainName(IniReader* reader, const char* key) {
  std::string name = reader->RequiredString("node", key);
  if (name.size() > kMaxRegionNameBytes) {
    reader->AddError(
        "node", key,
        "at most " + std::to_string(kMaxRegionNameBytes) + " bytes");
  }
  return name;
}

}  // namespace

DaemonSettings ReadDaemonSettings(IniReader* reader) {
  DaemonSettings settings;
  settings.ip = reader->Ip("node", "ip", "127.0.0.1");
  if (settings.ip == "0.0.0.0") {
    // Other daemons connect to this address.
    reader->AddError("node", "ip", "the VM's own IPv4 address");
  }
  settings.caller_port = ReadPort(reader, "caller_port", 7101);
  settings.operator_port = ReadPort(reader, "operator_port", 7102);
  settings.peer_port = ReadPort(reader, "peer_port", 7103);
  if (settings.caller_port == settings.operator_port ||
      settings.caller_port == settings.peer_port ||
      settings.operator_port == settings.peer_port) {
    reader->AddError("node", "operator_port",
                     "caller_port, operator_port and peer_port must differ");
  }
  settings.region = ReadDomainName(reader, "region");
  settings.failure_domain = ReadDomainName(reader, "failure_domain");
  settings.cluster = reader->String("node", "cluster", "bramleybank");
  settings.platform_url = reader->RequiredString("platform", "url");
  if (!settings.platform_url.empty() &&
      !settings.platform_url.starts_with("http://") &&
      !settings.platform_url.starts_with("https://")) {
    reader->AddError("platform", "url", "an http:// or https:// URL");
  }
  settings.copy_enabled = reader->Bool("streams", "copy", true);
  settings.drain_time =
      std::chrono::seconds(reader->Int("drain", "time_s", kDefaultDrainSeconds,
                                       kMinDrainSeconds, kMaxDrainSeconds));
  return settings;
}

DaemonSettings ReadDaemonSettings(const std::string& file,
                                  std::vector<SettingError>* errors) {
  IniReader reader(file);
  DaemonSettings settings = ReadDaemonSettings(&reader);
  *errors = reader.Finish();
  return settings;
}

}  // namespace bramleybank
