// One TCP connection through the proxy: two sockets and a delayed queue of
// bytes for each direction.
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

/// State that a pair shares with its connections.
struct ProxyPairState {
  EventLoop* loop = nullptr;
  RandomHook random;
  ProxyFaults faults{};
  /// Bytes forwarded in each direction.
  std::array<uint64_t, 2> tcp_bytes{};

  /// @returns the delay, with jitter, of data that is forwarded now.
  Duration DrawDelay() const;
};

/// Forwards bytes between a client and a target under the pair's faults.
class ProxyConnection {
 public:
  /// Takes ownership of both sockets; the target's may still be connecting. A
  /// `target_fd` of -1 leaves the connection half open.
  /// @param on_end called once from the event loop; it destroys the object.
  ProxyConnection(ProxyPairState* state,
                  int client_fd,
                  int target_fd,
                  std::function<void()> on_end);
  ~ProxyConnection();
  ProxyConnection(const ProxyConnection&) = delete;
  ProxyConnection& operator=(const ProxyConnection&) = delete;

  /// Ends the connection with a TCP reset on both sides.
  void Reset();
  /// Forwards nothing from now on and reports no end of either side, as when a
  /// device on the way has lost the connection.
  void Silence();
  /// Forwards the chunks that are due. Also called after the faults have
  /// changed.
  void Pump(size_t direction);

 private:
  /// Bytes to forward. An empty chunk marks the end of the stream.
  struct Chunk {
    TimePoint due;
    std::string bytes;
  };
  struct Pipe {
    std::deque<Chunk> chunks;
    size_t queued_bytes = 0;
    uint64_t sent_bytes = 0;
    TimePoint latest_due;
    // Time at which the link has transmitted all queued bytes at the limited
    // bandwidth.
    TimePoint busy_until;
    TimerHandle timer;
    bool has_ended = false;
    bool is_write_blocked = false;
  };

  void Read(size_t side);
  void Queue(size_t direction, std::string bytes);
  /// @returns whether the next chunk may be sent.
  bool SendFront(size_t direction);
  void UpdateWatches();
  void End();

  ProxyPairState* m_state;
  // Client (0) and target (1). Direction d leads from side d to side 1 - d.
  std::array<int, 2> m_fds;
  std::array<Pipe, 2> m_pipes;
  std::function<void()> m_on_end;
  bool m_ended = false;
  bool m_is_silent = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_FAULT_PROXY_CONNECTION_H_
