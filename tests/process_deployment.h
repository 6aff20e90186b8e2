// A small deployment for tests: a platform, engines and daemons in several
// failure domains, and a caller that reconnects as the protocol asks of
// clients.
#ifndef BRAMLEYBANK_TESTS_PROCESS_DEPLOYMENT_H_
#define BRAMLEYBANK_TESTS_PROCESS_DEPLOYMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http_sse_parser.h"
#include "process_fixture.h"

namespace bramleybank::testing {

struct DeploymentOptions {
  int domains = 3;
  int daemons_per_domain = 1;
  int engines_per_domain = 1;
  /// Lines added to the [engine] section of every engine.
  std::string engine_settings = "token_interval_ms = 5\n";
  /// Sections added to the settings of every daemon.
  std::string daemon_settings;
  /// Non-idempotent routes by service name. Each service has one endpoint in
  /// every failure domain.
  std::map<std::string, std::vector<std::string>> services;
};

/// Processes of one deployment, on loopback addresses reserved for this test.
class Deployment {
 public:
  explicit Deployment(const DeploymentOptions& options);
  ~Deployment();

  ChildProcess& platform() { return *m_platform; }
  ChildProcess& engine(int i) { return *m_engines[i]; }
  ChildProcess& daemon(int i) { return *m_daemons[i]; }
  int daemon_count() const { return static_cast<int>(m_daemons.size()); }
  int engine_count() const { return static_cast<int>(m_engines.size()); }

  std::string caller_url(int i) const;
  std::string operator_url(int i) const;
  std::string engine_url(int i) const;
  std::string service_url(int i) const;
  std::string platform_url() const;

  /// Index of the engine or daemon that an event id names, or -1.
  int engine_of(const std::string& event_id) const;
  int copy_holder_of(const std::string& event_id) const;

  void StartDaemon(int i);
  void StartEngine(int i);
  void WaitDaemonReady(int i);
  /// Publishes the configuration built from the options as version `number`.
  void PublishConfig(uint64_t number);
  /// Waits until every running daemon knows all others.
  void WaitForAllMembers();
  /// Sends a configuration change to the operator port of a daemon.
  /// @returns the daemon's answer.
  HttpAnswer ChangeConfig(int daemon, const std::string& json) const;
  /// @returns the configuration change that marks an engine as leaving.
  std::string LeavingChange(int engine) const;
  /// Posts JSON to the control path of an engine or the platform.
  static void Control(const std::string& url, const std::string& json);
  double Metric(int daemon, const std::string& series) const;

 private:
  std::string DaemonIp(int i) const;
  std::string EngineIp(int i) const;
  std::string ServiceIp(int i) const;
  std::string ConfigJson(uint64_t number) const;
  std::string VmListJson() const;
  int DomainOf(int index, int per_domain) const { return index / per_domain; }

  DeploymentOptions m_options;
  std::unique_ptr<ChildProcess> m_platform;
  std::vector<std::unique_ptr<ChildProcess>> m_engines;
  std::vector<std::unique_ptr<ChildProcess>> m_services;
  std::vector<std::unique_ptr<ChildProcess>> m_daemons;
};

/// What a caller received over all of its connections.
struct CallerResult {
  std::vector<std::string> texts;
  std::vector<std::string> event_ids;
  bool done = false;
  /// Data of an error event, or body of a rejected request.
  std::string error;
  int status = 0;
  int connections = 0;
  /// Faults found by the answer checker, as text; empty if there are none.
  std::string faults;
};

struct CallerOptions {
  std::string prompt = "Rust stripping for a small pan.";
  int max_tokens = 40;
  bool chat = false;
  int first_daemon = 0;
  /// Called after each token with the result so far.
  std::function<void(const CallerResult&)> on_token = nullptr;
  /// The caller closes its connection after this many tokens; 0 means never.
  int disconnect_after = 0;
};

/// Requests a streamed generation. After a lost connection it reconnects with
/// Last-Event-ID to the next daemon in round-robin order, until the answer is
/// complete or an error is final.
CallerResult RunCaller(const Deployment& deployment,
                       const CallerOptions& options);

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_PROCESS_DEPLOYMENT_H_
