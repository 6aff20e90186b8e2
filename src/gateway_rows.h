// Hooks through which the platform's adapter names and decodes the rows that
// operators and endpoints write.
#ifndef BRAMLEYBANK_SRC_GATEWAY_ROWS_H_
#define BRAMLEYBANK_SRC_GATEWAY_ROWS_H_

#include <functional>
#include <optional>
#include <string>

#include "endpoint_entry.h"
#include "gateway_config.h"
#include "metadata_store.h"
#include "rollout_order.h"

namespace bramleybank {

/// Tables and decoders.
struct GatewayRows {
  /// Table that holds the configuration, and the key of its row.
  std::string operator_table;
  std::string config_key;
  /// Keys of orders for rollouts in that table; the rest names the service.
  std::string rollout_key_prefix;
  /// Table in which the operator is told of rollouts, under the same keys.
  std::string status_table;
  /// Table in which endpoints register, by id.
  std::string endpoint_table;
  /// @returns nothing when the value is not a configuration.
  std::function<std::optional<GatewayConfigValues>(const std::string& value)>
      decode_config;
  /// @returns nothing when the value names no endpoint that can be used.
  std::function<std::optional<EndpointEntry>(const std::string& id,
                                             const std::string& value)>
      decode_endpoint;
  /// @returns nothing when the value is not an order.
  std::function<std::optional<RolloutOrder>(const StoreRow& row)>
      decode_rollout;
  std::function<std::string(const RolloutStatus& status)> encode_rollout_status;
  /// @returns nothing when the value is not a status.
  std::function<std::optional<RolloutStatus>(const std::string& value)>
      decode_rollout_status;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_ROWS_H_
