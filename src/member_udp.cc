// UDP socket and tick timer of the membership protocol.
#include "member_udp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <system_error>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "member_protocol.h"

namespace bramleybank {
namespace {

// Limit on datagrams read in one turn of the event loop, so that a flood does
// not delay other events.
constexpr int kMaxReadsPerTurn = 64;

bool ToSocketAddress(const std::string& ip,
                     uint16_t port,
                     sockaddr_in* address) {
  *address = {};
  address->sin_family = AF_INET;
  address->sin_port = htons(port);
  return inet_pton(AF_INET, ip.c_str(), &address->sin_addr) == 1;
}

bool ToSocketAddress(const std::string& peer, sockaddr_in* address) {
  const size_t colon = peer.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  uint16_t port = 0;
  std::from_chars(peer.data() + colon + 1, peer.data() + peer.size(), port);
  return ToSocketAddress(peer.substr(0, colon), port, address);
}

}  // namespace

MemberUdp::MemberUdp(EventLoop* loop, MemberProtocol* protocol)
    : m_loop(loop), m_protocol(protocol) {}

MemberUdp::~MemberUdp() {
  Close();
}

bool MemberUdp::Start(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  if (!ToSocketAddress(ip, port, &address)) {
    m_last_reason = {ResultCode::kBadSetting, ip + " is not an IPv4 address"};
    return false;
  }
  m_fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m_fd < 0) {
    return SetSystemError("socket");
  }
  if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    return SetSystemError("bind " + ip + ":" + std::to_string(port));
  }
  m_loop->Watch(m_fd, true, false, [this](IoReady) { OnReadable(); });
  m_next_tick = m_loop->Now();
  Tick();
  return true;
}

bool MemberUdp::SetSystemError(const std::string& what) {
  m_last_reason = {ResultCode::kPeerUnreachable,
                   what + ": " + std::system_category().message(errno)};
  Close();
  return false;
}

void MemberUdp::OnReadable() {
  // The extra byte shows that a datagram exceeds the size limit.
  std::array<char, kMaxMemberDatagramBytes + 1> buffer;
  for (int i = 0; i < kMaxReadsPerTurn && m_fd >= 0; ++i) {
    const ssize_t length = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (length < 0 && errno == ECONNREFUSED) {
      // A datagram sent earlier reached a closed port.
      continue;
    }
    if (length < 0) {
      break;
    }
    m_protocol->Receive({buffer.data(), static_cast<size_t>(length)});
  }
  Flush();
}

void MemberUdp::Tick() {
  const TimePoint now = m_loop->Now();
  m_protocol->ReportTimerDelay(now - m_next_tick);
  m_protocol->Tick();
  Flush();
  m_next_tick = now + kMemberTick;
  m_timer = m_loop->Schedule(kMemberTick, [this] { Tick(); });
}

void MemberUdp::Flush() {
  for (const MemberDatagram& datagram : m_protocol->TakeOutput()) {
    sockaddr_in address{};
    const bool sent = m_fd >= 0 && ToSocketAddress(datagram.to, &address) &&
                      sendto(m_fd, datagram.bytes.data(), datagram.bytes.size(),
                             0, reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) >= 0;
    m_send_failures += sent ? 0 : 1;
  }
}

void MemberUdp::LeaveAndStop() {
  if (m_fd >= 0) {
    m_protocol->Leave();
    Flush();
    Close();
  }
}

void MemberUdp::Close() {
  m_loop->Cancel(m_timer);
  if (m_fd >= 0) {
    m_loop->Unwatch(m_fd);
    close(m_fd);
    m_fd = -1;
  }
}

}  // namespace bramleybank
