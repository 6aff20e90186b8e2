// One TCP connection through the proxy: two sockets and a delayed queue of
// bytes for each way.
#ifndef BRAMLEYBANK_TOOLS_FAULT_PROXY_CONNECTION_H_
#define BRAMLEYBANK_TOOLS_FAULT_PROXY_CONNECTION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "bramleybank/handle.h"
#include "fault_proxy_faults.h"

namespace bramleybank {

class EventLoop;

/// What the connections of a pair share with it.
struct ProxyShared {
  EventLoop* loop = nullptr;
  RandomHook random;
  ProxyFaults faults{};
  /// Bytes forwarded each way.
  std::array<uint64_t, 2> tcp_bytes{};

  /// @returns the delay of something forwarded now.
  Duration DrawDelay() const;
};

/// Forwards bytes between a client and a target under the pair's faults.
class ProxyConnection {
 public:
  /// Takes over both sockets; the target's may still be connecting. A target
  /// of -1 leaves the connection half open.
  /// @param on_end called once from the event loop; destroys the object.
  ProxyConnection(ProxyShared* shared,
                  int client_fd,
                  int target_fd,
                  std::function<void()> on_end);
  ~ProxyConnection();
  ProxyConnection(const ProxyConnection&) = delete;
  ProxyConnection& operator=(const ProxyConnection&) = delete;

  /// Ends the connection with a TCP reset on both sides.
  void Reset();
  /// Forwards what is due; called after the faults have changed.
  void Pump(size_t way);

 private:
  /// Bytes, or without any the end of the stream.
  struct Part {
    TimePoint due;
    std::string bytes;
  };
  struct Pipe {
    std::deque<Part> parts;
    size_t queued = 0;
    uint64_t sent = 0;
    TimePoint last_due;
    // When the link has carried what it was given, at limited bandwidth.
    TimePoint busy_until;
    TimerHandle timer;
    bool has_ended = false;
    bool is_blocked = false;
  };

  void Read(size_t side);
  void Queue(size_t way, std::string bytes);
  /// @returns whether the next part may be sent.
  bool SendFront(size_t way);
  void UpdateWatches();
  void End();

  ProxyShared* m_shared;
  // Client and target; way w leads from side w to side 1 - w.
  std::array<int, 2> m_fds;
  std::array<Pipe, 2> m_pipes;
  std::function<void()> m_on_end;
  bool m_ended = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_FAULT_PROXY_CONNECTION_H_
