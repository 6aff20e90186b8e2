// Reads and checks the settings of a gateway.
#include "gateway_settings.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "tcp_address.h"

namespace bramleybank {
namespace {

// The platform allows retries up to 0.8 of the requests of all nodes in any
// time window. The default is lower, because the windows of this node may
// differ from the platform's.
constexpr double kDefaultRetryShare = 0.6;
constexpr double kDefaultRetryExtra = 100;
// Fractions of the platform's limits that this node uses by default.
constexpr double kRetryShareFraction = 0.75;
constexpr double kRetryExtraFraction = 2.0 / 3;
constexpr double kProbeShareFraction = 0.6;
constexpr double kProbeExtraFraction = 0.2;
constexpr double kDefaultMaxProbeShare = 0.1;
constexpr double kDefaultMaxProbeExtra = 50;
constexpr int64_t kDefaultPropagationBoundMs = 2500;
constexpr int64_t kMinPropagationBoundMs = 500;
constexpr int64_t kMaxPropagationBoundMs = 60000;
constexpr double kMaxRetryShare = 100;
constexpr double kMaxRetryExtra = 100000;
constexpr int64_t kDefaultMaxStoreSilenceMs = 4000;
constexpr int64_t kMinMaxStoreSilenceMs = 2000;
constexpr int64_t kMaxMaxStoreSilenceMs = 60000;
constexpr double kDefaultStopGraceSeconds = 8;
constexpr double kMaxStopGraceSeconds = 3600;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr int64_t kBytesPerMb = 1024 * 1024;
constexpr int64_t kBytesPerKb = 1024;
constexpr int64_t kMaxBudgetMb = 1024 * 1024;
constexpr int64_t kMaxConnectionCount = 1000000;
constexpr int64_t kMaxUnreadKb = 64 * 1024;

std::string ReadAddress(IniReader* reader, const char* key) {
  std::string address = reader->RequiredString("listen", key);
  if (!address.empty() && !ParseTcpAddress(address)) {
    reader->AddError("listen", key, "an IPv4 address and a port, as ip:port");
  }
  return address;
}

/// Reads a list of the form "domain region, domain region".
std::map<std::string, std::string, std::less<>> ReadRegions(IniReader* reader) {
  std::map<std::string, std::string, std::less<>> regions;
  std::istringstream list(reader->String("node", "regions", ""));
  std::string item;
  while (std::getline(list, item, ',')) {
    std::istringstream words(item);
    std::string domain;
    std::string region;
    if (words >> domain >> region) {
      regions.emplace(domain, region);
    } else if (!item.empty()) {
      reader->AddError(
          "node", "regions",
          "pairs of failure domain and region, separated by commas");
    }
  }
  return regions;
}

/// `max_share` and `max_extra` are the platform's limits for all nodes
/// together. A node uses a fraction of the retry limits unless `share` and
/// `extra` override it, and always a fraction of the rollout limits.
void ReadShares(IniReader* reader, GatewaySettings* settings) {
  const double max_share = reader->Double(
      "retries", "max_share", kDefaultRetryShare / kRetryShareFraction, 0,
      kMaxRetryShare);
  const double max_extra = reader->Double(
      "retries", "max_extra", kDefaultRetryExtra / kRetryExtraFraction, 0,
      kMaxRetryExtra);
  settings->retry_share = reader->Double(
      "retries", "share", std::min(1.0, max_share * kRetryShareFraction), 0, 1);
  settings->retry_extra = reader->Double(
      "retries", "extra", max_extra * kRetryExtraFraction, 0, kMaxRetryExtra);
  settings->probe_share =
      kProbeShareFraction *
      reader->Double("rollouts", "max_share", kDefaultMaxProbeShare, 0, 1);
  settings->probe_extra =
      kProbeExtraFraction * reader->Double("rollouts", "max_extra",
                                           kDefaultMaxProbeExtra, 0,
                                           kMaxRetryExtra);
}

MemorySettings ReadMemorySettings(IniReader* reader) {
  const auto read = [reader](const char* section, const char* key,
                             size_t default_value, int64_t min, int64_t max) {
    return static_cast<size_t>(reader->Int(
        section, key, static_cast<int64_t>(default_value), min, max));
  };
  MemorySettings settings;
  settings.budget_bytes =
      read("memory", "budget_mb", 0, 0, kMaxBudgetMb) * kBytesPerMb;
  settings.max_callers =
      read("callers", "max_connections", 0, 0, kMaxConnectionCount);
  settings.reserved_descriptors =
      read("callers", "reserved_descriptors", 0, 0, kMaxConnectionCount);
  settings.min_caller_rate = read("callers", "min_bytes_per_s",
                                  settings.min_caller_rate, 0, kBytesPerMb);
  settings.max_unread_bytes =
      read("callers", "max_unread_kb", settings.max_unread_bytes / kBytesPerKb,
           1, kMaxUnreadKb) *
      kBytesPerKb;
  settings.max_operator_connections =
      read("operators", "max_connections", 0, 0, kMaxConnectionCount);
  settings.max_peer_connections =
      read("peers", "max_connections", 0, 0, kMaxConnectionCount);
  settings.max_peer_requests =
      read("peers", "max_requests", settings.max_peer_requests, 1,
           kMaxConnectionCount);
  return settings;
}

}  // namespace

bool IsGatewaySettingsFile(const std::string& file) {
  IniReader reader(file);
  return !reader.String("listen", "caller", "").empty();
}

GatewaySettings ReadGatewaySettings(IniReader* reader) {
  GatewaySettings settings;
  settings.name = reader->RequiredString("node", "name");
  settings.place = {
      .failure_domain = reader->RequiredString("node", "failure_domain"),
      .region = reader->RequiredString("node", "region"),
      .regions = ReadRegions(reader)};
  settings.caller_address = ReadAddress(reader, "caller");
  settings.ready_address = ReadAddress(reader, "ready");
  settings.metrics_address = ReadAddress(reader, "metrics");
  if (!reader->String("listen", "peer", "").empty()) {
    settings.peer_address = ReadAddress(reader, "peer");
  }
  const std::string store = reader->RequiredString("platform", "store");
  if (!store.empty() && !ParseTcpAddress(store)) {
    reader->AddError("platform", "store",
                     "an IPv4 address and a port, as ip:port");
  }
  settings.store_url = "http://" + store;
  settings.max_store_silence = std::chrono::milliseconds(
      reader->Int("platform", "max_silence_ms", kDefaultMaxStoreSilenceMs,
                  kMinMaxStoreSilenceMs, kMaxMaxStoreSilenceMs));
  settings.config_bound = std::chrono::milliseconds(
      reader->Int("platform", "config_bound_ms", kDefaultPropagationBoundMs,
                  kMinPropagationBoundMs, kMaxPropagationBoundMs));
  settings.leave_bound = std::chrono::milliseconds(
      reader->Int("platform", "leave_bound_ms", kDefaultPropagationBoundMs,
                  kMinPropagationBoundMs, kMaxPropagationBoundMs));
  const double grace =
      reader->Double("drain", "stop_grace_s", kDefaultStopGraceSeconds, 1,
                     kMaxStopGraceSeconds);
  settings.stop_grace = Duration(std::llround(grace * kMicrosecondsPerSecond));
  settings.share_loads = reader->Bool("placement", "share_loads", false);
  ReadShares(reader, &settings);
  settings.memory = ReadMemorySettings(reader);
  return settings;
}

GatewaySettings ReadGatewaySettings(const std::string& file,
                                    std::vector<SettingError>* errors) {
  IniReader reader(file);
  GatewaySettings settings = ReadGatewaySettings(&reader);
  *errors = reader.Finish();
  return settings;
}

}  // namespace bramleybank
