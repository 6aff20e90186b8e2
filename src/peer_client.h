// Sends requests to other daemons over HTTP/2.
#ifndef BRAMLEYBANK_SRC_PEER_CLIENT_H_
#define BRAMLEYBANK_SRC_PEER_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "bramleybank/limits.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;

enum class PeerStatus {
  kOk,
  /// No connection, or it was lost before the reply was complete. The peer may
  /// have handled the request.
  kUnreachable,
  /// No reply within the timeout. The peer may have handled the request.
  kTimedOut,
  /// The peer, or a limit on this side, refused the request.
  kRefused,
};

/// How a call ended.
struct PeerReply {
  PeerStatus status = PeerStatus::kUnreachable;
  /// Status of the reply; 0 when none arrived.
  int http_status = 0;
  /// Set when the status is kOk.
  std::string body = {};
  /// Why the call failed.
  std::string detail = {};

  friend bool operator==(const PeerReply&, const PeerReply&) = default;
};

struct PeerClientOptions {
  size_t max_queued_bytes = kMaxPeerQueuedBytes;
  Duration idle_timeout = kPeerIdleTimeout;
  /// First stream id of a connection; tests start near the last one.
  int32_t first_stream = 1;
};

/// Keeps one connection to each peer that is in use; calls to a peer share it.
class PeerClient {
 public:
  using Callback = std::function<void(const PeerReply&)>;

  explicit PeerClient(EventLoop* loop, const PeerClientOptions& options = {});
  /// Drops open calls without a callback.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends a request. The callback runs exactly once, never inside this call.
  /// @param peer_address "ip:port" with an IPv4 address.
  /// @param timeout limit on the whole call, including the connect.
  void Call(const std::string& peer_address,
            const std::string& path,
            std::string body,
            Duration timeout,
            Callback callback);

  size_t open_connections() const;
  size_t open_calls() const;
  /// Bytes since the start, without TCP headers.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PEER_CLIENT_H_
