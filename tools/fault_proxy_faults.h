// Faults of one pair of the proxy; they may change while it runs.
#ifndef BRAMLEYBANK_TOOLS_FAULT_PROXY_FAULTS_H_
#define BRAMLEYBANK_TOOLS_FAULT_PROXY_FAULTS_H_

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "hooks.h"

namespace bramleybank {

/// Way of the bytes through the proxy, as an index.
inline constexpr size_t kToTarget = 0;
inline constexpr size_t kToClient = 1;

/// Faults in force on one pair.
struct ProxyFaults {
  Duration delay{0};
  /// Added to the delay, uniformly from 0; TCP bytes keep their order.
  Duration jitter{0};
  /// Bytes a second each way, TCP only; 0 means no limit.
  double bytes_per_s = 0;
  /// Nothing is forwarded that way. TCP bytes wait until the cut ends, as with
  /// lost packets; datagrams are dropped.
  std::array<bool, 2> cut{};
  /// New connections are accepted and never forwarded.
  bool half_open = false;
  bool reset_new = false;
  /// Connections are refused: nothing listens.
  bool refuse = false;
  /// A connection is closed after this many bytes to the client; -1 never.
  int64_t truncate_after = -1;
  /// A connection is closed when the target answers: the request has passed,
  /// its answer is lost.
  bool drop_answer = false;
  /// Share of datagrams lost.
  double udp_loss = 0;
};

/// Changes the fields that `control` names: "delay_ms", "jitter_ms",
/// "bytes_per_s", "cut_to_target", "cut_to_client", "half_open", "reset_new",
/// "refuse", "truncate_after", "drop_answer", "udp_loss"; "clear" first sets
/// all to their defaults.
/// @returns what is wrong, with nothing changed, or an empty text.
std::string ApplyProxyFaults(const nlohmann::json& control,
                             ProxyFaults* faults);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_FAULT_PROXY_FAULTS_H_
