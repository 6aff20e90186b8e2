// Parsing of socket addresses in the form ip:port.
#ifndef BRAMLEYBANK_SRC_TCP_ADDRESS_H_
#define BRAMLEYBANK_SRC_TCP_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleybank {

/// @returns the IPv4 socket address, or std::nullopt if `text` is not a valid
/// ip:port.
std::optional<sockaddr_in> ParseTcpAddress(std::string_view text);

/// IPv4 address as text, and a port.
struct IpAndPort {
  std::string ip;
  uint16_t port = 0;

  friend bool operator==(const IpAndPort&, const IpAndPort&) = default;
};

/// @returns the parts of ip:port, or std::nullopt if `text` is not a valid
/// ip:port.
std::optional<IpAndPort> SplitTcpAddress(std::string_view text);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_TCP_ADDRESS_H_
