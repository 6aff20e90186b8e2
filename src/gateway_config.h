// The configuration of a gateway: routes, services, customers and limits on
// what callers may send. One snapshot is immutable; a newer one replaces it.
#ifndef BRAMLEYBANK_SRC_GATEWAY_CONFIG_H_
#define BRAMLEYBANK_SRC_GATEWAY_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// What may be repeated, and the form of the answer.
enum class RequestKind : uint8_t {
  kIdempotent,
  kNonIdempotent,
  /// Server-sent events; idempotent only on routes that may be resumed.
  kStream,
};

/// Share of a route's requests that goes to one service.
struct ServiceShare {
  std::string service;
  double weight = 1;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/// Where requests of a host and path prefix go.
struct GatewayRoute {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kIdempotent;
  /// Whether a stream may go on at another endpoint.
  bool resumable = false;
  /// Whether requests need no customer key.
  bool anonymous = false;
  /// Longest time a request is kept waiting.
  Duration timeout{0};
  /// Time within which an answer is on time; streams: the first event.
  Duration latency_target{0};
  /// Longest pause between events of a stream that is on time.
  Duration max_event_gap{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// Endpoints that may run one request.
  int max_attempts = 1;
  std::vector<ServiceShare> services;

  bool IsIdempotent() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && resumable);
  }

  friend bool operator==(const GatewayRoute&, const GatewayRoute&) = default;
};

/// What the engines of a service can do.
struct EngineCapabilities {
  int slots = 0;
  int64_t kv_cache_tokens = 0;
  /// Whether the memory of a run can be copied to another engine as it grows.
  bool supports_backups = false;
  /// How long a copy stays after the last part of it has arrived.
  Duration backup_lifetime{0};

  friend bool operator==(const EngineCapabilities&,
                         const EngineCapabilities&) = default;
};

/// A group of endpoints that serve the same requests.
struct GatewayService {
  std::string name;
  std::string health_path;
  /// Connections that one endpoint accepts from all callers together.
  int max_connections = 0;
  /// Set for model engines.
  std::optional<EngineCapabilities> engine;

  friend bool operator==(const GatewayService&,
                         const GatewayService&) = default;
};

/// A customer and the keys that name it.
struct GatewayCustomer {
  std::string name;
  std::vector<std::string> keys;
  /// Goes before the priority of the route.
  std::optional<int> priority;

  friend bool operator==(const GatewayCustomer&,
                         const GatewayCustomer&) = default;
};

/// Bounds on what a caller may send.
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// All values of one configuration, as an operator wrote them.
struct GatewayConfigValues {
  uint64_t version = 0;
  std::vector<GatewayRoute> routes;
  std::vector<GatewayService> services;
  std::vector<GatewayCustomer> customers;
  CallerLimits limits;

  friend bool operator==(const GatewayConfigValues&,
                         const GatewayConfigValues&) = default;
};

/// A configuration with its look-up tables.
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

  uint64_t version() const { return m_values.version; }
  bool has_customers() const { return !m_values.customers.empty(); }
  const CallerLimits& limits() const { return m_values.limits; }
  const GatewayConfigValues& values() const { return m_values; }

 private:
  // Host in lower case, then prefix. The values point into m_values, which
  // never changes.
  using PrefixTable = std::map<std::string, const GatewayRoute*, std::less<>>;

  const GatewayConfigValues m_values;
  std::map<std::string, PrefixTable, std::less<>> m_hosts;
  std::map<std::string, const GatewayCustomer*, std::less<>> m_keys;
  std::map<std::string, const GatewayService*, std::less<>> m_services;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_CONFIG_H_
