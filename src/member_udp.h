// Runs the membership protocol on a UDP socket of the event loop.
#ifndef BRAMLEYBANK_SRC_MEMBER_UDP_H_
#define BRAMLEYBANK_SRC_MEMBER_UDP_H_

#include <cstdint>
#include <string>

#include "bramleybank/handle.h"
#include "bramleybank/result_code.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;
class MemberProtocol;

/// Owns the UDP socket and the tick timer of one membership protocol.
class MemberUdp {
 public:
  /// @param loop, protocol outlive this object.
  MemberUdp(EventLoop* loop, MemberProtocol* protocol);
  ~MemberUdp();
  MemberUdp(const MemberUdp&) = delete;
  MemberUdp& operator=(const MemberUdp&) = delete;

  /// Binds a UDP socket to an IPv4 address and starts the tick timer.
  /// @returns false with last_reason() set when the address cannot be used.
  bool Start(const std::string& ip, uint16_t port);

  /// Tells some members that this daemon stops and closes the socket.
  void LeaveAndStop();

  /// Sends the queued datagrams of the protocol. Call it after a call to the
  /// protocol whose datagrams must not wait for the next tick.
  void Flush();

  /// Number of datagrams that could not be sent: the socket was closed, the
  /// address was invalid or the operating system refused them.
  uint64_t send_failures() const { return m_send_failures; }
  const Reason& last_reason() const { return m_last_reason; }

 private:
  bool SetSystemError(const std::string& what);
  void OnReadable();
  void Tick();
  void Close();

  EventLoop* m_loop;
  MemberProtocol* m_protocol;
  // -1 while the socket is not open.
  int m_fd = -1;
  TimerHandle m_timer;
  TimePoint m_next_tick;
  uint64_t m_send_failures = 0;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_UDP_H_
