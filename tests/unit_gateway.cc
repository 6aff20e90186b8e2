// Tests of the gateway between callers and endpoints on loopback, with an
// in-memory store: what callers get when endpoints refuse, fail or stop
// responding.
#include "gateway.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base64.h"
#include "bramleybank/limits.h"
#include "gateway_fakes.h"
#include "gateway_fixture.h"
#include "prompt_locations.h"
#include "prompt_locator.h"
#include "prompt_part.h"
#include "prompt_quarantine.h"
#include "prompt_suspects.h"
#include "request_headers.h"
#include "store_rows.h"

namespace bramleybank {
namespace {

using Fixture = GatewayFixture;

TEST_CASE("an answer is forwarded with its headers and the customer is named") {
  Fixture fixture({{{.bytes = kCompleteAnswer}}});
  fixture.Send("GET /read/x?y=1");
  fixture.WaitForAnswer("done");
  CHECK(fixture.answer.starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(fixture.answer.find("Response-Seal: s\r\n") != std::string::npos);
  REQUIRE(fixture.endpoints[0]->requests().size() == 1);
  const std::string& request = fixture.endpoints[0]->requests()[0];
  CHECK(request.starts_with("GET /read/x?y=1 HTTP/1.1\r\n"));
  CHECK(request.find("Tenant: family\r\n") != std::string::npos);
  CHECK(request.find("forged") == std::string::npos);
  CHECK(request.find("good") == std::string::npos);
  CHECK(request.find("Expect-Instance: e0\r\n") != std::string::npos);
}

// Guards against running a non-idempotent request twice. The endpoint closes
// the connection without an answer, so the request may have run.
TEST_CASE("a non-idempotent request whose answer is lost is not repeated") {
  Fixture fixture({{{.bytes = ""}}, {{.bytes = kCompleteAnswer}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("answer_lost");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
  CHECK(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests().empty());
}

// Guards against failing a non-idempotent request although no endpoint has run
// it.
TEST_CASE("a non-idempotent request that was refused is retried elsewhere") {
  Fixture fixture({{{.bytes = kNotRunAnswer}}, {{.bytes = kCompleteAnswer}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("done");
  CHECK(fixture.endpoints[1]->requests().size() == 1);
}

// Guards against a repeat of a non-idempotent request that the end of a stop
// would cut.
TEST_CASE("a request is not sent on to another endpoint at the end of a stop") {
  constexpr Duration kGrace = std::chrono::milliseconds(2500);
  Fixture fixture({{{.bytes = "",
                     .closes = false,
                     .repeated = {},
                     .interval = std::chrono::milliseconds(1500),
                     .pieces = {"", kNotRunAnswer}}},
                   {{.bytes = "", .closes = false}}});
  fixture.Stop(kGrace);
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("draining");
  CHECK(fixture.answer.starts_with("HTTP/1.1 503"));
  CHECK(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests().empty());
}

// Guards against a refusal with a status that wrongly promises that the request
// has not run.
TEST_CASE("a refusal promises not run only if nothing can have run") {
  Fixture refusing({{{.bytes = kNotRunAnswer}}});
  refusing.Send("POST /book/x");
  refusing.WaitForAnswer("overloaded");
  CHECK(refusing.answer.starts_with("HTTP/1.1 503"));
  CHECK(refusing.answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a non-idempotent request that times out may have run") {
  Fixture silent({{{.bytes = "", .closes = false}}});
  silent.Send("POST /book/x");
  silent.WaitForAnswer("timed_out");
  CHECK(silent.answer.starts_with("HTTP/1.1 504"));
}

TEST_CASE("an idempotent request is repeated after a failure") {
  Fixture fixture({{{.bytes = kServerError}}, {{.bytes = kCompleteAnswer}}});
  fixture.Send("GET /read/x");
  fixture.WaitForAnswer("done");
  CHECK(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests().size() == 1);
}

// Guards against idempotent requests that wait for an endpoint that has
// accepted them and then hangs.
TEST_CASE("an idempotent request is retried if an endpoint does not answer") {
  Fixture fixture(
      {{{.bytes = "", .closes = false}}, {{.bytes = kCompleteAnswer}}});
  fixture.Send("GET /read/x");
  fixture.WaitForAnswer("done");
  CHECK(fixture.endpoints[1]->requests().size() == 1);
  fixture.WaitFor([&] { return fixture.endpoints[0]->closed_by_peer() == 1; });
}

// Guards against forwarding bytes of a faulty endpoint as a valid answer.
TEST_CASE("a success without the endpoint's seal is not forwarded") {
  Fixture fixture(
      {{{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("answer_lost");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
}

TEST_CASE("a truncated answer is not forwarded") {
  Fixture fixture({{{.bytes = "HTTP/1.1 200 OK\r\n" + kSealHeaders +
                              "Content-Length: 9\r\n\r\ncut"}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("answer_lost");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
}

// Guards against events that are missing, repeated or partial after a failover.
TEST_CASE("a stream resumes at another engine after its last complete event") {
  Fixture fixture({{{.bytes = kStreamHead + Chunk(Event(1)) + Chunk(Event(2)) +
                              Chunk("id: 3\nda")}},
                   {{.bytes = kStreamHead + Chunk(Event(2)) + Chunk(Event(3)) +
                              Chunk(Event(4)) + "0\r\n\r\n"}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("0\r\n\r\n");
  std::string events;
  for (int id = 1; id <= 4; ++id) {
    events += Chunk(Event(id));
  }
  CHECK(fixture.answer.find(events + "0\r\n\r\n") != std::string::npos);
  REQUIRE(fixture.endpoints[1]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests()[0].find("Last-Event-Id: 2\r\n") !=
        std::string::npos);
}

// Guards against a stalled stream that is never moved because its engine sends
// a byte now and then, and against memory that grows with an endless event.
// Only complete new events count as progress.
TEST_CASE("a stream without new events is moved to another engine") {
  const std::string start = kStreamHead + Chunk(Event(1));
  const std::vector<FakeEndpoint::Step> stalled = {
      Endless(start + Chunk("id: 2\nda"), Chunk("x")),
      Endless(start + Chunk("id: 2\nda"), Chunk(std::string(100'000, 'x'))),
      Endless(start, Chunk(": ping\n\n")), Endless(start, Chunk(Event(1))),
      Endless(start, Chunk("\n"))};
  for (const FakeEndpoint::Step& step : stalled) {
    CAPTURE(step.bytes);
    Fixture fixture(
        {{step}, {{.bytes = kStreamHead + Chunk(Event(2)) + "0\r\n\r\n"}}});
    fixture.Send("POST /write/x");
    fixture.WaitForAnswer("0\r\n\r\n");
    CHECK(fixture.answer.find(Chunk(Event(2)) + "0\r\n\r\n") !=
          std::string::npos);
    CHECK(fixture.endpoints[1]->requests().size() == 1);
  }
}

// Guards against moving slow but healthy streams: each event arrives in pieces,
// just within the longest allowed pause.
TEST_CASE("a slow stream with regular events is not moved") {
  Fixture fixture(
      {{{.bytes = kStreamHead,
         .closes = false,
         .repeated = "",
         .interval = kDefaultEventGap / 3,
         .pieces = {Chunk("id: 1\nda"), Chunk("ta: t\n\n"),
                    Chunk("id: 2\ndata: t"), Chunk("\n\n"), "0\r\n\r\n"}}},
       {{.bytes = kStreamHead + "0\r\n\r\n"}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.answer.find(Chunk(Event(1)) + Chunk(Event(2)) + "0\r\n\r\n") !=
        std::string::npos);
  CHECK(fixture.endpoints[1]->requests().empty());
}

// Guards against an answer whose head or body never ends. The attempt must be
// aborted, memory must stay bounded, and a truncated body must not look
// complete.
TEST_CASE("an endless answer is aborted") {
  const std::string block(200'000, 'x');
  const std::vector<FakeEndpoint::Step> endless = {
      Endless("", "x"),
      Endless("HTTP/1.1 200 OK\r\n", "X: " + std::string(500, 'y') + "\r\n"),
      Endless("HTTP/1.1 200 OK\r\nX: ", std::string(500, 'y')),
      Endless("HTTP/1.1 200 OK\r\n" + kSealHeaders + "\r\n", block),
      Endless("HTTP/1.1 200 OK\r\n" + kSealHeaders +
                  "Content-Length: 99999999999\r\n\r\n",
              block),
      Endless("HTTP/1.1 500 Error\r\n" + kSealHeaders +
                  "Transfer-Encoding: chunked\r\n\r\n",
              Chunk(block))};
  for (const FakeEndpoint::Step& step : endless) {
    CAPTURE(step.bytes);
    Fixture fixture({{step}, {{.bytes = kCompleteAnswer}}});
    fixture.Send("GET /read/x");
    fixture.WaitForAnswer("done");
    CHECK(fixture.answer.starts_with("HTTP/1.1 200"));
    fixture.WaitFor(
        [&] { return fixture.endpoints[0]->closed_by_peer() == 1; });
  }
}

// Guards against an answer that is truncated at the daemon's size limit and
// forwarded with the endpoint's seal.
TEST_CASE("an answer over the size limit is not forwarded in part") {
  const std::string body(kMaxWholeAnswerBytes + 1, 'x');
  Fixture fixture(
      {{{.bytes = "HTTP/1.1 200 OK\r\n" + kSealHeaders + "\r\n" + body,
         .closes = false}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("\r\n\r\n");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
}

// Guards against attempts that last until the deadline while bytes that are no
// answer arrive, where no other timer ends them.
TEST_CASE("an endless head ends the attempt before the deadline") {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  std::string interims;
  for (int i = 0; i < 100; ++i) {
    interims += interim;
  }
  const std::string chunked = "HTTP/1.1 200 OK\r\n" + kSealHeaders +
                              "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text(2000, 'x');
  const std::vector<FakeEndpoint::Step> endless = {
      Endless("", text),
      Endless("", interims),
      Endless("", "HTTP/1.1 102 Wait\r\nX: " + text + "\r\n\r\n"),
      Endless("HTTP/1.1 200 ", text),
      Endless("HTTP/1.1 200 OK\r\nX: ", text),
      Endless("HTTP/1.1 200 OK\r\n", "X: " + text + "\r\n"),
      Endless(chunked + "5;", text),
      Endless(chunked + "0\r\n", "X: " + text + "\r\n"),
      Endless(chunked, std::string(2000, '0'))};
  for (const FakeEndpoint::Step& step : endless) {
    CAPTURE(step.bytes);
    CAPTURE(step.repeated.substr(0, 30));
    Fixture fixture({{step}});
    fixture.Send("POST /book/x");
    fixture.WaitForAnswer("HTTP/1.1 ");
    CHECK(fixture.answer.find("answer_lost") != std::string::npos);
    fixture.WaitFor(
        [&] { return fixture.endpoints[0]->closed_by_peer() == 1; });
  }
}

// Guards against a stalled answer that is waited for beyond the deadline
// because its server sends a byte now and then.
TEST_CASE("an answer that arrives byte by byte ends at the deadline") {
  const Duration pause = std::chrono::milliseconds(100);
  const std::vector<FakeEndpoint::Step> stalled = {
      Endless("HTTP/1.1 200 OK\r\nX: ", "x", pause),
      Endless("", "HTTP/1.1 100 Continue\r\n\r\n", pause),
      Endless("HTTP/1.1 200 OK\r\n" + kSealHeaders + "\r\n", "x", pause)};
  for (const FakeEndpoint::Step& step : stalled) {
    CAPTURE(step.bytes);
    Fixture fixture({{step}});
    fixture.Send("POST /book/x");
    fixture.WaitForAnswer("timed_out");
    CHECK(fixture.answer.starts_with("HTTP/1.1 504"));
    fixture.WaitFor(
        [&] { return fixture.endpoints[0]->closed_by_peer() == 1; });
  }
}

// Guards against an empty stream for a caller whose server dies as it begins to
// write, and against other ends that only look complete.
TEST_CASE("a stream that ends before it is complete is continued elsewhere") {
  const std::string unframed = "HTTP/1.1 200 OK\r\n" + kSealHeaders + "\r\n";
  const std::string cut = "id: 2\ndata: t\n";
  const std::string no_event[] = {
      unframed, kStreamHead, kStreamHead + "0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + kSealHeaders + "Content-Length: 0\r\n\r\n"};
  for (const std::string& bytes : no_event) {
    CAPTURE(bytes);
    const std::string event = Chunk(Event(1));
    Fixture fixture(
        {{{.bytes = bytes}}, {{.bytes = kStreamHead + event + "0\r\n\r\n"}}});
    fixture.Send("POST /write/x");
    fixture.WaitForAnswer("0\r\n\r\n");
    CHECK(fixture.answer.find(event + "0\r\n\r\n") != std::string::npos);
  }
  const std::string cut_off[] = {
      unframed + Event(1) + cut, kStreamHead + Chunk(Event(1)),
      kStreamHead + Chunk(Event(1)) + Chunk(cut) + "0\r\n\r\n",
      kStreamHead + Chunk(Event(1)) + "5\r\n:",
      "HTTP/1.1 200 OK\r\n" + kSealHeaders + "Content-Length: 99\r\n\r\n" +
          Event(1)};
  for (const std::string& bytes : cut_off) {
    CAPTURE(bytes);
    const std::string event = Chunk(Event(2));
    Fixture fixture({{{.bytes = bytes}},
                     {{.bytes = unframed}},
                     {{.bytes = kStreamHead + event + "0\r\n\r\n"}}});
    fixture.Send("POST /write/x");
    fixture.WaitForAnswer("0\r\n\r\n");
    CHECK(fixture.answer.find(Chunk(Event(1)) + event + "0\r\n\r\n") !=
          std::string::npos);
  }
}

// Guards against a stream that is given up although its engine was lost after
// the last event, and the next engine has nothing left to send.
TEST_CASE("a resumed stream may be complete without another event") {
  Fixture fixture({{{.bytes = kStreamHead + Chunk(Event(1))}},
                   {{.bytes = kStreamHead + "0\r\n\r\n"}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.answer.find(Chunk(Event(1)) + "0\r\n\r\n") !=
        std::string::npos);
  CHECK(fixture.endpoints[1]->requests().size() == 1);
}

TEST_CASE("a stream that never has an event fails") {
  Fixture fixture({{{.bytes = kStreamHead + "0\r\n\r\n"}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("answer_lost");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
}

TEST_CASE("events after a gap in a stream are not forwarded") {
  Fixture fixture({{{.bytes = kStreamHead + Chunk(Event(1)) + Chunk(Event(3))}},
                   {{.bytes = kStreamHead + Chunk(Event(2)) + "0\r\n\r\n"}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.answer.find(Chunk(Event(1)) + Chunk(Event(2))) !=
        std::string::npos);
}

// Guards against engines that keep working for callers that have disconnected.
TEST_CASE("an attempt is cancelled when its caller disconnects") {
  Fixture fixture(
      {{{.bytes = kStreamHead + Chunk(Event(1)), .closes = false}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("id: 1");
  fixture.CloseClient();
  fixture.WaitFor([&] { return fixture.endpoints[0]->closed_by_peer() == 1; });
}

TEST_CASE("requests outside the configuration are refused") {
  Fixture fixture({{{.bytes = kCompleteAnswer}}});
  fixture.Send("GET /nothing/x");
  fixture.WaitForAnswer("unknown_path");
  CHECK(fixture.answer.starts_with("HTTP/1.1 404"));
  fixture.answer.clear();
  fixture.Send("GET /read/x", "bad");
  fixture.WaitForAnswer("unknown_customer_key");
  CHECK(fixture.answer.starts_with("HTTP/1.1 401"));
  CHECK(fixture.endpoints[0]->requests().empty());
}

// Guards against a service that is open to everybody because the operator has
// removed the last customer.
TEST_CASE("a configuration whose list of customers is empty knows no key") {
  std::string config = kConfig;
  config.resize(config.find("\"tenants\""));
  const std::string without_list = config + R"("limits":{}})";
  Fixture open({{{.bytes = kCompleteAnswer}}}, without_list);
  open.Send("GET /read/x", "any");
  open.WaitForAnswer("done");
  for (const std::string list : {"[]", R"([{"name":"family"}])", "7"}) {
    CAPTURE(list);
    Fixture closed({{{.bytes = kCompleteAnswer}}},
                   config + R"("tenants":)" + list + "}");
    closed.Send("GET /read/x", "any");
    closed.WaitForAnswer("\r\n\r\n");
    CHECK(closed.answer.starts_with("HTTP/1.1 401"));
    CHECK(closed.endpoints[0]->requests().empty());
  }
}

// Guards against answering 404 or 401 before the first configuration is known.
TEST_CASE("a gateway without a configuration answers that it is not ready") {
  Fixture fixture({}, /*config=*/"");
  fixture.Send("GET /read/x");
  fixture.WaitForAnswer("not_ready");
  CHECK(fixture.answer.starts_with("HTTP/1.1 503"));
}

// Guards against a gateway that fails requests right after its start, while it
// is still reading its configuration. For the caller this may be the last
// retry.
TEST_CASE("a request that comes before the configuration is served") {
  Fixture fixture({{{.bytes = kCompleteAnswer}}}, /*config=*/"");
  fixture.Send("GET /read/x");
  fixture.RunTurns(20);
  CHECK(fixture.answer.empty());
  fixture.store.Answer("op", {.result = StoreResult::kOk,
                              .rows = {{.key = "config", .value = kConfig}},
                              .version = 9});
  fixture.WaitForAnswer("done");
  CHECK(fixture.answer.starts_with("HTTP/1.1 200"));
}

const std::string kFullAnswer =
    "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
    "Retry-After: 30\r\nContent-Length: 0\r\n\r\n";

// Guards against requests to an endpoint that is full and has named a
// Retry-After time, and against callers that retry before that time. The only
// endpoint is full.
TEST_CASE("callers get the Retry-After time of a full endpoint") {
  Fixture fixture({{{.bytes = kFullAnswer}}});
  for (int i = 0; i < 5; ++i) {
    fixture.answer.clear();
    fixture.Send("POST /book/x");
    fixture.WaitForAnswer("\r\n\r\n");
    CHECK(fixture.answer.starts_with("HTTP/1.1 503"));
    const size_t at = fixture.answer.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stod(fixture.answer.substr(at + 13)) > 20);
  }
  CHECK(fixture.endpoints[0]->requests().size() == 1);
}

// Guards against new requests to a server that is about to shut down.
TEST_CASE("a server that announces its shutdown gets no further requests") {
  const std::string leaving = "HTTP/1.1 200 OK\r\n" + kSealHeaders +
                              "Server-Leaving: 1\r\n"
                              "Content-Length: 4\r\n\r\ndone";
  Fixture fixture({{{.bytes = leaving}}, {{.bytes = kCompleteAnswer}}});
  for (int i = 0; i < 5; ++i) {
    fixture.answer.clear();
    fixture.Send("POST /book/x");
    fixture.WaitForAnswer("done");
  }
  CHECK(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests().size() == 4);
}

const std::string kReconnectHeaders =
    "Prompt-Prefix: a:200,b:5000\r\nLast-Event-Id: 3\r\n";
const std::string kRemainingEvents =
    kStreamHead + Chunk(Event(4)) + Chunk(Event(5)) + "0\r\n\r\n";

/// Answers the initial read of the prompt table: `engine` has prefilled
/// the prompt of kReconnectHeaders.
void AnswerPromptRead(FakeStore* store, const std::string& engine) {
  PromptLocations locations;
  locations.Add(HashPrompt("a:200,b:5000"), engine, TimePoint{});
  store->Answer(kPromptTable,
                {.result = StoreResult::kOk,
                 .rows = {{.key = "g2", .value = locations.Encode()}}});
}

// Guards against a second prefill of a prompt because the caller reconnected to
// another gateway.
TEST_CASE("a reconnecting caller resumes at the engine with its prompt") {
  Fixture fixture(
      {{{.bytes = kRemainingEvents}}, {{.bytes = kRemainingEvents}}},
      kEngineConfig);
  AnswerPromptRead(&fixture.store, "e1");
  fixture.Send("POST /write/x", "good", kReconnectHeaders);
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.endpoints[0]->requests().empty());
  REQUIRE(fixture.endpoints[1]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests()[0].find("Last-Event-Id: 3\r\n") !=
        std::string::npos);
}

// Guards against a second prefill of a prompt when the engine that has
// prefilled it has no free slot.
TEST_CASE("another engine copies the prompt from the one that has read it") {
  Fixture fixture({{{.bytes = kRemainingEvents}}, {{.bytes = kNotRunAnswer}}},
                  kEngineConfig);
  AnswerPromptRead(&fixture.store, "e1");
  fixture.Send("POST /write/x", "good", kReconnectHeaders);
  fixture.WaitForAnswer("0\r\n\r\n");
  REQUIRE(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[0]->requests()[0].find(
            "Kv-Fetch: " + fixture.endpoints[1]->address() + "\r\n") !=
        std::string::npos);
}

// Guards against a stream that mixes output of two model versions.
TEST_CASE("a prompt is not copied from an engine of another version") {
  Fixture fixture({{{.bytes = kRemainingEvents}}, {{.bytes = kNotRunAnswer}}},
                  kEngineConfig);
  fixture.store.Answer(
      "servers", {.result = StoreResult::kOk,
                  .rows = {{.key = "e1",
                            .value = MakeEntry(
                                "far", fixture.endpoints[1]->address(), "v2"),
                            .version = 10}},
                  .version = 10});
  AnswerPromptRead(&fixture.store, "e1");
  fixture.Send("POST /write/x", "good", kReconnectHeaders);
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.endpoints[1]->requests().size() == 1);
  REQUIRE(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[0]->requests()[0].find("Kv-Fetch") ==
        std::string::npos);
}

// Guards against a caller that waits for a store that does not answer.
TEST_CASE("a reconnecting caller is served without the store") {
  Fixture fixture({{{.bytes = kRemainingEvents}}}, kEngineConfig);
  fixture.Send("POST /write/x", "good", kReconnectHeaders);
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.endpoints[0]->requests().size() == 1);
}

// Guards against engines that cannot be used until the end of a store outage
// because they restarted during it and have a new id.
TEST_CASE("an engine that restarted in a store outage is used again") {
  const std::string report =
      R"({"stage":"both","models":[],"kv_total":1,"busy":false})";
  Fixture fixture(
      {{{.bytes = "HTTP/1.1 421 Other\r\nInstance-Id: e9\r\n"
                  "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
        {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(report.size()) + "\r\n\r\n" + report},
        {.bytes = kCompleteAnswer}}},
      kEngineConfig);
  fixture.store.Answer("servers", {.result = StoreResult::kUnavailable});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("overloaded");
  fixture.WaitFor([&] { return fixture.endpoints[0]->requests().size() == 2; });
  // The gateway may still be reading the engine's report, so the request is
  // repeated until it reaches the engine.
  while (fixture.endpoints[0]->requests().size() < 3) {
    fixture.answer.clear();
    fixture.Send("POST /write/x");
    fixture.WaitForAnswer("HTTP/1.1 ");
  }
  CHECK(fixture.endpoints[0]->requests()[2].find("Expect-Instance: e9\r\n") !=
        std::string::npos);
}

// Guards against a configuration that reverts when an old row is read again.
TEST_CASE("an older configuration does not replace a newer one") {
  Fixture fixture({{{.bytes = kCompleteAnswer}}});
  fixture.store.Answer(
      "op", {.result = StoreResult::kOk,
             .rows = {{.key = "config", .value = R"({"version":2})"}},
             .version = 10});
  fixture.Send("GET /read/x");
  fixture.WaitForAnswer("done");
}

// Guards against cutting a slow stream because no other attempt is allowed.
TEST_CASE("a silent stream that must not be retried is not cut") {
  Fixture fixture({{{.bytes = kStreamHead + Chunk(Event(1)),
                     .interval = 2 * Duration(kDefaultEventGap),
                     .pieces = {"", Chunk(Event(2)), "0\r\n\r\n"}}}},
                  kConfig, /*retries=*/0);
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.answer.find("id: 2\n") != std::string::npos);
  CHECK(fixture.endpoints[0]->requests().size() == 1);
}

// Guards against failing a request, whose answer is only late, because no other
// attempt is allowed.
TEST_CASE("a late answer is awaited when the request must not be retried") {
  Fixture fixture({{{.bytes = "",
                     .interval = std::chrono::milliseconds(300),
                     .pieces = {"", kCompleteAnswer}}}},
                  kConfig, /*retries=*/0);
  fixture.Send("GET /read/x");
  fixture.WaitForAnswer("\r\n\r\n");
  CHECK(fixture.answer.starts_with("HTTP/1.1 200 OK\r\n"));
}

// Guards against an empty stream for a caller whose engine died as it began to
// write, in place of a retry.
TEST_CASE("a stream without length that ends before any event is retried") {
  Fixture fixture({{{.bytes = "HTTP/1.1 200 OK\r\n" + kSealHeaders + "\r\n"}},
                   {{.bytes = kStreamHead + Chunk(Event(1)) + "0\r\n\r\n"}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.answer.find("id: 1") != std::string::npos);
}

constexpr char kSoundPrompt[] = "Prompt-Prefix: sound:200,own:90\r\n";

// Guards against prompts that crash one endpoint after the other.
TEST_CASE("a stream with a quarantined prompt part is refused at once") {
  Fixture fixture({{{.bytes = kStreamHead + Chunk(Event(1)) + "0\r\n\r\n"}}});
  Quarantine(&fixture.store, "deadly");
  fixture.Send("POST /write/x", "good", kDeadlyPrompt);
  fixture.WaitForAnswer("prompt_quarantined");
  CHECK(fixture.answer.starts_with("HTTP/1.1 503"));
  CHECK(fixture.answer.find("Retry-After: ") != std::string::npos);
  CHECK(fixture.endpoints[0]->requests().empty());
  fixture.Send("POST /write/x", "good", kSoundPrompt);
  fixture.WaitForAnswer("0\r\n\r\n");
}

// Guards against crashes by requests that wait at endpoints, and against an
// answer that wrongly promises that the request has not run.
TEST_CASE("attempts are cancelled when a part of their prompt is quarantined") {
  Fixture fixture({{{.bytes = kStreamHead, .closes = false}}});
  fixture.Send("POST /write/x", "good", kDeadlyPrompt);
  fixture.WaitFor([&] { return fixture.endpoints[0]->requests().size() == 1; });
  Quarantine(&fixture.store, "deadly");
  fixture.WaitForAnswer("answer_lost");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
  fixture.WaitFor([&] { return fixture.endpoints[0]->closed_by_peer() == 1; });
}

// Guards against streams that a quarantine breaks off.
TEST_CASE("a stream that has begun goes on when its prompt is quarantined") {
  Fixture fixture(
      {{{.bytes = kStreamHead + Chunk(Event(1)),
         .closes = false,
         .interval = std::chrono::milliseconds(300),
         .pieces = {Chunk(Event(2)) + Chunk(Event(3)) + "0\r\n\r\n"}}}});
  fixture.Send("POST /write/x", "good", kDeadlyPrompt);
  fixture.WaitForAnswer("id: 1");
  Quarantine(&fixture.store, "deadly");
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.answer.find("id: 3") != std::string::npos);
}

// Guards against a caller's event id that takes a prompt past its quarantine.
TEST_CASE("a resumed stream with a quarantined prompt part is refused") {
  Fixture fixture({{{.bytes = kStreamHead}}});
  Quarantine(&fixture.store, "deadly");
  fixture.Send("POST /write/x", "good",
               std::string(kDeadlyPrompt) + "Last-Event-Id: 3\r\n");
  fixture.WaitForAnswer("prompt_quarantined");
  CHECK(fixture.endpoints[0]->requests().empty());
}

// Guards against crashes that are no evidence because of what was sent before.
TEST_CASE(
    "an attempt that ends before its first event is evidence of a crash") {
  const std::string lengthless = "HTTP/1.1 200 OK\r\n" + kSealHeaders + "\r\n";
  const std::string resumed = "Last-Event-Id: 3\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", ""},
      {"HTTP/1.1 200 OK\r\nReq", ""},
      {kStreamHead, ""},
      {kStreamHead, resumed},
      {lengthless, ""},
      {lengthless + "id: 1\nda", ""},
      {kStreamHead + Chunk("id: 1\nda") + "0\r\n\r\n", ""},
      {kStreamHead + "0\r\n\r\n", ""}};
  for (const auto& [bytes, headers] : cases) {
    CAPTURE(bytes);
    const std::vector<FakeEndpoint::Step> steps = {{.bytes = bytes}};
    Fixture fixture({steps, steps, steps});
    fixture.store.Answer(
        kSuspectTable, {.result = StoreResult::kOk, .rows = {}, .version = 8});
    fixture.Send("POST /write/x", "good", kDeadlyPrompt + headers);
    fixture.WaitFor([&] {
      return std::ranges::any_of(fixture.store.writes, [](const auto& write) {
        return write.table == kSuspectTable;
      });
    });
  }
}

}  // namespace
}  // namespace bramleybank
