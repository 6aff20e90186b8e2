// Socket addresses written as ip:port.
#ifndef BRAMLEYBANK_SRC_TCP_ADDRESS_H_
#define BRAMLEYBANK_SRC_TCP_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleybank {

/// @returns the IPv4 socket address, or nothing when `text` is not ip:port.
std::optional<sockaddr_in> ParseTcpAddress(std::string_view text);

/// IP address and port of a text.
struct IpAndPort {
  std::string ip;
  uint16_t port = 0;

  friend bool operator==(const IpAndPort&, const IpAndPort&) = default;
};

/// @returns the parts of ip:port, or nothing when `text` is not of that form.
std::optional<IpAndPort> SplitTcpAddress(std::string_view text);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_TCP_ADDRESS_H_
