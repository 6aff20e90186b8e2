// The gateway between callers and endpoints on loopback, with a store in
// memory: what callers get when endpoints refuse, fail or fall silent.
#include "gateway.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base64.h"
#include "bramleybank/limits.h"
#include "event_loop.h"
#include "gateway_codec.h"
#include "gateway_fakes.h"
#include "gateway_rows.h"
#include "gateway_settings.h"
#include "prompt_locations.h"
#include "prompt_locator.h"
#include "request_headers.h"
#include "store_rows.h"

namespace bramleybank {
namespace {

constexpr Duration kTurn = std::chrono::milliseconds(5);
constexpr int kMaxTurns = 4000;

constexpr char kConfig[] = R"({"version":3,"routes":[
{"name":"book","host":"h.example","prefix":"/book/","kind":"unsafe",
 "timeout_ms":2000,"service":"app","max_attempts":1},
{"name":"read","host":"h.example","prefix":"/read/","kind":"safe",
 "timeout_ms":2000,"target_latency_ms":100,"service":"app",
 "max_attempts":2},
{"name":"write","host":"h.example","prefix":"/write/","kind":"streaming",
 "timeout_ms":5000,"service":"app","max_attempts":5,"resumable":true}],
"services":[{"name":"app","health_path":"/health","max_conns":9}],
"tenants":[{"name":"family","api_keys":["good"]}]})";

constexpr char kEngineConfig[] = R"({"version":3,"routes":[
{"name":"write","host":"h.example","prefix":"/write/","kind":"streaming",
 "timeout_ms":5000,"service":"app","max_attempts":5,"resumable":true}],
"services":[{"name":"app","engine":{"slots":4,"backups":true}}],
"tenants":[{"name":"family","api_keys":["good"]}]})";

const std::string kMarks = "Request-Id: r1\r\nResponse-Seal: s\r\n";
const std::string kWhole =
    "HTTP/1.1 200 OK\r\n" + kMarks + "Content-Length: 4\r\n\r\ndone";
const std::string kFailed =
    "HTTP/1.1 500 Error\r\n" + kMarks + "Content-Length: 0\r\n\r\n";
const std::string kNotRun =
    "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\n" + kMarks + "Transfer-Encoding: chunked\r\n\r\n";

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

/// A gateway with its configuration in force, and endpoints in a fixed order:
/// the first is nearest.
class Fixture {
 public:
  explicit Fixture(std::vector<std::vector<FakeEndpoint::Step>> scripts,
                   const std::string& config = kConfig)
      : m_gateway(&m_loop,
                  MakeSettings(),
                  &store,
                  platform::MakeGatewayCodec(),
                  platform::MakeGatewayRows()) {
    REQUIRE(m_gateway.Start());
    std::vector<StoreRow> rows;
    const std::vector<std::string> domains = {"near", "far", "farther"};
    for (size_t i = 0; i < scripts.size(); ++i) {
      endpoints.push_back(std::make_unique<FakeEndpoint>(&m_loop, scripts[i]));
      rows.push_back(
          {.key = "e" + std::to_string(i),
           .value = R"({"service":"app","state":"ready","slots":4,"zone":")" +
                    domains[i] + R"(","address":")" + endpoints[i]->address() +
                    "\"}",
           .version = i + 1});
    }
    if (!config.empty()) {
      store.Answer("op", {.result = StoreResult::kOk,
                          .rows = {{.key = "config", .value = config}},
                          .version = 9});
    }
    store.Answer(
        "servers",
        {.result = StoreResult::kOk, .rows = std::move(rows), .version = 9});
  }

  /// Sends a request and collects the answer.
  /// @param headers whole lines.
  void Send(const std::string& method_and_path,
            const std::string& key = "good",
            const std::string& headers = "") {
    m_client = TcpConnection::Connect(
        &m_loop, "127.0.0.1:" + std::to_string(m_gateway.caller_port()),
        std::chrono::seconds(5),
        {.on_connected =
             [this, method_and_path, key, headers] {
               m_client->Write(method_and_path +
                               " HTTP/1.1\r\nHost: h.example\r\n"
                               "Request-Id: r1\r\nDeadline-Ms: 4000\r\n"
                               "Tenant: forged\r\nAuthorization: Bearer " +
                               key + "\r\n" + headers + "\r\n");
             },
         .on_data = [this](std::string_view data) { answer += data; },
         .on_end = [this](TcpEnd) { closed = true; },
         .on_drained = nullptr});
  }

  void CloseClient() { m_client->Close(); }

  /// Serves events until `done` holds.
  void WaitFor(const std::function<bool()>& done) {
    for (int turn = 0; turn < kMaxTurns && !done(); ++turn) {
      m_loop.RunOnce(kTurn);
    }
    REQUIRE(done());
  }

  void RunTurns(int turns) {
    for (int turn = 0; turn < turns; ++turn) {
      m_loop.RunOnce(kTurn);
    }
  }

  void WaitForAnswer(const std::string& text) {
    WaitFor([&] { return answer.find(text) != std::string::npos; });
  }

  FakeStore store;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
  std::string answer;
  bool closed = false;

 private:
  static GatewaySettings MakeSettings() {
    GatewaySettings settings;
    settings.name = "g1";
    settings.place = {
        .failure_domain = "near",
        .region = "r1",
        .regions = {{"near", "r1"}, {"far", "r2"}, {"farther", "r3"}}};
    settings.caller_address = "127.0.0.1:0";
    settings.ready_address = "127.0.0.1:0";
    settings.metrics_address = "127.0.0.1:0";
    settings.max_store_silence = std::chrono::seconds(4);
    settings.stop_grace = std::chrono::seconds(8);
    settings.retry_share = 1;
    settings.retry_extra = 1000;
    return settings;
  }

  EventLoop m_loop;
  Gateway m_gateway;
  std::shared_ptr<TcpConnection> m_client;
};

TEST_CASE("an answer is passed on with its headers; the customer is named") {
  Fixture fixture({{{.bytes = kWhole}}});
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

// Guards against a booking that runs twice.
TEST_CASE("a non-idempotent request whose answer is lost is not repeated") {
  Fixture fixture({{{.bytes = ""}}, {{.bytes = kWhole}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("answer_lost");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
  CHECK(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests().empty());
}

// Guards against a booking that is lost although no endpoint has run it.
TEST_CASE("a non-idempotent request that was refused unrun goes elsewhere") {
  Fixture fixture({{{.bytes = kNotRun}}, {{.bytes = kWhole}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("done");
  CHECK(fixture.endpoints[1]->requests().size() == 1);
}

// Guards against a refusal that promises more than is true.
TEST_CASE("a refusal says not run only while nothing can have run") {
  Fixture refusing({{{.bytes = kNotRun}}});
  refusing.Send("POST /book/x");
  refusing.WaitForAnswer("overloaded");
  CHECK(refusing.answer.starts_with("HTTP/1.1 503"));
  CHECK(refusing.answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a non-idempotent request in time-out may have run") {
  Fixture silent({{{.bytes = "", .closes = false}}});
  silent.Send("POST /book/x");
  silent.WaitForAnswer("timed_out");
  CHECK(silent.answer.starts_with("HTTP/1.1 504"));
}

TEST_CASE("an idempotent request is repeated after a failure") {
  Fixture fixture({{{.bytes = kFailed}}, {{.bytes = kWhole}}});
  fixture.Send("GET /read/x");
  fixture.WaitForAnswer("done");
  CHECK(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests().size() == 1);
}

// Guards against lookups that wait for a server that has hung up inside.
TEST_CASE("an idempotent request leaves an endpoint that does not answer") {
  Fixture fixture({{{.bytes = "", .closes = false}}, {{.bytes = kWhole}}});
  fixture.Send("GET /read/x");
  fixture.WaitForAnswer("done");
  CHECK(fixture.endpoints[1]->requests().size() == 1);
  fixture.WaitFor([&] { return fixture.endpoints[0]->closed_by_peer() == 1; });
}

// Guards against bytes of a faulty endpoint that callers take for an answer.
TEST_CASE("a success without the endpoint's mark is not passed on") {
  Fixture fixture(
      {{{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("answer_lost");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
}

TEST_CASE("an answer that was cut off is not passed on") {
  Fixture fixture({{{.bytes = "HTTP/1.1 200 OK\r\n" + kMarks +
                              "Content-Length: 9\r\n\r\ncut"}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("answer_lost");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
}

// Guards against events that are missing, repeated or cut in two.
TEST_CASE("a stream goes on at another engine after its last whole event") {
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

/// An endpoint that sends `bytes`, then `repeated` until it is left.
FakeEndpoint::Step Endless(const std::string& bytes,
                           const std::string& repeated,
                           Duration interval = std::chrono::milliseconds(5)) {
  return {.bytes = bytes,
          .closes = false,
          .repeated = repeated,
          .interval = interval};
}

// Guards against a stalled stream that never ends because its engine sends a
// byte now and then, and against memory that grows with endless bytes: only
// whole events that are new count as progress.
TEST_CASE("a stream whose bytes bring no event goes on elsewhere") {
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

// Guards against slow but sound streams that are cut: each event arrives in
// pieces, just within the longest pause.
TEST_CASE("a slow stream whose events keep coming stays where it is") {
  Fixture fixture(
      {{{.bytes = kStreamHead,
         .closes = false,
         .repeated = "",
         .interval = kMaxEventSilence / 3,
         .pieces = {Chunk("id: 1\nda"), Chunk("ta: t\n\n"),
                    Chunk("id: 2\ndata: t"), Chunk("\n\n"), "0\r\n\r\n"}}},
       {{.bytes = kStreamHead + "0\r\n\r\n"}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.answer.find(Chunk(Event(1)) + Chunk(Event(2)) + "0\r\n\r\n") !=
        std::string::npos);
  CHECK(fixture.endpoints[1]->requests().empty());
}

// Guards against bytes without end in the head or the body of an answer: the
// attempt ends, memory stays bounded, and a cut body does not look whole.
TEST_CASE("an answer without end is given up") {
  const std::string block(200'000, 'x');
  const std::vector<FakeEndpoint::Step> endless = {
      Endless("", "x"),
      Endless("HTTP/1.1 200 OK\r\n", "X: " + std::string(500, 'y') + "\r\n"),
      Endless("HTTP/1.1 200 OK\r\nX: ", std::string(500, 'y')),
      Endless("HTTP/1.1 200 OK\r\n" + kMarks + "\r\n", block),
      Endless("HTTP/1.1 200 OK\r\n" + kMarks +
                  "Content-Length: 99999999999\r\n\r\n",
              block),
      Endless("HTTP/1.1 500 Error\r\n" + kMarks +
                  "Transfer-Encoding: chunked\r\n\r\n",
              Chunk(block))};
  for (const FakeEndpoint::Step& step : endless) {
    CAPTURE(step.bytes);
    Fixture fixture({{step}, {{.bytes = kWhole}}});
    fixture.Send("GET /read/x");
    fixture.WaitForAnswer("done");
    CHECK(fixture.answer.starts_with("HTTP/1.1 200"));
    fixture.WaitFor(
        [&] { return fixture.endpoints[0]->closed_by_peer() == 1; });
  }
}

// Guards against an answer that is cut at the daemon's limit and passed on with
// the endpoint's mark.
TEST_CASE("an answer over the limit is not passed on in part") {
  const std::string body(kMaxWholeAnswerBytes + 1, 'x');
  Fixture fixture({{{.bytes = "HTTP/1.1 200 OK\r\n" + kMarks + "\r\n" + body,
                     .closes = false}}});
  fixture.Send("POST /book/x");
  fixture.WaitForAnswer("\r\n\r\n");
  CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
}

TEST_CASE("a stream with a gap is not passed on") {
  Fixture fixture({{{.bytes = kStreamHead + Chunk(Event(1)) + Chunk(Event(3))}},
                   {{.bytes = kStreamHead + Chunk(Event(2)) + "0\r\n\r\n"}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.answer.find(Chunk(Event(1)) + Chunk(Event(2))) !=
        std::string::npos);
}

// Guards against engines that work for callers who have left.
TEST_CASE("an engine is cancelled when its caller leaves") {
  Fixture fixture(
      {{{.bytes = kStreamHead + Chunk(Event(1)), .closes = false}}});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("id: 1");
  fixture.CloseClient();
  fixture.WaitFor([&] { return fixture.endpoints[0]->closed_by_peer() == 1; });
}

TEST_CASE("requests outside the configuration are refused") {
  Fixture fixture({{{.bytes = kWhole}}});
  fixture.Send("GET /nothing/x");
  fixture.WaitForAnswer("unknown_path");
  CHECK(fixture.answer.starts_with("HTTP/1.1 404"));
  fixture.answer.clear();
  fixture.Send("GET /read/x", "bad");
  fixture.WaitForAnswer("unknown_customer_key");
  CHECK(fixture.answer.starts_with("HTTP/1.1 401"));
  CHECK(fixture.endpoints[0]->requests().empty());
}

// Guards against 404 and 401 from a gateway that knows no configuration yet.
TEST_CASE("a gateway without a configuration answers that it is not ready") {
  Fixture fixture({}, /*config=*/"");
  fixture.Send("GET /read/x");
  fixture.WaitForAnswer("not_ready");
  CHECK(fixture.answer.starts_with("HTTP/1.1 503"));
}

// Guards against a gateway that has just started and takes each caller's last
// try while its configuration is under way.
TEST_CASE("a request that comes before the configuration is served") {
  Fixture fixture({{{.bytes = kWhole}}}, /*config=*/"");
  fixture.Send("GET /read/x");
  fixture.RunTurns(20);
  CHECK(fixture.answer.empty());
  fixture.store.Answer("op", {.result = StoreResult::kOk,
                              .rows = {{.key = "config", .value = kConfig}},
                              .version = 9});
  fixture.WaitForAnswer("done");
  CHECK(fixture.answer.starts_with("HTTP/1.1 200"));
}

const std::string kFull =
    "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
    "Retry-After: 30\r\nContent-Length: 0\r\n\r\n";

// The load: the only endpoint is full and says for how long. Guards against
// requests that reach it all the same, and against callers that come back too
// early.
TEST_CASE("callers are told when the endpoint wants requests again") {
  Fixture fixture({{{.bytes = kFull}}});
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

// Guards against new work at a server that stops in a moment.
TEST_CASE("a server that says that it leaves gets no further requests") {
  const std::string leaving = "HTTP/1.1 200 OK\r\n" + kMarks +
                              "Server-Leaving: 1\r\n"
                              "Content-Length: 4\r\n\r\ndone";
  Fixture fixture({{{.bytes = leaving}}, {{.bytes = kWhole}}});
  for (int i = 0; i < 5; ++i) {
    fixture.answer.clear();
    fixture.Send("POST /book/x");
    fixture.WaitForAnswer("done");
  }
  CHECK(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests().size() == 4);
}

const std::string kReturn =
    "Prompt-Prefix: a:200,b:5000\r\nLast-Event-Id: 3\r\n";
const std::string kRest =
    kStreamHead + Chunk(Event(4)) + Chunk(Event(5)) + "0\r\n\r\n";

/// Answers the read at the start: the engine has read the prompt of kReturn.
void AnswerPromptRead(FakeStore* store, const std::string& engine) {
  PromptLocations locations;
  locations.Add(HashPrompt("a:200,b:5000"), engine, TimePoint{});
  store->Answer(kPromptTable,
                {.result = StoreResult::kOk,
                 .rows = {{.key = "g2", .value = locations.Encode()}}});
}

// Guards against a prompt that is read again because the caller came back to
// another gateway.
TEST_CASE("a caller that comes back goes on where its prompt was read") {
  Fixture fixture({{{.bytes = kRest}}, {{.bytes = kRest}}}, kEngineConfig);
  AnswerPromptRead(&fixture.store, "e1");
  fixture.Send("POST /write/x", "good", kReturn);
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.endpoints[0]->requests().empty());
  REQUIRE(fixture.endpoints[1]->requests().size() == 1);
  CHECK(fixture.endpoints[1]->requests()[0].find("Last-Event-Id: 3\r\n") !=
        std::string::npos);
}

// Guards against the same when that engine has no room.
TEST_CASE("another engine copies the prompt from the one that has read it") {
  Fixture fixture({{{.bytes = kRest}}, {{.bytes = kNotRun}}}, kEngineConfig);
  AnswerPromptRead(&fixture.store, "e1");
  fixture.Send("POST /write/x", "good", kReturn);
  fixture.WaitForAnswer("0\r\n\r\n");
  REQUIRE(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[0]->requests()[0].find(
            "Kv-Fetch: " + fixture.endpoints[1]->address() + "\r\n") !=
        std::string::npos);
}

// Guards against a stream that mixes what two versions have made.
TEST_CASE("a prompt is not copied from an engine of another version") {
  Fixture fixture({{{.bytes = kRest}}, {{.bytes = kNotRun}}}, kEngineConfig);
  fixture.store.Answer(
      "servers",
      {.result = StoreResult::kOk,
       .rows = {{.key = "e1",
                 .value = R"({"service":"app","state":"ready","slots":4,)"
                          R"("version":"v2","zone":"far","address":")" +
                          fixture.endpoints[1]->address() + "\"}",
                 .version = 10}},
       .version = 10});
  AnswerPromptRead(&fixture.store, "e1");
  fixture.Send("POST /write/x", "good", kReturn);
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.endpoints[1]->requests().size() == 1);
  REQUIRE(fixture.endpoints[0]->requests().size() == 1);
  CHECK(fixture.endpoints[0]->requests()[0].find("Kv-Fetch") ==
        std::string::npos);
}

// Guards against a caller that waits for a store that does not answer.
TEST_CASE("a caller that comes back is served without the store") {
  Fixture fixture({{{.bytes = kRest}}}, kEngineConfig);
  fixture.Send("POST /write/x", "good", kReturn);
  fixture.WaitForAnswer("0\r\n\r\n");
  CHECK(fixture.endpoints[0]->requests().size() == 1);
}

// Guards against engines that are lost until the end of an outage of the store
// because they restarted in it.
TEST_CASE("an engine that restarted while the store is away is taken over") {
  const std::string report =
      R"({"stage":"both","models":[],"kv_total":1,"busy":false})";
  Fixture fixture(
      {{{.bytes = "HTTP/1.1 421 Other\r\nInstance-Id: e9\r\n"
                  "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
        {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(report.size()) + "\r\n\r\n" + report},
        {.bytes = kWhole}}},
      kEngineConfig);
  fixture.store.Answer("servers", {.result = StoreResult::kUnavailable});
  fixture.Send("POST /write/x");
  fixture.WaitForAnswer("overloaded");
  fixture.WaitFor([&] { return fixture.endpoints[0]->requests().size() == 2; });
  // The report may still be on its way, so the caller comes back until it is.
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
  Fixture fixture({{{.bytes = kWhole}}});
  fixture.store.Answer(
      "op", {.result = StoreResult::kOk,
             .rows = {{.key = "config", .value = R"({"version":2})"}},
             .version = 10});
  fixture.Send("GET /read/x");
  fixture.WaitForAnswer("done");
}

}  // namespace
}  // namespace bramleybank
