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

/// Reads the log by `GET /table-scan`, and the snapshot from the object
/// `config/snapshot`.
class PlatformConfigSource {
 public:
  /// @param client must outlive this object.
  /// @param platform_url without a trailing slash.
  PlatformConfigSource(HttpClient* client, std::string platform_url);
  ~PlatformConfigSource();
  PlatformConfigSource(const PlatformConfigSource&) = delete;
  PlatformConfigSource& operator=(const PlatformConfigSource&) = delete;

  /// See ConfigSyncHooks::scan_log. The callback receives nullopt when the
  /// platform did not answer, or its answer is malformed.
  void ScanLog(uint64_t after,
               size_t limit,
               ConfigSyncHooks::ScanCallback callback);
  void ReadSnapshot(ConfigSyncHooks::SnapshotCallback callback);
  /// @param callback receives whether the platform has confirmed the write.
  void WriteSnapshot(const std::string& text,
                     std::function<void(bool written)> callback);

 private:
  using DoneCallback = std::function<void(const HttpOutcome& outcome)>;

  void Start(HttpClientRequest request, DoneCallback done);

  HttpClient* m_client;
  std::string m_url;
  // Transfers in flight; the destructor cancels them.
  std::set<uint64_t> m_transfers;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PLATFORM_CONFIG_SOURCE_H_
