// What callers get when the endpoints of their requests are silent: the answer
// of a silent endpoint is awaited unless another one can take the request.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "gateway_fakes.h"
#include "gateway_fixture.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using Step = FakeEndpoint::Step;

// Idempotent requests pass the latency target of 100 ms, streams the time
// between two events.
constexpr milliseconds kSilence{700};
// Streams without a probe are moved after kDefaultEventGap.
constexpr milliseconds kLongSilence{1300};
constexpr char kSilenceConfig[] = R"({"version":3,"routes":[
{"name":"read","host":"h.example","prefix":"/read/","kind":"safe",
 "timeout_ms":4000,"target_latency_ms":100,"service":"app",
 "max_attempts":4},
{"name":"write","host":"h.example","prefix":"/write/","kind":"streaming",
 "timeout_ms":4000,"service":"app","max_attempts":4,"resumable":true}],
"services":[{"name":"app","health_path":"/health","max_conns":9}],
"tenants":[{"name":"family","api_keys":["good"]}]})";
constexpr char kEngineSilenceConfig[] = R"({"version":3,"routes":[
{"name":"write","host":"h.example","prefix":"/write/","kind":"streaming",
 "timeout_ms":4000,"target_gap_ms":700,"service":"app","max_attempts":4,
 "resumable":true}],
"services":[{"name":"app","engine":{"slots":4}}],
"tenants":[{"name":"family","api_keys":["good"]}]})";
const std::string kStreamEnd = "0\r\n\r\n";
const Step kSilent = {.bytes = "", .closes = false};

std::string NotRun(const std::string& headers) {
  return "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n" +
         headers + "Content-Length: 0\r\n\r\n";
}

/// Sends `first`, is silent, and sends `rest`.
Step SilentBetween(const std::string& first, const std::string& rest) {
  return {.bytes = first,
          .closes = false,
          .repeated = {},
          .interval = kSilence,
          .pieces = {"", rest}};
}

Step SlowAnswer() {
  return SilentBetween("", kCompleteAnswer);
}

Step SlowStream() {
  return SilentBetween(kStreamHead + Chunk(Event(1)),
                       Chunk(Event(2)) + kStreamEnd);
}

/// A first answer after which an endpoint can take no request.
struct State {
  std::string name;
  std::string answer;
};

const std::vector<State>& States() {
  static const std::vector<State> states = {
      {.name = "paused", .answer = NotRun("Retry-After: 9\r\n")},
      {.name = "leaving", .answer = NotRun("Server-Leaving: 1\r\n")},
      {.name = "suspect", .answer = ""},
      {.name = "without a permit",
       .answer = NotRun("Server-Limit: 0.0001\r\n")}};
  return states;
}

/// Brings the second endpoint into its state. The first one refuses and is then
/// sound again.
void Prepare(GatewayFixture* fixture) {
  fixture->Send("GET /read/x");
  fixture->WaitForAnswer("\r\n\r\n");
  fixture->answer.clear();
  fixture->RunFor(kRefusedEndpointPause + milliseconds(20));
}

void CheckSlowAnswer(GatewayFixture* fixture) {
  fixture->Send("GET /read/x");
  fixture->WaitForAnswer("\r\n\r\n");
  CHECK(fixture->answer.starts_with("HTTP/1.1 200"));
}

void CheckSlowStream(GatewayFixture* fixture) {
  fixture->Send("POST /write/x");
  fixture->WaitFor([&] { return fixture->HasEnded(kStreamEnd); });
  CHECK(fixture->answer.find(Chunk(Event(1)) + Chunk(Event(2)) + kStreamEnd) !=
        std::string::npos);
}

// Guards against a silent endpoint that is left for one that does not take the
// request.
TEST_CASE("a silent endpoint is asked again when the next one refuses") {
  GatewayFixture fixture(
      {{{.bytes = "", .closes = false}, {.bytes = kCompleteAnswer}},
       {{.bytes = kNotRunAnswer}}});
  fixture.Send("GET /read/x");
  fixture.WaitFor([&] { return fixture.HasEnded("done"); });
  CHECK(fixture.answer.starts_with("HTTP/1.1 200"));
  CHECK(fixture.endpoints[0]->requests().size() == 2);
  CHECK(fixture.endpoints[1]->requests().size() == 1);
}

// Guards against a sound stream that is ended for a successor that does not
// take it.
TEST_CASE(
    "a silent stream goes on at its endpoint when the successor refuses") {
  const std::vector<State> successors = {
      {.name = "full", .answer = kNotRunAnswer},
      {.name = "failing", .answer = kServerError},
      {.name = "closing", .answer = ""}};
  for (const State& successor : successors) {
    CAPTURE(successor.name);
    Step slow = SlowStream();
    slow.interval = kLongSilence;
    const std::vector<Step> refusing = {{.bytes = successor.answer}};
    GatewayFixture fixture({{slow}, refusing, refusing}, kSilenceConfig);
    CheckSlowStream(&fixture);
    CHECK(fixture.endpoints[0]->requests().size() == 1);
    CHECK(fixture.endpoints[1]->requests().size() == 1);
    CHECK(fixture.endpoints[2]->requests().size() == 1);
  }
}

// Guards against a stream at a dead endpoint that is never resumed because the
// other endpoints were full at first.
TEST_CASE("a silent stream asks again when the successors were full") {
  GatewayFixture fixture(
      {{{.bytes = kStreamHead + Chunk(Event(1)), .closes = false}},
       {{.bytes = NotRun("")},
        {.bytes = kStreamHead + Chunk(Event(2)) + kStreamEnd}},
       {{.bytes = NotRun("")},
        {.bytes = kStreamHead + Chunk(Event(2)) + kStreamEnd}}},
      kSilenceConfig);
  CheckSlowStream(&fixture);
  CHECK(fixture.CountRequests() == 4);
}

// Guards against a stream that is cut because all other endpoints are full when
// its own is lost, also in a planned stop.
TEST_CASE("a stream whose endpoint is lost waits for a slot elsewhere") {
  const std::vector<Step> full_at_first = {
      {.bytes = NotRun("")},
      {.bytes = NotRun("")},
      {.bytes = kStreamHead + Chunk(Event(2)) + kStreamEnd}};
  for (const bool stops : {false, true}) {
    CAPTURE(stops);
    GatewayFixture fixture({{{.bytes = kStreamHead + Chunk(Event(1))}},
                            full_at_first,
                            full_at_first},
                           kSilenceConfig);
    fixture.Send("POST /write/x");
    if (stops) {
      fixture.WaitForAnswer(Chunk(Event(1)));
      fixture.Stop(std::chrono::seconds(8));
    }
    fixture.WaitFor([&] { return fixture.HasEnded(kStreamEnd); });
    CHECK(fixture.answer.find(Chunk(Event(1)) + Chunk(Event(2)) + kStreamEnd) !=
          std::string::npos);
  }
}

// Guards against a stream that keeps its caller waiting at a gateway that
// reaches no endpoint.
TEST_CASE("a stream that reaches no endpoint is cut at once") {
  GatewayFixture fixture({{{.bytes = kStreamHead + Chunk(Event(1))}},
                          {{.bytes = "", .resets = true}}},
                         kSilenceConfig);
  fixture.Send("POST /write/x");
  fixture.WaitFor([&] { return fixture.HasEnded(kStreamEnd); });
  CHECK(fixture.closed);
  CHECK(fixture.CountRequests() == 2);
}

// The same for idempotent requests.
TEST_CASE("a slow answer is passed on when the successor refuses") {
  GatewayFixture fixture({{SlowAnswer(), kSilent},
                          {{.bytes = kNotRunAnswer}},
                          {{.bytes = kServerError}}},
                         kSilenceConfig);
  CheckSlowAnswer(&fixture);
}

/// Plays a stream whose first endpoint has sent one event and ends like
/// `first`, with a retry budget of one. The second endpoint refuses.
void CheckResumedWithOneRetry(const Step& first) {
  constexpr int kOneRetry = 100;  // Shared by the assumed gateways.
  GatewayFixture fixture(
      {{first},
       {{.bytes = NotRun("")}},
       {{.bytes = kStreamHead + Chunk(Event(2)) + kStreamEnd}}},
      kSilenceConfig, kOneRetry);
  fixture.Send("POST /write/x");
  fixture.WaitFor([&] { return fixture.HasEnded(kStreamEnd); });
  CHECK(fixture.answer.find(Chunk(Event(2)) + kStreamEnd) != std::string::npos);
  CHECK(fixture.endpoints[1]->requests().size() == 1);
}

// Guards against a stream that is aborted because the successor of a silent
// endpoint refuses when the retry budget is used up.
TEST_CASE("a refusing successor does not end a stream without a retry budget") {
  CheckResumedWithOneRetry(
      {.bytes = kStreamHead + Chunk(Event(1)), .closes = false});
}

// Guards against a stream that is cut because the retry budget is used up when
// its endpoint is lost.
TEST_CASE("a stream whose endpoint is lost has a reserve of the retry budget") {
  CheckResumedWithOneRetry({.bytes = kStreamHead + Chunk(Event(1))});
}

// Guards against runs beyond max_attempts because the refusal of another
// request is taken for that of the successor.
TEST_CASE("a successor that refuses another request may have run this one") {
  std::string config = kSilenceConfig;
  config.replace(config.find("attempts\":4"), 11, "attempts\":2");
  std::string other = kNotRunAnswer;
  other.replace(other.find("r1"), 2, "r2");
  GatewayFixture fixture(
      {{SlowAnswer()}, {{.bytes = other}}, {{.bytes = kCompleteAnswer}}},
      config);
  CheckSlowAnswer(&fixture);
  CHECK(fixture.CountRequests() == 2);
}

// Guards against ending the attempt at a silent endpoint when the only other
// one can take no request.
TEST_CASE("a silent attempt is kept while no other endpoint takes requests") {
  for (const State& state : States()) {
    CAPTURE(state.name);
    const Step other = {.bytes = state.answer};
    GatewayFixture read({{{.bytes = NotRun("")}, SlowAnswer()},
                         {other, {.bytes = kCompleteAnswer}}},
                        kSilenceConfig);
    Prepare(&read);
    CheckSlowAnswer(&read);
    CHECK(read.endpoints[1]->requests().size() == 1);
    GatewayFixture stream({{{.bytes = NotRun("")}, SlowStream()},
                           {other, {.bytes = kStreamHead + kStreamEnd}}},
                          kSilenceConfig);
    Prepare(&stream);
    CheckSlowStream(&stream);
    CHECK(stream.endpoints[1]->requests().size() == 1);
  }
}

// Guards against ending the last attempt before the deadline.
TEST_CASE("a silent attempt is kept when all endpoints have been tried") {
  GatewayFixture alone({{SlowAnswer()}}, kSilenceConfig);
  CheckSlowAnswer(&alone);
  GatewayFixture read({{kSilent}, {SlowAnswer()}}, kSilenceConfig);
  CheckSlowAnswer(&read);
  GatewayFixture stream(
      {{{.bytes = kStreamHead + Chunk(Event(1)), .closes = false}},
       {SlowStream()}},
      kSilenceConfig);
  CheckSlowStream(&stream);
}

// Guards against ending an attempt that no further one may follow.
TEST_CASE("a silent attempt is kept when no retry is granted") {
  GatewayFixture read({{SlowAnswer()}, {{.bytes = kCompleteAnswer}}},
                      kSilenceConfig, /*retries=*/0);
  CheckSlowAnswer(&read);
  CHECK(read.endpoints[1]->requests().empty());
  GatewayFixture stream({{SlowStream()}, {{.bytes = kStreamHead}}},
                        kSilenceConfig, /*retries=*/0);
  CheckSlowStream(&stream);
  CHECK(stream.endpoints[1]->requests().empty());
}

// Guards against runs beyond max_attempts because of silence.
TEST_CASE("a silent attempt is kept when its route allows no further one") {
  std::string config = kSilenceConfig;
  for (size_t at = 0;
       (at = config.find("attempts\":4", at)) != std::string::npos;) {
    config[at + 10] = '2';
  }
  GatewayFixture read({{kSilent}, {SlowAnswer()}, {SlowAnswer()}}, config);
  CheckSlowAnswer(&read);
  CHECK(read.CountRequests() == 2);
  GatewayFixture stream(
      {{{.bytes = kStreamHead + Chunk(Event(1)), .closes = false}},
       {SlowStream()},
       {SlowStream()}},
      config);
  CheckSlowStream(&stream);
  CHECK(stream.CountRequests() == 2);
}

// Guards against streams that may not be resumed and are moved or cut.
TEST_CASE("a silent stream that cannot be resumed is kept") {
  std::string config = kSilenceConfig;
  config.replace(config.find("true"), 4, "false");
  GatewayFixture fixture({{SlowStream()}, {{.bytes = kStreamHead}}}, config);
  CheckSlowStream(&fixture);
  CHECK(fixture.endpoints[1]->requests().empty());
}

// Guards against a kept attempt at a dead endpoint that is never replaced, and
// against a retry budget that is charged while the attempt is kept: the three
// retries are those of Prepare() and the last one.
TEST_CASE("a kept attempt is replaced once an endpoint can take its request") {
  const std::string paused = NotRun("Retry-After: 0.6\r\n");
  GatewayFixture read({{{.bytes = NotRun("")}, kSilent},
                       {{.bytes = paused}, {.bytes = kCompleteAnswer}}},
                      kSilenceConfig, /*retries=*/3 * kAssumedPeerCount);
  Prepare(&read);
  CheckSlowAnswer(&read);
  GatewayFixture stream(
      {{{.bytes = NotRun("")},
        {.bytes = kStreamHead + Chunk(Event(1)), .closes = false}},
       {{.bytes = paused},
        {.bytes = kStreamHead + Chunk(Event(2)) + kStreamEnd}}},
      kSilenceConfig, /*retries=*/3 * kAssumedPeerCount);
  Prepare(&stream);
  CheckSlowStream(&stream);
}

// Guards against a silent attempt that is kept although a permit for the other
// endpoint can be had.
TEST_CASE("a silent attempt is replaced at an endpoint that needs a permit") {
  GatewayFixture fixture({{{.bytes = NotRun("")}, kSilent},
                          {{.bytes = NotRun("Server-Limit: 50000\r\n")},
                           {.bytes = kCompleteAnswer}}},
                         kSilenceConfig);
  Prepare(&fixture);
  CheckSlowAnswer(&fixture);
}

/// @returns the report of an engine that runs the request of the fixture.
std::string Report(int events) {
  return R"({"stage":"both","models":[],"kv_total":9,"queued":0,"running":1,)"
         R"("runs":[["r1",700,)" +
         std::to_string(events) + ",5]]}";
}

// Guards against a stream that runs at two engines because the first one pauses
// as its route allows, or for a second.
TEST_CASE("a pausing stream stays at an engine that answers probes") {
  for (const milliseconds pause : {milliseconds(600), milliseconds(1300)}) {
    Step step = SlowStream();
    step.interval = pause;
    GatewayFixture fixture({{step}, {{.bytes = kStreamHead + kStreamEnd}}},
                           kEngineSilenceConfig);
    fixture.endpoints[0]->SetReport(Report(1));
    CheckSlowStream(&fixture);
    CHECK(fixture.endpoints[0]->reports_requested() > 0);
    CHECK(fixture.endpoints[1]->requests().empty());
  }
}

// Guards against a stream that runs at two engines because the first one is at
// its limit of connections and resets probes.
TEST_CASE("a pausing stream stays at an engine that resets probes") {
  GatewayFixture fixture({{SlowStream(), {.bytes = "", .resets = true}},
                          {{.bytes = kStreamHead + kStreamEnd}}},
                         kEngineSilenceConfig);
  CheckSlowStream(&fixture);
  CHECK(fixture.endpoints[0]->requests().size() > 1);
  CHECK(fixture.endpoints[1]->requests().empty());
}

// Guards against a stream that runs at two engines because the first one is
// full, asks for no or few requests and is not asked for its report.
TEST_CASE("a pausing stream stays at an engine that has restricted requests") {
  for (const std::string restriction :
       {"Retry-After: 1\r\n", "Server-Limit: 20\r\n"}) {
    CAPTURE(restriction);
    Step step = SlowStream();
    step.interval = milliseconds(1500);
    const Step other = {.bytes = kStreamHead + Chunk(Event(1)) + kStreamEnd};
    GatewayFixture fixture({{step, {.bytes = NotRun(restriction)}},
                            {{.bytes = NotRun("")}, other, other}},
                           kEngineSilenceConfig);
    fixture.endpoints[0]->SetReport(Report(1));
    fixture.Send("POST /write/x");
    fixture.WaitForAnswer(Chunk(Event(1)));
    fixture.SendBeside("POST /write/y");
    fixture.WaitFor([&] { return fixture.HasEnded(kStreamEnd); });
    CHECK(fixture.answer.find(Chunk(Event(2)) + kStreamEnd) !=
          std::string::npos);
    CHECK(fixture.endpoints[0]->requests().size() == 2);
    for (const std::string& request : fixture.endpoints[1]->requests()) {
      CHECK(request.find("Last-Event-Id") == std::string::npos);
    }
  }
}

// Guards against streams that wait for an engine that is gone, or for events
// that a dead connection holds back.
TEST_CASE("a silent stream leaves an engine that has lost it") {
  for (const std::string& report : {std::string(), Report(9)}) {
    CAPTURE(report);
    GatewayFixture fixture(
        {{{.bytes = kStreamHead + Chunk(Event(1)), .closes = false}},
         {{.bytes = kStreamHead + Chunk(Event(2)) + kStreamEnd}}},
        kEngineSilenceConfig);
    fixture.endpoints[0]->SetReport(report);
    CheckSlowStream(&fixture);
    CHECK(fixture.endpoints[1]->requests().size() == 1);
  }
}

}  // namespace
}  // namespace bramleybank
