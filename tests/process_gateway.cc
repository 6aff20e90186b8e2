// The real daemon as a gateway, against stand-ins that speak the users' wire.
#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>
#include <utility>

#include "bramleybank/limits.h"
#include "wire_deployment.h"
#include "wire_names.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

constexpr size_t kEvents = 40;

// Guards against a path that works with fakes only: names, formats and calls
// as real processes use them.
TEST_CASE("calls and streams are served whole, with the customer's name") {
  const WireDeployment site({});
  const HttpAnswer call = site.Call(0, "POST", "/calls/book?n=1", "call-1");
  CHECK(call.status == 200);
  CHECK(call.body == "answer to call-1");
  CHECK(FindHeader(call.headers, platform::kMarkHeader).has_value());
  const auto runs = site.RunsOf("call-1");
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].at("method") == "POST");
  CHECK(runs[0].at("target") == "/calls/book?n=1");
  CHECK(runs[0].at("body") == "body of call-1");
  CHECK(runs[0].at("customer") == "customer-1");
  CHECK(runs[0].at("authorization") == "");
  const auto stream = site.Stream(1, "stream-1");
  site.CheckWhole(*stream, "stream-1", kEvents);
  CHECK(site.RunsOf("stream-1").size() == 1);
}

// Guards against requests that reach a server without a route or a key.
TEST_CASE("requests without a route or a known key do not run") {
  const WireDeployment site({});
  CHECK(site.Call(0, "GET", "/other/x", "call-1").status == 404);
  CHECK(site.Call(0, "GET", "/reads/x", "call-2", "wrong").status == 401);
  CHECK(site.RunsOf("call-1").empty());
  CHECK(site.RunsOf("call-2").empty());
}

// Guards against a stream that loses, repeats or mixes events, and against a
// second reading of the prompt where a copy of the memory exists.
TEST_CASE("a stream goes on from its copy when its engine is killed") {
  WireDeployment site({});
  const auto stream = site.Stream(0, "stream-1");
  // An engine's copy is used once its run has made events for 250 ms.
  stream->WaitForEvents(20);
  site.engine(site.engine_of("stream-1")).Kill();
  site.CheckWhole(*stream, "stream-1", kEvents);
  const auto runs = site.RunsOf("stream-1");
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].at("is_restored") == true);
  CHECK(runs[0].at("first_event").get<uint64_t>() >= 20);
}

// Guards against half an event that is joined with the next engine's bytes.
TEST_CASE("a stream that breaks off inside an event goes on whole") {
  const WireDeployment site({});
  const auto stream = site.Stream(0, "stream-1");
  site.ControlEngine(site.engine_of("stream-1"), {{"break_off", 1}});
  site.CheckWhole(*stream, "stream-1", kEvents);
  CHECK(site.RunsOf("stream-1").size() >= 2);
}

// Guards against an engine that keeps its connection open and sends nothing.
TEST_CASE("a paused engine's stream goes on elsewhere") {
  WireDeployment site({});
  const auto stream = site.Stream(0, "stream-1");
  stream->WaitForEvents(10);
  ChildProcess& engine = site.engine(site.engine_of("stream-1"));
  engine.Pause();
  site.CheckWhole(*stream, "stream-1", kEvents);
  engine.Continue();
}

// Guards against a second run of a request that may have run, and against a
// refusal where a server has promised that it has not.
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

// Guards against a failure that reaches the caller although another server
// can answer an idempotent request.
TEST_CASE("an idempotent call is repeated at another server") {
  const WireDeployment site({});
  for (const char* fault : {"lose_answers", "fail", "break_off"}) {
    CAPTURE(fault);
    site.ControlApplication(0, {{fault, 1}});
    int calls = 0;
    // Both servers get requests, so the fault shows before long.
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
  // Written while no gateway hears of it.
  site.PublishConfig(2, "key-2", "/added/");
  CHECK(site.Call(0, "GET", "/reads/x", "read-1").status == 200);
  const auto stream = site.Stream(1, "stream-1");
  site.CheckWhole(*stream, "stream-1", kEvents);
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
    // The older configuration must not come back.
    CHECK(site.Call(i, "GET", "/reads/x", "old-" + std::to_string(i)).status ==
          401);
  }
}

// Guards against gateways that stop serving without the store, miss a change
// made meanwhile, or trust history that the store has discarded.
TEST_CASE("an outage of the store stops no request and hides no change") {
  for (const bool discards_history : {false, true}) {
    CheckOutage("busy", discards_history);
    CheckOutage("silent", discards_history);
    CheckOutage("reset", discards_history);
  }
}

/// @returns the gateways that read the store, once all know all others.
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

/// Checks that every gateway but those left out has the configuration.
void CheckInForce(const WireDeployment& site,
                  uint64_t version,
                  const std::set<int>& out) {
  int calls = 0;
  for (int i = 0; i < site.gateway_count(); ++i) {
    if (!out.contains(i)) {
      WaitUntil("a configuration is in force", [&] {
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

// Guards against gateways without news because the relay that they follow is
// frozen or killed, and against calls to the store that grow with the gateways.
TEST_CASE("gateways of a large domain follow relays, and outlive them") {
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
  // A relay that wakes knows what it has missed, and takes nobody back.
  site.gateway(*relays.begin()).Continue();
  CheckInForce(site, 22, {*relays.rbegin()});
  CHECK(site.Call(*relays.begin(), "GET", WireDeployment::ProbeRoute(21) + "x",
                  "old-route")
            .status == 404);
}

// Guards against entries of living servers that are lost with their leases.
TEST_CASE("servers whose entries lapsed in an outage are used again") {
  const WireDeployment site({});
  site.ControlStore({{"down", "busy"}});
  WaitUntil("the end of all leases",
            [&] { return site.StoreStats().at("entries") == 0; });
  CHECK(site.Call(0, "GET", "/reads/x", "read-during").status == 200);
  site.ControlStore({{"down", ""}});
  site.WaitServing(0);
  const auto stream = site.Stream(0, "stream-1");
  site.CheckWhole(*stream, "stream-1", kEvents);
}

// Guards against a planned stop that cuts a stream, and against one that takes
// new callers.
TEST_CASE("a planned stop finishes open streams") {
  WireDeployment site({});
  const auto stream = site.Stream(0, "stream-1");
  stream->WaitForEvents(3);
  site.gateway(0).Terminate();
  WaitUntil("not ready",
            [&] { return Send("GET", site.ready_url(0)).status != 200; });
  site.CheckWhole(*stream, "stream-1", kEvents);
  CHECK(site.gateway(0).WaitExit() == 0);
  CHECK(site.Call(1, "GET", "/reads/x", "read-1").status == 200);
}

// Guards against lasting state on a machine: a killed gateway knows nothing and
// must serve again from the store alone.
TEST_CASE("a killed gateway serves again from the store") {
  WireDeployment site({});
  site.PublishConfig(5, "key-1", "/added/");
  site.gateway(0).Kill();
  site.StartGateway(0);
  site.WaitServing(0);
  CHECK(site.Call(0, "GET", "/added/x", "read-1").status == 200);
}

/// Sends idempotent calls until the rollout has ended.
/// @returns how many were sent, and how many of them ran at `first` or above.
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
  int at_new = 0;
  for (int i = first; i < site.application_count(); ++i) {
    at_new += site.RunCountOfApplication(i);
  }
  return {calls, at_new};
}

// Guards against a good version that is not completed although its servers are
// there, and against requests lost when the old ones stop at that moment.
TEST_CASE("an ordered version that is good is completed") {
  WireDeployment site({});
  const int first = site.AddApplications("v2");
  site.OrderRollout("v2", 8);
  const auto [calls, at_new] = CallUntilRolloutEnds(site, first);
  CHECK(site.RolloutState() == "completed");
  CHECK(at_new > 0);
  for (int i = 0; i < first; ++i) {
    site.application(i).Kill();
  }
  for (int i = 0; i < site.gateway_count(); ++i) {
    const std::string id = "after-" + std::to_string(i);
    CHECK(site.Call(i, "POST", "/calls/x", id).status == 200);
  }
}

// Guards against a bad version that is completed, or that gets more than a
// tenth of the requests (and the 50 that the platform allows besides).
TEST_CASE("an ordered version that fails is rolled back") {
  WireDeployment site({});
  const int first = site.AddApplications("v2");
  for (int i = first; i < site.application_count(); ++i) {
    site.ControlApplication(i, {{"fail", 1000000}});
  }
  site.OrderRollout("v2", 8);
  const auto [calls, at_new] = CallUntilRolloutEnds(site, first);
  CHECK(site.RolloutState() == "rolled_back");
  CHECK(at_new <= (calls / 10) + 50);
}

// Guards against new requests at a server that has said that it leaves.
TEST_CASE("a draining server gets no new requests") {
  const WireDeployment site({});
  site.ControlApplication(0, {{"draining", true}});
  int streak = 0;
  int calls = 0;
  // Requests are spread over both servers, so a long streak at one of them
  // tells that the other is not used any more.
  WaitUntil("no request at the leaving server", [&] {
    const std::string id = "read-" + std::to_string(++calls);
    CHECK(site.Call(0, "GET", "/reads/x", id).status == 200);
    const bool is_there = site.HasRunAtApplication(0, id);
    streak = is_there ? 0 : streak + 1;
    return streak >= 20;
  });
}

// Guards against new requests at a server whose answers say that it leaves
// while its entry says that it is ready.
TEST_CASE("a server that says in an answer that it leaves is left alone") {
  const WireDeployment site({});
  site.ControlApplication(0, {{"leaving", true}});
  const int before = site.ArrivalsAtApplication(0);
  int calls = 0;
  const auto call = [&] {
    const std::string id = "read-" + std::to_string(++calls);
    CHECK(site.Call(0, "GET", "/reads/x", id).status == 200);
  };
  WaitUntil("an answer of the leaving server", [&] {
    call();
    return site.ArrivalsAtApplication(0) > before;
  });
  CHECK(site.ArrivalsAtApplication(0) == before + 1);
  for (int i = 0; i < 40; ++i) {
    call();
  }
  CHECK(site.ArrivalsAtApplication(0) == before + 1);
}

// Guards against requests at a full server before the time that it has named:
// at most two may reach it later than 0.5 s after its refusal.
TEST_CASE("a server that wants nothing for a while is left alone so long") {
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
