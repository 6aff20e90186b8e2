// A gateway as described by its row in the metadata store.
#ifndef BRAMLEYBANK_SRC_GATEWAY_MEMBER_H_
#define BRAMLEYBANK_SRC_GATEWAY_MEMBER_H_

#include <string>

namespace bramleybank {

/// Identity, failure domain and peer address of one gateway.
struct GatewayMember {
  std::string name;
  std::string failure_domain;
  /// ip:port of its peer port; empty when it has none.
  std::string peer_address;

  friend bool operator==(const GatewayMember&, const GatewayMember&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_MEMBER_H_
