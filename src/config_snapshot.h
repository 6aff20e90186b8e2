// The configuration that is in force: models, services, endpoints and
// customers, with the number of the last change that it contains.
#ifndef BRAMLEYBANK_SRC_CONFIG_SNAPSHOT_H_
#define BRAMLEYBANK_SRC_CONFIG_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/result_code.h"

namespace bramleybank {

enum class EndpointKind { kEngine, kService };

/// One engine or plain-service instance.
struct EndpointConfig {
  /// "ip:port"; unique, and used as the endpoint's name.
  std::string address;
  EndpointKind kind = EndpointKind::kEngine;
  /// Model of an engine, or name of a service.
  std::string group;
  std::string version;
  std::string adapter;
  std::string region;
  std::string failure_domain;
  /// A leaving endpoint receives no new work.
  bool leaving = false;
  /// Whether the engine refuses commands with a stale fencing number.
  bool checks_fencing = true;

  friend bool operator==(const EndpointConfig&,
                         const EndpointConfig&) = default;
};

/// One plain service. A route is "METHOD /path-prefix".
struct ServiceConfig {
  std::string name;
  std::vector<std::string> non_idempotent_routes;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

/// Limits of one customer across all daemons; 0 means unlimited.
struct CustomerConfig {
  std::string name;
  double requests_per_s = 0;
  int64_t tokens_in_flight = 0;
  /// Share of the capacity under overload, relative to the other customers.
  double weight = 1;

  friend bool operator==(const CustomerConfig&,
                         const CustomerConfig&) = default;
};

/// A whole configuration. Immutable once in force.
struct ConfigSnapshot {
  /// Number of the last change; each change increases it by 1.
  uint64_t number = 0;
  std::vector<EndpointConfig> endpoints;
  std::vector<ServiceConfig> services;
  std::vector<CustomerConfig> customers;

  friend bool operator==(const ConfigSnapshot&,
                         const ConfigSnapshot&) = default;
};

/// @param error set to the first error and its location when parsing fails.
std::optional<ConfigSnapshot> ParseConfigSnapshot(std::string_view json,
                                                  Reason* error);
std::string FormatConfigSnapshot(const ConfigSnapshot& snapshot);

/// @returns the service with this name, or nullptr.
const ServiceConfig* FindService(const ConfigSnapshot& snapshot,
                                 std::string_view name);

/// @returns whether a call of `method` on `path` may run at most once.
/// @param path within the service; starts with '/'.
bool IsNonIdempotent(const ServiceConfig& service,
                     std::string_view method,
                     std::string_view path);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_SNAPSHOT_H_
