// Runs the real daemon as a gateway against stand-ins that implement the users'
// wire protocol.
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "raw_caller.h"
#include "wire_deployment.h"
#include "wire_names.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

constexpr size_t kEvents = 40;

// Guards against wire names, formats and calls that work with the fakes of the
// unit tests but not between real processes.
TEST_CASE(
    "calls and streams are answered completely and carry the customer's name") {
  const WireDeployment site({});
  const HttpAnswer call = site.Call(0, "POST", "/calls/book?n=1", "call-1");
  CHECK(call.status == 200);
  CHECK(call.body == "answer to call-1");
  CHECK(FindHeader(call.headers, platform::kSealHeader).has_value());
  const auto runs = site.RunsOf("call-1");
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].at("method") == "POST");
  CHECK(runs[0].at("target") == "/calls/book?n=1");
  CHECK(runs[0].at("body") == "body of call-1");
  CHECK(runs[0].at("customer") == "customer-1");
  CHECK(runs[0].at("authorization") == "");
  const auto stream = site.Stream(1, "stream-1");
  site.CheckStreamComplete(*stream, "stream-1", kEvents);
  CHECK(site.RunsOf("stream-1").size() == 1);
}

// Guards against requests that reach a server although they have no route or no
// valid key.
TEST_CASE("requests without a route or a known key do not run") {
  const WireDeployment site({});
  CHECK(site.Call(0, "GET", "/other/x", "call-1").status == 404);
  CHECK(site.Call(0, "GET", "/reads/x", "call-2", "wrong").status == 401);
  CHECK(site.RunsOf("call-1").empty());
  CHECK(site.RunsOf("call-2").empty());
}

// Guards against a stream that loses, repeats or mixes events when its engine
// is killed, and against a second prefill of the prompt although a KV cache
// backup exists.
TEST_CASE("a stream resumes from its backup when its engine is killed") {
  WireDeployment site({});
  const auto stream = site.Stream(0, "stream-1");
  // A backup is usable once its generation has produced events for 250 ms.
  stream->WaitForEvents(20);
  site.engine(site.engine_of("stream-1")).Kill();
  site.CheckStreamComplete(*stream, "stream-1", kEvents);
  const auto runs = site.RunsOf("stream-1");
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].at("is_restored") == true);
  CHECK(runs[0].at("first_event").get<uint64_t>() >= 20);
}

// Guards against a partial event that is joined with bytes of the next engine.
// The engine cuts the stream in the middle of an event.
TEST_CASE("a stream that is cut inside an event resumes without loss") {
  const WireDeployment site({});
  const auto stream = site.Stream(0, "stream-1");
  site.ControlEngine(site.engine_of("stream-1"), {{"break_off", 1}});
  site.CheckStreamComplete(*stream, "stream-1", kEvents);
  CHECK(site.RunsOf("stream-1").size() >= 2);
}

// Guards against a stream that hangs because its engine keeps the connection
// open but sends nothing.
TEST_CASE("the stream of a paused engine resumes at another engine") {
  WireDeployment site({});
  const auto stream = site.Stream(0, "stream-1");
  stream->WaitForEvents(10);
  ChildProcess& engine = site.engine(site.engine_of("stream-1"));
  engine.Pause();
  site.CheckStreamComplete(*stream, "stream-1", kEvents);
  engine.Continue();
}

// Guards against running a request again that may have run, and against failing
// a request that a server has refused with the promise that it has not run.
TEST_CASE("a non-idempotent call runs once") {
  const WireDeployment site({});
  for (int i = 0; i < site.application_count(); ++i) {
    site.ControlApplication(i, {{"lose_answers", 1}});
  }
  CHECK(site.Call(0, "POST", "/calls/x", "call-1").status == 502);
  CHECK(site.RunsOf("call-1").size() == 1);
  for (int i = 0; i < site.application_count(); ++i) {
    site.ControlApplication(i, {{"lose_answers", 0}});
  }
  site.ControlApplication(0, {{"refuse", 1}});
  CHECK(site.Call(0, "POST", "/calls/x", "call-2").status == 200);
  CHECK(site.RunsOf("call-2").size() == 1);
}

// Guards against timers that fail requests whose answers lie in the sockets of
// a gateway that was paused.
TEST_CASE("answers that arrive while the gateway is paused are not lost") {
  WireDeploymentOptions options;
  options.domains = 1;
  options.application_settings = "work_ms = 500\nslots = 64\n";
  WireDeployment site(options);
  constexpr int kRequests = 10;
  const int expected_runs = site.RunCountOfApplication(0) + kRequests;
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.push_back(std::make_unique<RawCaller>(site.caller_address(0)));
    callers.back()->Write(RawRequest("/reads/x", "read-" + std::to_string(i)));
  }
  WaitUntil("all runs",
            [&] { return site.RunCountOfApplication(0) == expected_runs; });
  site.gateway(0).Pause();
  // Longer than the latency target, after which a silent attempt is repeated.
  std::this_thread::sleep_for(std::chrono::milliseconds(2300));
  site.gateway(0).Continue();
  for (const auto& caller : callers) {
    CHECK(caller->ReadAnswer().status == 200);
  }
  CHECK(site.RunCountOfApplication(0) == expected_runs);
}

// Guards against returning an error to the caller although another server can
// answer an idempotent request.
TEST_CASE("an idempotent call is repeated at another server") {
  const WireDeployment site({});
  for (const char* fault : {"lose_answers", "fail", "break_off"}) {
    CAPTURE(fault);
    site.ControlApplication(0, {{fault, 1}});
    int calls = 0;
    // Both servers get requests, so the fault takes effect after a few calls.
    WaitUntil("the fault", [&] {
      const std::string id = fault + std::to_string(++calls);
      CHECK(site.Call(0, "GET", "/reads/x", id).status == 200);
      return site.RunsOf(id).size() == 2;
    });
  }
}

void CheckOutage(const std::string& how, bool discards_history) {
  CAPTURE(how);
  CAPTURE(discards_history);
  const WireDeployment site({});
  site.ControlStore({{"down", how}});
  // Published while no gateway can read the store.
  site.PublishConfig(2, "key-2", "/added/");
  CHECK(site.Call(0, "GET", "/reads/x", "read-1").status == 200);
  const auto stream = site.Stream(1, "stream-1");
  site.CheckStreamComplete(*stream, "stream-1", kEvents);
  WaitUntil("the end of all waits for changes",
            [&] { return site.StoreStats().at("waiting") == 0; });
  site.ControlStore({{"down", ""}, {"discard_history", discards_history}});
  for (int i = 0; i < site.gateway_count(); ++i) {
    int calls = 0;
    WaitUntil("the change at gateway " + std::to_string(i), [&] {
      const std::string id =
          "new-" + std::to_string(i) + "-" + std::to_string(++calls);
      return site.Call(i, "GET", "/added/x", id, "key-2").status == 200;
    });
    // The older configuration must not take effect again.
    CHECK(site.Call(i, "GET", "/reads/x", "old-" + std::to_string(i)).status ==
          401);
  }
}

// Guards against gateways that stop serving during a store outage, miss a
// change that was made meanwhile, or rely on history that the store has
// discarded.
TEST_CASE("requests are served in a store outage and changes apply after it") {
  for (const bool discards_history : {false, true}) {
    CheckOutage("busy", discards_history);
    CheckOutage("silent", discards_history);
    CheckOutage("reset", discards_history);
  }
}

/// @returns the gateways that read the store, once every gateway knows all the
/// others.
std::set<int> WaitForRelays(const WireDeployment& site) {
  std::set<int> relays;
  WaitUntil("all gateways agree on two relays", [&] {
    relays.clear();
    bool is_listed = true;
    for (int i = 0; i < site.gateway_count(); ++i) {
      const std::string text = Send("GET", site.metrics_url(i)).body;
      is_listed = is_listed && text.find("bramleybank_gateways " +
                                         std::to_string(site.gateway_count()) +
                                         "\n") != std::string::npos;
      if (text.find("bramleybank_reads_store 1\n") != std::string::npos) {
        relays.insert(i);
      }
    }
    return is_listed && relays.size() == kRelaysPerDomain;
  });
  return relays;
}

/// Checks that the configuration is in force at every gateway that is not
/// excluded.
void CheckInForce(const WireDeployment& site,
                  uint64_t version,
                  const std::set<int>& excluded) {
  int calls = 0;
  for (int i = 0; i < site.gateway_count(); ++i) {
    if (!excluded.contains(i)) {
      WaitUntil("the configuration to be in force", [&] {
        const std::string id = "probe-" + std::to_string(version) + "-" +
                               std::to_string(i) + "-" +
                               std::to_string(++calls);
        return site.Call(i, "GET", WireDeployment::ProbeRoute(version) + "x",
                         id)
                   .status == 200;
      });
    }
  }
}

// Guards against gateways that miss changes because their relay is frozen or
// killed, and against store calls that grow with the number of gateways.
TEST_CASE("gateways of a large domain follow relays and survive their loss") {
  WireDeployment site({.domains = 1, .gateways_per_domain = 10});
  const std::set<int> relays = WaitForRelays(site);
  site.PublishConfig(20, "key-1", WireDeployment::ProbeRoute(20));
  CheckInForce(site, 20, {});
  site.gateway(*relays.begin()).Pause();
  site.PublishConfig(21, "key-1", WireDeployment::ProbeRoute(21));
  CheckInForce(site, 21, {*relays.begin()});
  site.gateway(*relays.rbegin()).Kill();
  site.PublishConfig(22, "key-1", WireDeployment::ProbeRoute(22));
  CheckInForce(site, 22, relays);
  // A relay that was frozen catches up. It serves no older configuration and
  // passes none on.
  site.gateway(*relays.begin()).Continue();
  CheckInForce(site, 22, {*relays.rbegin()});
  CHECK(site.Call(*relays.begin(), "GET", WireDeployment::ProbeRoute(21) + "x",
                  "old-route")
            .status == 404);
}

// Guards against losing live servers whose leases expired during a store
// outage.
TEST_CASE("servers whose entries expired in a store outage are used again") {
  const WireDeployment site({});
  site.ControlStore({{"down", "busy"}});
  WaitUntil("the end of all leases",
            [&] { return site.StoreStats().at("entries") == 0; });
  CHECK(site.Call(0, "GET", "/reads/x", "read-during").status == 200);
  site.ControlStore({{"down", ""}});
  site.WaitServing(0);
  const auto stream = site.Stream(0, "stream-1");
  site.CheckStreamComplete(*stream, "stream-1", kEvents);
}

// Guards against a graceful shutdown that cuts off a stream or stays ready for
// new callers.
TEST_CASE("a graceful shutdown finishes open streams") {
  WireDeployment site({});
  const auto stream = site.Stream(0, "stream-1");
  stream->WaitForEvents(3);
  site.gateway(0).Terminate();
  WaitUntil("not ready",
            [&] { return Send("GET", site.ready_url(0)).status != 200; });
  site.CheckStreamComplete(*stream, "stream-1", kEvents);
  CHECK(site.gateway(0).WaitExit() == 0);
  CHECK(site.Call(1, "GET", "/reads/x", "read-1").status == 200);
}

// Guards against a gateway that depends on local state: after a kill it must
// serve again from the store alone.
TEST_CASE("a killed gateway serves again from the store") {
  WireDeployment site({});
  site.PublishConfig(5, "key-1", "/added/");
  site.gateway(0).Kill();
  site.StartGateway(0);
  site.WaitServing(0);
  CHECK(site.Call(0, "GET", "/added/x", "read-1").status == 200);
}

/// Sends idempotent calls until the rollout has ended.
/// @returns how many were sent, and how many of them ran at application `first`
/// or above.
std::pair<int, int> CallUntilRolloutEnds(const WireDeployment& site,
                                         int first) {
  int calls = 0;
  WaitUntil("the end of the rollout", [&] {
    for (int i = 0; i < 10; ++i) {
      const std::string id = "read-" + std::to_string(++calls);
      CHECK(site.Call(i % site.gateway_count(), "GET", "/reads/x", id).status ==
            200);
    }
    const std::string state = site.RolloutState();
    return !state.empty() && state != "running";
  });
  int runs_at_new = 0;
  for (int i = first; i < site.application_count(); ++i) {
    runs_at_new += site.RunCountOfApplication(i);
  }
  return {calls, runs_at_new};
}

// Guards against a good version whose rollout is not completed although its
// servers are available, and against requests that are lost when the old
// servers stop right after the completion.
TEST_CASE("the rollout of a good version is completed") {
  WireDeployment site({});
  const int first = site.AddApplications("v2");
  site.OrderRollout("v2", 8);
  const auto [calls, runs_at_new] = CallUntilRolloutEnds(site, first);
  CHECK(site.RolloutState() == "completed");
  CHECK(runs_at_new > 0);
  for (int i = 0; i < first; ++i) {
    site.application(i).Kill();
  }
  for (int i = 0; i < site.gateway_count(); ++i) {
    const std::string id = "after-" + std::to_string(i);
    CHECK(site.Call(i, "POST", "/calls/x", id).status == 200);
  }
}

// Guards against completing the rollout of a failing version, and against
// sending it more than a tenth of the requests (plus the 50 that the platform
// allows).
TEST_CASE("the rollout of a failing version is rolled back") {
  WireDeployment site({});
  const int first = site.AddApplications("v2");
  for (int i = first; i < site.application_count(); ++i) {
    site.ControlApplication(i, {{"fail", 1000000}});
  }
  site.OrderRollout("v2", 8);
  const auto [calls, runs_at_new] = CallUntilRolloutEnds(site, first);
  CHECK(site.RolloutState() == "rolled_back");
  CHECK(runs_at_new <= (calls / 10) + 50);
}

// Guards against new requests to a server whose entry says that it is draining.
TEST_CASE("a draining server gets no new requests") {
  const WireDeployment site({});
  site.ControlApplication(0, {{"draining", true}});
  int streak = 0;
  int calls = 0;
  // Requests are spread over both servers, so many consecutive requests at one
  // server mean that the other is no longer used.
  WaitUntil("no request at the draining server", [&] {
    const std::string id = "read-" + std::to_string(++calls);
    CHECK(site.Call(0, "GET", "/reads/x", id).status == 200);
    const bool is_there = site.HasRunAtApplication(0, id);
    streak = is_there ? 0 : streak + 1;
    return streak >= 20;
  });
}

// Guards against new requests to a server whose answers announce its shutdown
// while its entry still says that it is ready.
TEST_CASE("a server that announces its shutdown in an answer is not used") {
  const WireDeployment site({});
  site.ControlApplication(0, {{"leaving", true}});
  const int before = site.ArrivalsAtApplication(0);
  int calls = 0;
  const auto call = [&] {
    const std::string id = "read-" + std::to_string(++calls);
    CHECK(site.Call(0, "GET", "/reads/x", id).status == 200);
  };
  WaitUntil("an answer of the server that shuts down", [&] {
    call();
    return site.ArrivalsAtApplication(0) > before;
  });
  CHECK(site.ArrivalsAtApplication(0) == before + 1);
  for (int i = 0; i < 40; ++i) {
    call();
  }
  CHECK(site.ArrivalsAtApplication(0) == before + 1);
}

// Guards against requests to a full server before the end of its Retry-After
// time: at most two may arrive later than 0.5 s after its refusal.
TEST_CASE("a server that sends Retry-After is not used until then") {
  constexpr std::chrono::milliseconds kPause{2500};
  constexpr int kMaxArrivals = 2;
  const WireDeployment site({});
  const int first = site.ArrivalsAtApplication(0);
  site.ControlApplication(0, {{"refuse", 1}, {"retry_after", "2.5"}});
  int calls = 0;
  const auto call = [&] {
    const std::string id = "read-" + std::to_string(++calls);
    CHECK(site.Call(0, "GET", "/reads/x", id).status == 200);
  };
  auto asked_at = std::chrono::steady_clock::now();
  WaitUntil("a refusal", [&] {
    asked_at = std::chrono::steady_clock::now();
    call();
    return site.ArrivalsAtApplication(0) > first;
  });
  const int before = site.ArrivalsAtApplication(0);
  int arrivals = before;
  while (true) {
    call();
    const int now = site.ArrivalsAtApplication(0);
    if (std::chrono::steady_clock::now() - asked_at >= kPause) {
      break;
    }
    arrivals = now;
  }
  CHECK(arrivals - before <= kMaxArrivals);
  WaitUntil("the server is used again", [&] {
    call();
    return site.ArrivalsAtApplication(0) > arrivals;
  });
}

}  // namespace
}  // namespace bramleybank::testing
