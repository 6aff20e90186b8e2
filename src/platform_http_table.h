// The platform's table over HTTP. Writes that arrive close together share one
// batch request.
#ifndef BRAMLEYBANK_SRC_PLATFORM_HTTP_TABLE_H_
#define BRAMLEYBANK_SRC_PLATFORM_HTTP_TABLE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/handle.h"
#include "platform_table.h"

namespace bramleybank {

class EventLoop;
class HttpClient;
struct HttpOutcome;

/// Implements PlatformTable with the protocol of section 9.1 of the design
/// page. Requests time out after kPlatformTimeout. Keys and values must be
/// UTF-8.
class PlatformHttpTable : public PlatformTable {
 public:
  /// @param base_url `http://ip:port` of the platform.
  /// @remarks loop and client must outlive this object.
  PlatformHttpTable(EventLoop* loop, HttpClient* client, std::string base_url);
  ~PlatformHttpTable() override;
  PlatformHttpTable(const PlatformHttpTable&) = delete;
  PlatformHttpTable& operator=(const PlatformHttpTable&) = delete;

  void Read(std::string_view key, ReadCallback callback) override;
  void Write(std::string_view key,
             std::string_view value,
             uint64_t expected_version,
             WriteCallback callback) override;

 private:
  struct PendingWrite {
    std::string key;
    std::string value;
    uint64_t expected_version;
    WriteCallback callback;
  };
  using Batch = std::vector<PendingWrite>;

  void Flush();
  static void FinishBatch(const Batch& batch, const HttpOutcome& outcome);

  EventLoop* m_loop;
  HttpClient* m_client;
  std::string m_base_url;
  Batch m_batch;
  size_t m_batch_bytes = 0;
  // Valid while m_batch is being filled.
  TimerHandle m_flush_timer;
  // Expires with this object, so that answers that arrive later are ignored.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PLATFORM_HTTP_TABLE_H_
