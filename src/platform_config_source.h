// Reads and writes the configuration on the platform over HTTP.
#ifndef BRAMLEYBANK_SRC_PLATFORM_CONFIG_SOURCE_H_
#define BRAMLEYBANK_SRC_PLATFORM_CONFIG_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "bramleybank/handle.h"
#include "config_sync.h"

namespace bramleybank {

class HttpClient;
struct HttpClientRequest;
struct HttpOutcome;

/// The log by `GET /table-scan`, the snapshot as the object `config/snapshot`.
class PlatformConfigSource {
 public:
  /// @param client outlives this object.
  /// @param platform_url without a final slash.
  PlatformConfigSource(HttpClient* client, std::string platform_url);
  ~PlatformConfigSource();
  PlatformConfigSource(const PlatformConfigSource&) = delete;
  PlatformConfigSource& operator=(const PlatformConfigSource&) = delete;

  /// As ConfigSyncHooks::scan_log. Nothing when the platform did not answer or
  /// the answer is malformed.
  void ScanLog(uint64_t after,
               size_t limit,
               ConfigSyncHooks::ScanCallback callback);
  void ReadSnapshot(ConfigSyncHooks::SnapshotCallback callback);
  /// @param callback told whether the platform has confirmed the write.
  void WriteSnapshot(const std::string& text,
                     std::function<void(bool written)> callback);

 private:
  using DoneCallback = std::function<void(const HttpOutcome& outcome)>;

  void Start(HttpClientRequest request, DoneCallback done);

  HttpClient* m_client;
  std::string m_url;
  // Open exchanges, cancelled with this object.
  std::set<uint64_t> m_transfers;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PLATFORM_CONFIG_SOURCE_H_
