// Guards against connections that make progress only when an unrelated event
// wakes the server, and against unbounded input.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event_loop.h"
#include "http_client.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "tcp_connection.h"

namespace bramleybank {
namespace {

constexpr char kIp[] = "127.0.0.1";
constexpr Duration kStep = std::chrono::milliseconds(20);
// Ends a test that hangs. No test depends on the exact value.
constexpr int kMaxTurns = 3000;

class ServerHarness {
 public:
  explicit ServerHarness(HttpServer::Handler handler,
                         HttpServerOptions options = {})
      : m_server(&m_loop, options), m_client(&m_loop) {
    m_server.SetRefusalHook(
        [](ResultCode code) { return std::to_string(static_cast<int>(code)); });
    m_port = m_server.Start(kIp, 0, std::move(handler)).value_or(0);
    REQUIRE(m_port != 0);
  }

  void Send(HttpClientRequest request) {
    request.url = "http://" + std::string(kIp) + ":" + std::to_string(m_port) +
                  request.url;
    m_client.Start(request, {.on_done = [this](const HttpOutcome& outcome) {
                     outcomes.push_back(outcome);
                   }});
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    for (int turn = 0; turn < kMaxTurns && !condition(); ++turn) {
      m_loop.RunOnce(kStep);
    }
    return condition();
  }

  EventLoop& loop() { return m_loop; }
  std::string address() const {
    return std::string(kIp) + ":" + std::to_string(m_port);
  }

  std::vector<HttpOutcome> outcomes;

 private:
  EventLoop m_loop;
  HttpServer m_server;
  HttpClient m_client;
  uint16_t m_port = 0;
};

TEST_CASE("suspended answers resume without any other event") {
  // All responses are held back until every request has arrived, and are then
  // written in one loop iteration. After that, only the resumed connections
  // themselves can wake the server.
  constexpr size_t kCount = 150;
  std::vector<std::shared_ptr<HttpResponder>> held;
  ServerHarness harness([&](const HttpRequest&, const auto& responder) {
    held.push_back(responder);
  });
  for (size_t i = 0; i < kCount; ++i) {
    harness.Send({.url = "/x"});
  }
  REQUIRE(harness.RunUntil([&] { return held.size() == kCount; }));
  for (const auto& responder : held) {
    responder->StartStream(200, {});
    responder->Write("part");
  }
  harness.loop().Schedule(kStep, [&] {
    for (const auto& responder : held) {
      responder->Write("end");
      responder->Finish();
    }
  });
  REQUIRE(harness.RunUntil([&] { return harness.outcomes.size() == kCount; }));
  for (const HttpOutcome& outcome : harness.outcomes) {
    CHECK(outcome.complete);
    CHECK(outcome.body == "partend");
  }
}

TEST_CASE("the client sees an aborted answer as incomplete") {
  std::shared_ptr<HttpResponder> held;
  ServerHarness harness([&](const HttpRequest&, const auto& responder) {
    held = responder;
    responder->StartStream(200, {});
    responder->Write("part");
  });
  harness.Send({.url = "/x"});
  REQUIRE(harness.RunUntil([&] { return held != nullptr; }));
  harness.loop().Schedule(kStep, [&] { held->Abort(); });
  REQUIRE(harness.RunUntil([&] { return !harness.outcomes.empty(); }));
  CHECK_FALSE(harness.outcomes.front().complete);
}

TEST_CASE("a caller that disconnects while its answer is pending is detected") {
  bool closed = false;
  bool is_complete = true;
  ServerHarness harness([&](const HttpRequest&, const auto& responder) {
    responder->SetCloseHandler([&](bool was_complete) {
      closed = true;
      is_complete = was_complete;
    });
  });
  harness.Send({.url = "/x", .total_timeout = std::chrono::milliseconds(100)});
  REQUIRE(harness.RunUntil([&] { return closed; }));
  CHECK_FALSE(is_complete);
}

TEST_CASE("input above the limits is refused with a code") {
  int handled = 0;
  ServerHarness harness(
      [&](const HttpRequest&, const auto& responder) {
        ++handled;
        responder->Respond(200, {}, "");
      },
      {.max_body_bytes = 1000, .max_url_bytes = 100});
  std::map<std::string, HttpClientRequest> requests = {
      {"413", {.method = "POST", .url = "/x", .body = std::string(1001, 'b')}},
      {"414", {.method = "GET", .url = "/" + std::string(200, 'u')}}};
  for (const auto& [status, request] : requests) {
    CAPTURE(status);
    harness.outcomes.clear();
    harness.Send(request);
    REQUIRE(harness.RunUntil([&] { return !harness.outcomes.empty(); }));
    CHECK(std::to_string(harness.outcomes.front().status) == status);
    CHECK(harness.outcomes.front().body.size() == 4);
  }
  CHECK(handled == 0);
}

// Guards against handling a request with a header of the request before it.
TEST_CASE("a trailer is no header of its request or of the next one") {
  std::vector<HttpHeaders> heads;
  ServerHarness harness([&](const HttpRequest& request, const auto& responder) {
    heads.push_back(request.headers);
    responder->Respond(200, {}, request.body);
  });
  std::string answers;
  const auto caller = TcpConnection::Connect(
      &harness.loop(), harness.address(), std::chrono::seconds(5),
      {.on_connected = nullptr,
       .on_data = [&](std::string_view data) { answers += data; },
       .on_end = nullptr,
       .on_drained = nullptr});
  const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const auto send = [&](const std::string& rest) {
    answers.clear();
    caller->Write(start + rest);
    REQUIRE(harness.RunUntil(
        [&] { return answers.find("body") != std::string::npos; }));
  };
  send(
      "Trailer: X-Late\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
      "0\r\nX-Late: 7\r\nAuthorization: k\r\n\r\n");
  send("Content-Length: 4\r\n\r\nbody");
  caller->Close();
  REQUIRE(heads.size() == 2);
  for (const HttpHeaders& headers : heads) {
    CHECK_FALSE(FindHeader(headers, "X-Late"));
    CHECK_FALSE(FindHeader(headers, "Authorization"));
  }
}

TEST_CASE("a request of which no byte was sent is reported as unsent") {
  EventLoop loop;
  HttpClient client(&loop);
  bool done = false;
  HttpOutcome outcome;
  // Port 1 of the loopback address refuses connections.
  client.Start({.url = "http://127.0.0.1:1/"},
               {.on_done = [&](const HttpOutcome& result) {
                 outcome = result;
                 done = true;
               }});
  for (int turn = 0; turn < kMaxTurns && !done; ++turn) {
    loop.RunOnce(kStep);
  }
  REQUIRE(done);
  CHECK(outcome.request_bytes_sent == 0);
  CHECK_FALSE(outcome.complete);
}

TEST_CASE("a request that was read but not answered counts as sent") {
  ServerHarness harness(
      [&](const HttpRequest&, const auto& responder) { responder->Abort(); });
  harness.Send(
      {.method = "POST", .url = "/x", .body = "body", .single_attempt = true});
  REQUIRE(harness.RunUntil([&] { return !harness.outcomes.empty(); }));
  CHECK_FALSE(harness.outcomes.front().complete);
  CHECK(harness.outcomes.front().request_bytes_sent > 0);
}

}  // namespace
}  // namespace bramleybank
