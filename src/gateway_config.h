// The configuration of a gateway: routes, services, customers and limits on
// what callers may send. A snapshot is immutable; a newer one replaces it.
#ifndef BRAMLEYBANK_SRC_GATEWAY_CONFIG_H_
#define BRAMLEYBANK_SRC_GATEWAY_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// Whether a request may be repeated, and the format of its answer.
enum class RequestKind : uint8_t {
  kIdempotent,
  kNonIdempotent,
  /// Server-sent events; idempotent only on resumable routes.
  kStream,
};

/// Share of a route's requests that one service gets.
struct ServiceShare {
  std::string service;
  double weight = 1;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/// Maps a host and a path prefix to services.
struct GatewayRoute {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kIdempotent;
  /// Whether a stream may be resumed at another endpoint.
  bool resumable = false;
  /// Whether requests need no API key.
  bool anonymous = false;
  /// Longest time from the arrival of a request to the end of its answer.
  Duration timeout{0};
  /// Target time for the answer; for streams, for the first event.
  Duration latency_target{0};
  /// Target for the longest pause between two events of a stream.
  Duration max_event_gap{0};
  /// 0 is the highest priority.
  int priority = 0;
  /// Limit on the endpoints that may run one request.
  int max_attempts = 1;
  std::vector<ServiceShare> services;

  bool IsIdempotent() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && resumable);
  }

  friend bool operator==(const GatewayRoute&, const GatewayRoute&) = default;
};

/// Capabilities of the engines of a service.
struct EngineCapabilities {
  int slots = 0;
  int64_t kv_cache_tokens = 0;
  /// Whether the KV cache of a generation can be copied to another engine while
  /// it grows.
  bool supports_backups = false;
  /// How long an engine keeps a copy after its last part has arrived.
  Duration backup_lifetime{0};

  friend bool operator==(const EngineCapabilities&,
                         const EngineCapabilities&) = default;
};

/// A group of endpoints that serve the same requests.
struct GatewayService {
  std::string name;
  std::string health_path;
  /// Limit on the connections to one endpoint from all its callers together.
  int max_connections = 0;
  /// Set for services of model engines.
  std::optional<EngineCapabilities> engine;

  friend bool operator==(const GatewayService&,
                         const GatewayService&) = default;
};

/// A customer and the API keys that identify it.
struct GatewayCustomer {
  std::string name;
  std::vector<std::string> keys;
  /// Overrides the priority of the route.
  std::optional<int> priority;

  friend bool operator==(const GatewayCustomer&,
                         const GatewayCustomer&) = default;
};

/// Limits on what a caller may send.
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// All values of one configuration, as the operator wrote them.
struct GatewayConfigValues {
  uint64_t version = 0;
  std::vector<GatewayRoute> routes;
  std::vector<GatewayService> services;
  std::vector<GatewayCustomer> customers;
  /// Whether the configuration contains a list of customers, which may be
  /// empty. Requests then need a key.
  bool requires_key = false;
  CallerLimits limits;

  friend bool operator==(const GatewayConfigValues&,
                         const GatewayConfigValues&) = default;
};

/// A configuration with its lookup tables.
class GatewayConfig {
 public:
  explicit GatewayConfig(GatewayConfigValues values);
  GatewayConfig(const GatewayConfig&) = delete;
  GatewayConfig& operator=(const GatewayConfig&) = delete;

  /// @param host value of the Host header; a port is ignored.
  /// @param path without the query.
  /// @returns the route with the longest matching prefix, or null.
  const GatewayRoute* FindRoute(std::string_view host,
                                std::string_view path) const;
  /// @returns the customer that holds `key`, or null.
  const GatewayCustomer* FindCustomer(std::string_view key) const;
  const GatewayService* FindService(std::string_view name) const;
  /// @returns the services that are described or that routes lead to.
  std::set<std::string, std::less<>> ServiceNames() const;
  /// @returns whether requests to the service differ in their priority.
  bool HasPriorities(std::string_view service) const;

  uint64_t version() const { return m_values.version; }
  bool requires_key() const { return m_values.requires_key; }
  const CallerLimits& limits() const { return m_values.limits; }
  const GatewayConfigValues& values() const { return m_values; }

 private:
  // Maps a host in lower case to its prefixes. The values point into m_values,
  // which never changes.
  using PrefixTable = std::map<std::string, const GatewayRoute*, std::less<>>;

  const GatewayConfigValues m_values;
  std::map<std::string, PrefixTable, std::less<>> m_hosts;
  std::map<std::string, const GatewayCustomer*, std::less<>> m_keys;
  std::map<std::string, const GatewayService*, std::less<>> m_services;
  std::set<std::string, std::less<>> m_services_with_priorities;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_CONFIG_H_
