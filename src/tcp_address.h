// Socket addresses written as ip:port.
#ifndef BRAMLEYBANK_SRC_TCP_ADDRESS_H_
#define BRAMLEYBANK_SRC_TCP_ADDRESS_H_

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace bramleybank {

/// @returns the IPv4 socket address, or nothing when `text` is not ip:port.
std::optional<sockaddr_in> ParseTcpAddress(std::string_view text);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_TCP_ADDRESS_H_
