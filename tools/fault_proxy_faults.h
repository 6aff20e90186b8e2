// Faults of one pair of the proxy. They can be changed at run time.
#ifndef BRAMLEYBANK_TOOLS_FAULT_PROXY_FAULTS_H_
#define BRAMLEYBANK_TOOLS_FAULT_PROXY_FAULTS_H_

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "hooks.h"

namespace bramleybank {

/// Directions of the bytes through the proxy, used as an index.
inline constexpr size_t kToTarget = 0;
inline constexpr size_t kToClient = 1;

/// Faults in force on one pair.
struct ProxyFaults {
  Duration delay{0};
  /// Upper bound of a random addition to the delay, uniform from 0. TCP bytes
  /// keep their order.
  Duration jitter{0};
  /// Bytes per second in each direction, TCP only; 0 means no limit.
  double bytes_per_s = 0;
  /// Nothing is forwarded in a blocked direction. TCP bytes wait until the
  /// fault ends, as with lost packets; datagrams are dropped.
  std::array<bool, 2> blocked{};
  /// New connections are accepted and never forwarded.
  bool half_open = false;
  bool reset_new = false;
  /// New connections are refused, because nothing listens.
  bool refuse = false;
  /// A connection is closed after this many bytes to the client; -1 never.
  int64_t truncate_after_bytes = -1;
  /// A connection is closed when the target answers, so that the request
  /// arrives but its answer is lost.
  bool drop_answer = false;
  /// Share of datagrams that are dropped, from 0 to 1.
  double udp_loss = 0;
};

/// Changes the fields that `control` names: "delay_ms", "jitter_ms",
/// "bytes_per_s", "cut_to_target", "cut_to_client", "half_open", "reset_new",
/// "refuse", "truncate_after", "drop_answer", "udp_loss"; "clear" first sets
/// all to their defaults.
/// @returns an error message, with nothing changed, or an empty string.
std::string ApplyProxyFaults(const nlohmann::json& control,
                             ProxyFaults* faults);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_FAULT_PROXY_FAULTS_H_
