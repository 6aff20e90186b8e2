// HTTP entry point for calls to plain services: `ANY /svc/<service>/<path>` and
// `GET /v1/calls/<key>?service=<service>`.
#ifndef BRAMLEYBANK_SRC_CALL_RUNNER_H_
#define BRAMLEYBANK_SRC_CALL_RUNNER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/limits.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;
class HttpClient;
class HttpResponder;
class MetricRegistry;
class PlatformObjects;
class PlatformTable;
struct ConfigSnapshot;
struct HttpRequest;

/// Constraints on the choice of an endpoint.
struct EndpointQuery {
  std::string service;
  /// Addresses of endpoints that failed this request.
  std::vector<std::string> avoid;

  friend bool operator==(const EndpointQuery&, const EndpointQuery&) = default;
};

/// Points of a non-idempotent call at which a test can stop the process.
enum class CallStep {
  /// The answer to the claim write has arrived.
  kClaimAnswered,
  /// The transfer to the endpoint has been started; no byte has left yet.
  kDispatched,
  /// The endpoint's answer has arrived and is not recorded yet.
  kAnswered,
  /// The record has been written and the caller has no answer yet.
  kRecorded,
};

using SnapshotHook = std::function<std::shared_ptr<const ConfigSnapshot>()>;
using ChooseEndpointHook =
    std::function<std::optional<std::string>(const EndpointQuery&)>;

/// @returns a hook that chooses the endpoints of a service round robin and
/// skips those that are leaving.
ChooseEndpointHook MakeRoundRobinChooser(SnapshotHook snapshot);

/// Hooks and limits of the runner.
struct CallRunnerOptions {
  /// Member id and incarnation of this daemon.
  std::string owner;
  /// Returns the configuration in force, or null if there is none yet.
  /// Required.
  SnapshotHook snapshot;
  /// Round robin when empty.
  ChooseEndpointHook choose_endpoint;
  /// Whether the retry budget allows a retry. An empty hook allows every retry.
  std::function<bool(const std::string& service)> allow_retry;
  /// Called after each exchange; `answered` tells whether the endpoint's answer
  /// arrived completely.
  std::function<void(const std::string& address, bool answered)>
      on_endpoint_result;
  /// Required.
  RandomHook random;
  ClockHook clock = &SteadyNow;
  /// Called at each step of a non-idempotent call; for tests.
  std::function<void(CallStep)> on_step;
  Duration service_timeout = kServiceTimeout;
  /// Limit on waiting for the result of another daemon's claim.
  Duration wait_timeout = kCallWaitTimeout;
};

/// Runs calls. Non-idempotent routes are handled by CallMachine, all others are
/// forwarded.
class CallRunner {
 public:
  /// @remarks all objects passed by pointer must outlive the runner.
  CallRunner(EventLoop* loop,
             HttpClient* client,
             PlatformTable* table,
             PlatformObjects* objects,
             MetricRegistry* metrics,
             CallRunnerOptions options);
  ~CallRunner();
  CallRunner(const CallRunner&) = delete;
  CallRunner& operator=(const CallRunner&) = delete;

  /// @returns whether this class handles requests for the path.
  static bool Handles(std::string_view path);
  /// Answers a request for which Handles() holds.
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);

  /// @returns the number of calls that have no answer yet or whose background
  /// writes have not ended. A drain waits until it is zero.
  size_t open_calls() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_RUNNER_H_
