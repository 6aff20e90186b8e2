// Serves requests of other daemons over HTTP/2.
#ifndef BRAMLEYBANK_SRC_PEER_SERVER_H_
#define BRAMLEYBANK_SRC_PEER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bramleybank/limits.h"
#include "bramleybank/result_code.h"

namespace bramleybank {

class EventLoop;
class MemoryBudget;

/// Limits of one server.
struct PeerServerOptions {
  /// Larger requests are refused with status 413.
  size_t max_body_bytes = kMaxPeerBodyBytes;
  /// Limit on the total size of partly received bodies. Requests that would
  /// exceed it are refused with status 503.
  size_t max_received_bytes = kMaxPeerServerBytes;
  unsigned max_connections = kMaxPeerConnections;
  /// Requests that are open on all connections; further ones are reset.
  size_t max_requests = std::numeric_limits<size_t>::max();
  /// Budget for bodies that are being received; null for no limit.
  MemoryBudget* memory = nullptr;
};

/// Accepts connections and passes complete requests to a handler. Several
/// requests of one connection may be open; they may be answered in any order.
class PeerServer {
 public:
  /// Sends the reply; later calls, and calls after the connection is lost,
  /// have no effect. May be called within the handler or later.
  using ReplyFn = std::function<void(int status, std::string body)>;
  /// @param body valid during the call only.
  using Handler = std::function<
      void(const std::string& path, std::string_view body, ReplyFn reply)>;

  explicit PeerServer(EventLoop* loop, const PeerServerOptions& options = {});
  /// Closes all connections.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Listens on an IPv4 address. Port 0 selects a free port.
  /// @param handler must not destroy the server.
  /// @returns the port, or nothing with last_reason() set.
  std::optional<uint16_t> Start(const std::string& ip,
                                uint16_t port,
                                Handler handler);

  size_t open_connections() const;
  /// Requests that were refused because of a limit on memory or on requests.
  uint64_t refused_requests() const;
  /// Bytes since the start, without TCP headers.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;
  const Reason& last_reason() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PEER_SERVER_H_
