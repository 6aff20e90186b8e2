// Guards against a burst of probes at an engine that is silent, and against
// results of probes that outlive other signs of the engine.
#include "endpoint_prober.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>

#include "bramleybank/limits.h"
#include "endpoint_entry.h"
#include "event_loop.h"
#include "gateway_codec.h"
#include "gateway_fakes.h"
#include "metric_registry.h"
#include "request_headers.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTurn{5};
constexpr milliseconds kMaxWait{5000};
constexpr char kReport[] =
    R"({"stage":"both","models":[],"kv_total":9,"queued":2,"runs":[]})";

struct Fixture {
  explicit Fixture(const std::string& report) {
    engine.SetReport(report);
    entry.id = "e1";
    entry.address = engine.address();
  }

  /// Asks for a probe in each turn, as streams do that stay silent.
  void ProbeFor(Duration time) {
    for (const TimePoint end = loop.Now() + time; loop.Now() < end;) {
      prober.Probe(entry);
      loop.RunOnce(kTurn);
    }
  }

  bool WaitFor(const std::function<bool()>& done) {
    for (const TimePoint end = loop.Now() + kMaxWait;
         loop.Now() < end && !done();) {
      loop.RunOnce(kTurn);
    }
    return done();
  }

  EventLoop loop;
  FakeEndpoint engine{&loop, {{.bytes = ""}}};
  const GatewayCodec codec = platform::MakeGatewayCodec();
  MetricRegistry metrics;
  int news = 0;
  EndpointProber prober{&loop, &codec, &metrics, [this] { ++news; }};
  EndpointEntry entry;
};

TEST_CASE("probes of an engine that answers become rarer") {
  Fixture fixture(kReport);
  fixture.ProbeFor(milliseconds(1500));
  // At 0, 150, 450 and 1050 ms at the earliest.
  CHECK(fixture.engine.reports_requested() <= 4);
  CHECK(fixture.engine.reports_requested() >= 2);
  const EndpointEvidence& evidence = fixture.prober.Find("e1");
  REQUIRE(evidence.report);
  CHECK(evidence.report->queued == 2);
  CHECK_FALSE(evidence.unanswered_since);
  CHECK(fixture.news > 0);
}

// Guards against a sound engine at its limit of connections that is taken for
// lost.
TEST_CASE("an engine that resets the connections of probes is alive") {
  Fixture fixture(kReport);
  FakeEndpoint full{&fixture.loop, {{.bytes = "", .resets = true}}};
  fixture.entry.address = full.address();
  CHECK(fixture.WaitFor([&] {
    fixture.prober.Probe(fixture.entry);
    return fixture.prober.Find("e1").answer_valid_until.has_value();
  }));
  CHECK_FALSE(fixture.prober.Find("e1").unanswered_since);
  CHECK_FALSE(fixture.prober.Find("e1").report);
}

TEST_CASE("an engine without a listener is not alive") {
  Fixture fixture(kReport);
  fixture.entry.address = "127.0.0.1:1";
  fixture.ProbeFor(milliseconds(130));
  CHECK(fixture.prober.Find("e1").unanswered_since);
  CHECK_FALSE(fixture.prober.Find("e1").answer_valid_until);
}

TEST_CASE("an engine that does not answer has one open probe") {
  Fixture fixture("");
  fixture.ProbeFor(milliseconds(600));
  CHECK(fixture.engine.reports_requested() == 1);
  REQUIRE(fixture.prober.Find("e1").unanswered_since);
  CHECK_FALSE(fixture.prober.Find("e1").answer_valid_until);
  CHECK(fixture.WaitFor([&] { return fixture.news > 0; }));
  const TimePoint first = *fixture.prober.Find("e1").unanswered_since;
  CHECK(fixture.WaitFor([&] { return fixture.engine.closed_by_peer() == 1; }));
  fixture.ProbeFor(kMinProbeInterval + milliseconds(50));
  CHECK(fixture.prober.Find("e1").unanswered_since == first);
}

TEST_CASE("another sign of the engine makes an open probe start anew") {
  Fixture fixture("");
  fixture.ProbeFor(milliseconds(50));
  const auto first = fixture.prober.Find("e1").unanswered_since;
  fixture.ProbeFor(milliseconds(50));
  fixture.prober.OnSign("e1");
  CHECK(fixture.prober.Find("e1").unanswered_since > first);
  fixture.prober.OnSign("unknown");
  CHECK(fixture.prober.Find("unknown") == EndpointEvidence{});
}

}  // namespace
}  // namespace bramleybank
