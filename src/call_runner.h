// HTTP side of calls to plain services: `ANY /svc/<service>/<path>` and
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

/// Which endpoint a call needs.
struct EndpointQuery {
  std::string service;
  /// Addresses that have failed for this request.
  std::vector<std::string> avoid;

  friend bool operator==(const EndpointQuery&, const EndpointQuery&) = default;
};

/// Points of a non-idempotent call at which a test can stop the process.
enum class CallStep {
  /// The answer to the claim write has arrived.
  kClaimAnswered,
  /// The transfer to the endpoint has been started; no byte has left yet.
  kDispatched,
  /// The endpoint's answer has arrived; it is not recorded.
  kAnswered,
  /// The record has been written; the caller has no answer.
  kRecorded,
};

using SnapshotHook = std::function<std::shared_ptr<const ConfigSnapshot>()>;
using ChooseEndpointHook =
    std::function<std::optional<std::string>(const EndpointQuery&)>;

/// @returns a hook that takes the endpoints of a service in turn, without
/// those that are leaving.
ChooseEndpointHook MakeRoundRobinChooser(SnapshotHook snapshot);

/// Hooks and bounds of the runner.
struct CallRunnerOptions {
  /// Member id and incarnation of this daemon.
  std::string owner;
  /// Configuration in force; required. A null pointer means none yet.
  SnapshotHook snapshot;
  /// Round robin when empty.
  ChooseEndpointHook choose_endpoint;
  /// Whether the retry budget has room; always when empty.
  std::function<bool(const std::string& service)> allow_retry;
  /// Told of each exchange: whether the endpoint answered whole.
  std::function<void(const std::string& address, bool answered)>
      on_endpoint_result;
  /// Required.
  RandomHook random;
  ClockHook clock = &SteadyNow;
  /// For tests.
  std::function<void(CallStep)> on_step;
  Duration service_timeout = kServiceTimeout;
  /// Limit on waiting for the result of another daemon's claim.
  Duration wait_timeout = kCallWaitTimeout;
};

/// Runs calls. Non-idempotent routes go through CallMachine.
class CallRunner {
 public:
  /// @remarks everything pointed to must outlive the runner.
  CallRunner(EventLoop* loop,
             HttpClient* client,
             PlatformTable* table,
             PlatformObjects* objects,
             MetricRegistry* metrics,
             CallRunnerOptions options);
  ~CallRunner();
  CallRunner(const CallRunner&) = delete;
  CallRunner& operator=(const CallRunner&) = delete;

  /// @returns whether the path belongs to this class.
  static bool Handles(std::string_view path);
  /// Answers a request for which Handles() holds.
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);

  /// @returns calls that have no answer yet or whose background writes have not
  /// ended; a drain waits until there are none.
  size_t open_calls() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_RUNNER_H_
