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

/// Socket and timer of one protocol.
class MemberUdp {
 public:
  /// @param loop, protocol outlive this object.
  MemberUdp(EventLoop* loop, MemberProtocol* protocol);
  ~MemberUdp();
  MemberUdp(const MemberUdp&) = delete;
  MemberUdp& operator=(const MemberUdp&) = delete;

  /// Binds a UDP socket to an IPv4 address and starts to tick.
  /// @returns false with last_reason() set when the address is not usable.
  bool Start(const std::string& ip, uint16_t port);

  /// Tells the others that this daemon stops, and closes the socket.
  void LeaveAndStop();

  /// Sends what the protocol has queued; call it after calls to the protocol
  /// that must not wait for the next tick.
  void Flush();

  /// Datagrams that the operating system did not take.
  uint64_t send_failures() const { return m_send_failures; }
  const Reason& last_reason() const { return m_last_reason; }

 private:
  bool Fail(const std::string& what);
  void OnReadable();
  void Tick();
  void Close();

  EventLoop* m_loop;
  MemberProtocol* m_protocol;
  // -1 while not started.
  int m_fd = -1;
  TimerHandle m_timer;
  TimePoint m_due;
  uint64_t m_send_failures = 0;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_UDP_H_
