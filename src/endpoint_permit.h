// Messages with which gateways share the rate limit of an endpoint.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_PERMIT_H_
#define BRAMLEYBANK_SRC_ENDPOINT_PERMIT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "hooks.h"

namespace bramleybank {

/// Asks the issuer of an endpoint's permits for some of them, and tells it what
/// the endpoint has last stated about its rate limit.
struct PermitQuery {
  std::string endpoint_id;
  /// Start of the endpoint; see EndpointEntry::start_time_ms.
  int64_t endpoint_start_ms = 0;
  /// Requests per second; empty when the limit has ended.
  std::optional<double> rate_limit;
  /// Time since the endpoint has stated that.
  Duration age{0};
  /// Number of permits; 0 only passes the statement on.
  uint32_t wanted = 0;

  friend bool operator==(const PermitQuery&, const PermitQuery&) = default;
};

/// Answer of an issuer. Each permit allows one request to the endpoint.
struct PermitAnswer {
  uint32_t granted = 0;
  /// Time after which another query may be granted.
  Duration retry_after{0};
  /// The issuer knows from a newer statement that the limit has ended.
  bool is_unlimited = false;

  friend bool operator==(const PermitAnswer&, const PermitAnswer&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_PERMIT_H_
