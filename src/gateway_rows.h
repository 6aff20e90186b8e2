// Table names, keys and codecs of the metadata store's rows that operators and
// endpoints write, supplied by the platform's adapter.
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

/// Names and codecs of rows.
struct GatewayRows {
  /// Table that holds the configuration, and the key of its row.
  std::string operator_table;
  std::string config_key;
  /// Key prefix of rollout orders in that table; the rest of the key is the
  /// service.
  std::string rollout_key_prefix;
  /// Table in which gateways report the status of rollouts, under the same
  /// keys.
  std::string status_table;
  /// Table in which endpoints register; the key is the endpoint's id.
  std::string endpoint_table;
  /// @returns nothing when the value is not a valid configuration.
  std::function<std::optional<GatewayConfigValues>(const std::string& value)>
      decode_config;
  /// @returns nothing when the value does not describe a usable endpoint.
  std::function<std::optional<EndpointEntry>(const std::string& id,
                                             const std::string& value)>
      decode_endpoint;
  /// @returns nothing when the value is not a valid order.
  std::function<std::optional<RolloutOrder>(const StoreRow& row)>
      decode_rollout;
  std::function<std::string(const RolloutStatus& status)> encode_rollout_status;
  /// @returns nothing when the value is not a valid status.
  std::function<std::optional<RolloutStatus>(const std::string& value)>
      decode_rollout_status;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_ROWS_H_
