// Reads and checks the settings of a gateway.
#include "gateway_settings.h"

#include <cmath>
#include <sstream>

#include "tcp_address.h"

namespace bramleybank {
namespace {

// The platform's budget is 0.8 of the requests of all nodes in any window. The
// rest covers windows that differ from those of this node.
constexpr double kDefaultRetryShare = 0.6;
constexpr double kDefaultRetryExtra = 100;
constexpr double kMaxRetryExtra = 100000;
constexpr int64_t kDefaultMaxStoreSilenceMs = 4000;
constexpr int64_t kMinMaxStoreSilenceMs = 2000;
constexpr int64_t kMaxMaxStoreSilenceMs = 60000;
constexpr double kDefaultStopGraceSeconds = 8;
constexpr double kMaxStopGraceSeconds = 3600;
constexpr double kMicrosecondsPerSecond = 1e6;

std::string ReadAddress(IniReader* reader, const char* key) {
  std::string address = reader->RequiredString("listen", key);
  if (!address.empty() && !ParseTcpAddress(address)) {
    reader->AddError("listen", key, "an IPv4 address and a port, as ip:port");
  }
  return address;
}

/// Reads "domain region, domain region".
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
      reader->AddError("node", "regions", "pairs of failure domain and region");
    }
  }
  return regions;
}

}  // namespace

bool IsGatewayFile(const std::string& file) {
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
  const std::string store = reader->RequiredString("platform", "store");
  if (!store.empty() && !ParseTcpAddress(store)) {
    reader->AddError("platform", "store", "ip:port");
  }
  settings.store_url = "http://" + store;
  settings.max_store_silence = std::chrono::milliseconds(
      reader->Int("platform", "max_silence_ms", kDefaultMaxStoreSilenceMs,
                  kMinMaxStoreSilenceMs, kMaxMaxStoreSilenceMs));
  const double grace =
      reader->Double("drain", "stop_grace_s", kDefaultStopGraceSeconds, 1,
                     kMaxStopGraceSeconds);
  settings.stop_grace = Duration(std::llround(grace * kMicrosecondsPerSecond));
  settings.retry_share =
      reader->Double("retries", "share", kDefaultRetryShare, 0, 1);
  settings.retry_extra =
      reader->Double("retries", "extra", kDefaultRetryExtra, 0, kMaxRetryExtra);
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
