// Test deployment on the users' platform: stand-ins of its row store and
// servers, gateways, and a caller that uses the platform's headers.
#ifndef BRAMLEYBANK_TESTS_WIRE_DEPLOYMENT_H_
#define BRAMLEYBANK_TESTS_WIRE_DEPLOYMENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process_fixture.h"

namespace bramleybank::testing {

struct WireDeploymentOptions {
  int domains = 2;
  int gateways_per_domain = 1;
  int engines_per_domain = 1;
  int applications_per_domain = 1;
  /// Lines of the [server] section of every engine.
  std::string engine_settings = "event_ms = 20\nevents = 40\nwork_ms = 20\n";
  /// Lines of the [server] section of every application.
  std::string application_settings = "work_ms = 5\n";
  /// Limits for callers in the configuration; empty for the defaults.
  nlohmann::json limits = nlohmann::json::object();
  /// Further sections of every gateway's settings file.
  std::string gateway_settings;
  /// Limit on the file descriptors of every gateway; 0 for that of the test.
  int gateway_descriptors = 0;
  /// Whether the connections to each server, and between each gateway and the
  /// store, go through a fault proxy.
  bool is_proxied = false;
};

/// Processes of one deployment, all on loopback addresses of this test.
class WireDeployment {
 public:
  explicit WireDeployment(const WireDeploymentOptions& options);
  ~WireDeployment();

  ChildProcess& store() { return *m_store; }
  ChildProcess& gateway(int i) { return *m_gateways[i]; }
  ChildProcess& engine(int i) { return *m_engines[i]; }
  ChildProcess& application(int i) { return *m_applications[i]; }
  int gateway_count() const { return static_cast<int>(m_gateways.size()); }
  int engine_count() const { return static_cast<int>(m_engines.size()); }
  int application_count() const {
    return static_cast<int>(m_applications.size());
  }

  void StartGateway(int i);
  void StartEngine(int i);
  void StartApplication(int i);
  /// Starts one more application in each failure domain.
  /// @returns the index of the first one.
  int AddApplications(const std::string& version);
  /// Removes the application's entry from the store. The next heartbeat writes
  /// it again.
  void RemoveEntryOfApplication(int i) const;
  void WaitGatewayReady(int i) const;
  /// Waits until calls and streams through the gateway succeed.
  void WaitServing(int i) const;

  /// Writes the configuration with this version: routes /streams/, /calls/
  /// (non-idempotent) and /reads/ (idempotent), a customer with the key `key`.
  /// @param extra_route prefix of an additional idempotent route; empty for
  /// none.
  void PublishConfig(uint64_t version,
                     const std::string& key = "key-1",
                     const std::string& extra_route = {}) const;
  /// Writes a row as another writer than the gateways would.
  void PutRow(const std::string& table,
              const std::string& key,
              const std::string& value) const;
  /// Orders a rollout of the applications to another version.
  void OrderRollout(const std::string& version, int duration_s) const;
  /// @returns the rollout state in the status row; empty when there is none
  /// yet.
  std::string RolloutState() const;
  void ControlStore(const nlohmann::json& control) const;
  /// Sets faults of the proxy on the link to one server, or between one gateway
  /// and the store.
  void ControlServerLink(int server, const nlohmann::json& control) const;
  void ControlStoreLink(int gateway, const nlohmann::json& control) const;
  /// @returns the counters of the row store stand-in.
  nlohmann::json StoreStats() const;
  void ControlEngine(int i, const nlohmann::json& control) const;
  void ControlApplication(int i, const nlohmann::json& control) const;
  int RunCountOfApplication(int i) const;
  /// @returns how many requests have reached the application, including refused
  /// ones.
  int ArrivalsAtApplication(int i) const;
  /// @returns the largest number of requests that have reached the application
  /// within `window`, counted from half a second after it first stated the
  /// current limit.
  int MostArrivalsUnderLimit(int i, std::chrono::milliseconds window) const;
  bool HasRunAtApplication(int i, const std::string& request_id) const;
  /// @returns the runs of a request on all servers that are up.
  std::vector<nlohmann::json> RunsOf(const std::string& request_id) const;

  /// Sends a request through a gateway with the key `key`.
  HttpAnswer Call(int gateway,
                  const std::string& method,
                  const std::string& path,
                  const std::string& request_id,
                  const std::string& key = "key-1") const;
  /// Starts a stream through a gateway.
  /// @param prompt_parts ids and lengths of the prompt parts; empty for none.
  std::unique_ptr<StreamReader> Stream(
      int gateway,
      const std::string& request_id,
      const std::string& prompt_parts = {}) const;
  /// Waits for the end of a stream and checks that it has every event exactly
  /// once and in order.
  void CheckStreamComplete(const StreamReader& stream,
                           const std::string& request_id,
                           size_t events) const;

  /// Waits until an engine runs the request. @returns the engine's index.
  int engine_of(const std::string& request_id) const;
  /// @returns a route prefix for a probe of the configuration with this
  /// version; see PublishConfig().
  static std::string ProbeRoute(uint64_t version) {
    return "/only-" + std::to_string(version) + "/";
  }
  /// @returns ip:port for callers.
  std::string caller_address(int gateway) const;
  /// @returns the file to which servers append one line per run.
  const std::string& record_path() const { return m_record_path; }
  /// Number of servers. Their indexes are those of the engines, then those of
  /// the applications.
  int server_count() const { return engine_count() + application_count(); }
  /// @returns ip:port for operators and for other gateways.
  std::string metrics_address(int gateway) const;
  std::string ready_address(int gateway) const;
  std::string peer_address(int gateway) const;
  std::string metrics_url(int gateway) const;
  std::string ready_url(int gateway) const;

 private:
  void StartProxy();
  /// @returns ip:port of the proxy for a server; empty without a proxy.
  std::string AdvertisedAddress(int server) const;
  std::string StoreAddressFor(int gateway) const;
  std::string DomainOf(int i, int per_domain) const;
  std::string ServerIni(const std::string& ip,
                        const std::string& id,
                        const std::string& service,
                        const std::string& domain,
                        const std::string& lines) const;
  std::vector<std::string> ServerUrls() const;

  const WireDeploymentOptions m_options;
  const std::string m_record_path = NewTemporaryFile(".runs");
  std::unique_ptr<ChildProcess> m_store;
  std::unique_ptr<ChildProcess> m_proxy;
  std::vector<std::unique_ptr<ChildProcess>> m_engines;
  std::vector<std::unique_ptr<ChildProcess>> m_applications;
  std::vector<std::unique_ptr<ChildProcess>> m_gateways;
  // Additional [server] lines of each application, by index.
  std::vector<std::string> m_application_lines;
  // By index.
  std::vector<std::string> m_application_ids;
  // Number of server starts so far. Each start gets a new server id.
  int m_server_starts = 0;
};

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_WIRE_DEPLOYMENT_H_
