// Closes of callers' connections by real gateways: in planned stops, after idle
// times, and after answers that a slow caller reads.
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bramleybank/limits.h"
#include "raw_caller.h"
#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using std::chrono::milliseconds;
using Callers = std::vector<std::unique_ptr<RawCaller>>;

constexpr int kCallers = 10;
constexpr size_t kLargeAnswerBytes = 12'000'000;
constexpr int kSmallReceiveBuffer = 64 * 1024;
// After SIGTERM: when a stopping gateway closes idle connections but does not
// end yet, and when it may end.
constexpr milliseconds kAtIdleClose =
    kDrainNoticeTime + kDrainCheckInterval / 2;
constexpr milliseconds kAfterIdleClose =
    kDrainNoticeTime + 5 * kDrainCheckInterval;

WireDeploymentOptions OneGateway() {
  WireDeploymentOptions options;
  options.domains = 1;
  options.application_settings = "work_ms = 5\nslots = 64\n";
  return options;
}

Callers Connect(const WireDeployment& site) {
  Callers callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawCaller>(site.caller_address(0)));
  }
  return callers;
}

void SendRequests(const Callers& callers, const std::string& name) {
  for (size_t i = 0; i < callers.size(); ++i) {
    callers[i]->Write(RawRequest("/reads/x", name + std::to_string(i)));
  }
}

/// Checks that each caller gets the answer to its request.
void CheckAnswers(const Callers& callers, const std::string& name) {
  for (size_t i = 0; i < callers.size(); ++i) {
    const std::string id = name + std::to_string(i);
    CAPTURE(id);
    const HttpAnswer answer = callers[i]->ReadAnswer();
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer to " + id);
  }
}

/// Sends SIGTERM and freezes the gateway once its shutdown has begun.
std::chrono::steady_clock::time_point TerminateAndFreeze(WireDeployment* site) {
  site->gateway(0).Terminate();
  const auto start = std::chrono::steady_clock::now();
  WaitUntil("not ready",
            [&] { return Send("GET", site->ready_url(0)).status != 200; });
  site->gateway(0).Pause();
  return start;
}

/// Sends requests on kept connections while the gateway is frozen until
/// `freeze_end` after SIGTERM.
void CheckKeptConnections(milliseconds freeze_end) {
  WireDeployment site(OneGateway());
  const Callers callers = Connect(site);
  SendRequests(callers, "first-");
  CheckAnswers(callers, "first-");
  const auto start = TerminateAndFreeze(&site);
  SendRequests(callers, "second-");
  std::this_thread::sleep_until(start + freeze_end);
  site.gateway(0).Continue();
  CheckAnswers(callers, "second-");
  CHECK(site.gateway(0).WaitExit() == 0);
}

// Guards against closing a connection as idle while a request lies unread in
// its socket.
TEST_CASE("requests on kept connections are answered by a gateway that stops") {
  CheckKeptConnections(kAtIdleClose);
}

// Guards against a shutdown that ends while requests lie unread in sockets.
TEST_CASE("requests on kept connections are answered before a gateway ends") {
  CheckKeptConnections(kAfterIdleClose);
}

// Guards against a shutdown that ends while connections wait to be accepted.
TEST_CASE("connections in the accept queue are served before a gateway ends") {
  WireDeployment site(OneGateway());
  const auto start = TerminateAndFreeze(&site);
  const Callers callers = Connect(site);
  SendRequests(callers, "new-");
  std::this_thread::sleep_until(start + kAfterIdleClose);
  site.gateway(0).Continue();
  CheckAnswers(callers, "new-");
  CHECK(site.gateway(0).WaitExit() == 0);
}

// Guards against closing a connection whose first request is on its way.
TEST_CASE("a stopping gateway waits for the request of a new connection") {
  WireDeployment site(OneGateway());
  const auto start = TerminateAndFreeze(&site);
  const Callers callers = Connect(site);
  std::this_thread::sleep_until(start + kAfterIdleClose);
  site.gateway(0).Continue();
  std::this_thread::sleep_for(kDrainFirstRequestTime / 5);
  SendRequests(callers, "new-");
  CheckAnswers(callers, "new-");
  CHECK(site.gateway(0).WaitExit() == 0);
}

// Guards against the idle timeout closing a connection whose next request lies
// unread in its socket.
TEST_CASE(
    "requests that arrive before the idle timeout is checked are served") {
  WireDeploymentOptions options = OneGateway();
  options.limits = {{"idle_timeout_ms", 1500}};
  WireDeployment site(options);
  const Callers callers = Connect(site);
  SendRequests(callers, "first-");
  CheckAnswers(callers, "first-");
  site.gateway(0).Pause();
  SendRequests(callers, "second-");
  std::this_thread::sleep_for(milliseconds(2000));
  site.gateway(0).Continue();
  CheckAnswers(callers, "second-");
  CHECK(MetricValue(site.metrics_url(0),
                    "bramleybank_caller_bytes_dropped_total") == 0);
}

// Guards against cutting a connection whose last answer did not say that the
// connection closes.
TEST_CASE("a request after a stream that began before SIGTERM is answered") {
  WireDeployment site(OneGateway());
  RawCaller caller(site.caller_address(0));
  caller.Write(RawRequest("/streams/x", "stream-1"));
  REQUIRE(caller.ReadUntil("stream-1 1\n"));
  site.gateway(0).Terminate();
  REQUIRE(caller.ReadUntil("\r\n0\r\n\r\n"));
  caller.Write(RawRequest("/reads/x", "read-1"));
  CHECK(caller.ReadAnswer().body == "answer to read-1");
  CHECK(site.gateway(0).WaitExit() == 0);
}

// Guards against dropping a request that arrived together with another one.
TEST_CASE("pipelined requests are all answered by a gateway that stops") {
  WireDeployment site(OneGateway());
  site.gateway(0).Terminate();
  WaitUntil("not ready",
            [&] { return Send("GET", site.ready_url(0)).status != 200; });
  RawCaller caller(site.caller_address(0));
  caller.Write(RawRequest("/reads/x", "read-1") +
               RawRequest("/reads/x", "read-2"));
  CHECK(caller.ReadAnswer().body == "answer to read-1");
  CHECK(caller.ReadAnswer().body == "answer to read-2");
  CHECK(site.gateway(0).WaitExit() == 0);
}

/// Starts a stop in which calls are sent on, because their times are known, and
/// get no answer, because the application is paused.
void StopWithSilentApplication(WireDeployment* site) {
  for (size_t i = 0; i < kMinAnswerTimes; ++i) {
    const std::string id = "known-" + std::to_string(i);
    REQUIRE(site->Call(0, "POST", "/calls/x", id).status == 200);
  }
  site->gateway(0).Terminate();
  WaitUntil("not ready",
            [&] { return Send("GET", site->ready_url(0)).status != 200; });
  site->application(0).Pause();
}

// Guards against requests that get no answer because the time of a stop is
// over.
TEST_CASE("a request that is open when a stop must end gets an answer") {
  WireDeployment site(OneGateway());
  RawCaller caller(site.caller_address(0));
  StopWithSilentApplication(&site);
  caller.Write(RawRequest("/calls/x", "call-1"));
  CHECK(caller.ReadAnswer().status == 502);
  CHECK(site.gateway(0).WaitExit() == 0);
  site.application(0).Continue();
}

// Guards against requests behind the one that is open at the end of a stop,
// which are read and dropped.
TEST_CASE("pipelined requests get answers when a stop must end") {
  constexpr int kPipelined = 5;
  WireDeployment site(OneGateway());
  RawCaller caller(site.caller_address(0));
  StopWithSilentApplication(&site);
  for (int i = 0; i < kPipelined; ++i) {
    caller.Write(RawRequest("/calls/x", "call-" + std::to_string(i)));
  }
  CHECK(caller.ReadAnswer().status == 502);
  for (int i = 1; i < kPipelined; ++i) {
    CHECK(caller.ReadAnswer().status == 503);
  }
  CHECK(site.gateway(0).WaitExit() == 0);
  site.application(0).Continue();
}

/// Reads an answer in blocks of at most 1 MB with pauses, so that it takes
/// longer than the linger time.
size_t ReadSlowly(RawCaller* caller) {
  std::this_thread::sleep_for(2 * kCallerLinger);
  return caller
      ->ReadAnswer([] { std::this_thread::sleep_for(milliseconds(20)); })
      .body.size();
}

WireDeploymentOptions LargeAnswers() {
  WireDeploymentOptions options = OneGateway();
  options.application_settings =
      "work_ms = 5\nanswer_bytes = " + std::to_string(kLargeAnswerBytes) + "\n";
  return options;
}

// Guards against a linger time that cuts an answer to a slow caller.
TEST_CASE("a slow caller gets the whole answer before its connection closes") {
  const WireDeployment site(LargeAnswers());
  RawCaller caller(site.caller_address(0), kSmallReceiveBuffer);
  std::string request = RawRequest("/reads/x", "read-1");
  request.insert(request.size() - 2, "Connection: close\r\n");
  caller.Write(request);
  CHECK(ReadSlowly(&caller) == kLargeAnswerBytes);
}

// Guards against a shutdown that ends while answers lie in the gateway's
// buffers.
TEST_CASE("a slow caller gets the whole answer before a gateway ends") {
  WireDeployment site(LargeAnswers());
  RawCaller caller(site.caller_address(0), kSmallReceiveBuffer);
  site.gateway(0).Terminate();
  caller.Write(RawRequest("/reads/x", "read-1"));
  CHECK(ReadSlowly(&caller) == kLargeAnswerBytes);
  CHECK(site.gateway(0).WaitExit() == 0);
}

// Guards against connections that are held by callers which take a byte now and
// then.
TEST_CASE("a caller that hardly reads its last answer is cut off") {
  const WireDeployment site(LargeAnswers());
  RawCaller caller(site.caller_address(0), kSmallReceiveBuffer);
  std::string request = RawRequest("/reads/x", "read-1");
  request.insert(request.size() - 2, "Connection: close\r\n");
  caller.Write(request);
  REQUIRE(caller.Read(1));
  WaitUntil("the end of the connection", [&] {
    std::this_thread::sleep_for(milliseconds(100));
    caller.Read(1);
    return MetricValue(site.metrics_url(0), "bramleybank_caller_connections") ==
           0;
  });
}

}  // namespace
}  // namespace bramleybank::testing
