// Parses socket addresses in the form ip:port.
#include "tcp_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace bramleybank {

std::optional<sockaddr_in> ParseTcpAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string ip(text.substr(0, colon));
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

std::optional<IpAndPort> SplitTcpAddress(std::string_view text) {
  const auto address = ParseTcpAddress(text);
  if (!address) {
    return std::nullopt;
  }
  return IpAndPort{.ip = std::string(text.substr(0, text.rfind(':'))),
                   .port = ntohs(address->sin_port)};
}

}  // namespace bramleybank
