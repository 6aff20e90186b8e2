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
#include "hooks.h"

namespace bramleybank {

class EventLoop;

/// Figures of one pair, indexed by ProxyWay.
struct ProxyFigures {
  std::array<uint64_t, 2> tcp_bytes{};
  std::array<uint64_t, 2> udp_bytes{};
  uint64_t connections = 0;
  uint64_t datagrams_dropped = 0;
};

/// Forwards bytes between a client and a target under the pair's faults.
class ProxyConnection {
 public:
  /// What a connection shares with its pair; outlives the connection.
  struct Shared {
    EventLoop* loop = nullptr;
    const ProxyFaults* faults = nullptr;
    ProxyFigures* figures = nullptr;
    RandomHook random;
  };

  /// Takes over both sockets; the target's may still be connecting. A target
  /// of -1 leaves the connection half open.
  /// @param on_end called once, not from the constructor; destroy then.
  ProxyConnection(const Shared* shared,
                  int client_fd,
                  int target_fd,
                  std::function<void()> on_end);
  ~ProxyConnection();
  ProxyConnection(const ProxyConnection&) = delete;
  ProxyConnection& operator=(const ProxyConnection&) = delete;

  /// Ends the connection with a TCP reset on both sides.
  void Reset();
  /// Goes on after the pair's faults have changed.
  void OnFaultsChanged();

 private:
  struct Part {
    TimePoint due;
    std::string bytes;
    // End of the stream; without bytes.
    bool is_end = false;
  };
  struct Pipe {
    std::deque<Part> parts;
    size_t queued = 0;
    uint64_t sent = 0;
    TimePoint last_due;
    // When the link has carried what it was given, at limited bandwidth.
    TimePoint busy_until;
    TimerHandle timer;
    bool read_end = false;
    bool blocked = false;
  };

  void OnReady(size_t side, bool readable);
  void Read(size_t side);
  void Queue(Pipe* pipe, std::string bytes, bool is_end);
  void Pump(size_t way);
  bool SendFront(size_t way);
  void UpdateWatch(size_t side);
  void End();

  const Shared* m_shared;
  // Client and target; way w leads from side w to side 1 - w.
  std::array<int, 2> m_fds;
  std::array<Pipe, 2> m_pipes;
  std::function<void()> m_on_end;
  bool m_ended = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_FAULT_PROXY_CONNECTION_H_
