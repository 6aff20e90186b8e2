// Guards against servers that fill the memory with an endless answer, and
// against an answer to an earlier request on a connection that is in use again.
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "call_runner.h"
#include "config_snapshot.h"
#include "event_loop.h"
#include "gateway_fakes.h"
#include "http_client.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "metric_registry.h"
#include "platform_http_objects.h"
#include "platform_http_table.h"
#include "stream_engine_transfer.h"
#include "stream_token_list.h"
#include "tcp_connection.h"
#include "tcp_listener.h"

namespace bramleybank {
namespace {

constexpr Duration kTurn = std::chrono::milliseconds(5);
constexpr Duration kMaxWait = std::chrono::seconds(5);

/// Runs the event loop until `done` returns true or kMaxWait has passed.
void WaitFor(EventLoop* loop, const std::function<bool()>& done) {
  const TimePoint end = SteadyNow() + kMaxWait;
  while (!done() && SteadyNow() < end) {
    loop->RunOnce(kTurn);
  }
  CHECK(done());
}

HttpClientRequest Get(const std::string& address, const std::string& path) {
  HttpClientRequest request;
  request.url = "http://" + address + path;
  return request;
}

/// Sends a request with `client` and waits for its outcome.
HttpOutcome Fetch(EventLoop* loop,
                  HttpClient* client,
                  const HttpClientRequest& request) {
  std::optional<HttpOutcome> outcome;
  client->Start(request, {.on_headers = nullptr,
                          .on_data = nullptr,
                          .on_done = [&](const HttpOutcome& result) {
                            outcome = result;
                          }});
  WaitFor(loop, [&] { return outcome.has_value(); });
  return outcome.value_or(HttpOutcome());
}

TEST_CASE("a transfer ends when its answer exceeds a limit") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string line = "X: " + std::string(3000, 'y') + "\r\n";
  const FakeEndpoint::Step endless[] = {
      {.bytes = head + "\r\n",
       .closes = false,
       .repeated = std::string(1'000'000, 'x')},
      {.bytes = head, .closes = false, .repeated = line},
      {.bytes = head + "X: ",
       .closes = false,
       .repeated = line.substr(0, 2000)},
      {.bytes = "",
       .closes = false,
       .repeated = "HTTP/1.1 102 Wait\r\n" + line + "\r\n"}};
  for (const FakeEndpoint::Step& step : endless) {
    CAPTURE(step.bytes);
    EventLoop loop;
    FakeEndpoint server(&loop, {step});
    HttpClient client(&loop);
    const HttpOutcome outcome =
        Fetch(&loop, &client, Get(server.address(), "/"));
    CHECK_FALSE(outcome.complete);
    CHECK(outcome.body.size() <= kMaxClientBodyBytes);
  }
}

// Guards against taking a trailer field for a header, such as the number of a
// store's copy, or for the start of another answer.
TEST_CASE("the fields of a trailer do not become headers") {
  EventLoop loop;
  FakeEndpoint server(
      &loop, {{.bytes = "HTTP/1.1 200 OK\r\nX-Era: 1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
                        "0\r\nHTTP/X: y\r\nX-Era: 2\r\nX-Late: 3\r\n\r\n"}});
  HttpClient client(&loop);
  const HttpOutcome outcome = Fetch(&loop, &client, Get(server.address(), "/"));
  CHECK(outcome.complete);
  CHECK(outcome.body == "ok");
  CHECK(FindHeader(outcome.headers, "X-Era") == "1");
  CHECK_FALSE(FindHeader(outcome.headers, "X-Late"));
}

// Guards against callers that get an answer without a meaning.
TEST_CASE("an answer with an invalid status line is incomplete") {
  for (const std::string start :
       {"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 20 X", "HTTP/1.1 600 X",
        "HTTP/1.1 999 X", "HTTP/1.1 101 X", "HTTP/7.3 200 OK", "HTTP/2 200 OK",
        "HTTP/1.1 0200 OK", "X 200 OK"}) {
    CAPTURE(start);
    EventLoop loop;
    FakeEndpoint server(&loop,
                        {{.bytes = start + "\r\nContent-Length: 1\r\n\r\na"}});
    HttpClientRequest request = Get(server.address(), "/");
    request.total_timeout = std::chrono::seconds(2);
    HttpClient client(&loop);
    const HttpOutcome outcome = Fetch(&loop, &client, request);
    CHECK_FALSE(outcome.complete);
    CHECK_FALSE(outcome.timed_out);
  }
}

// Guards against a part of an answer that is taken for a whole one, since the
// server stopped in the middle of an upload.
TEST_CASE("an answer that is cut off beside an upload is incomplete") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string fields : {"", "Connection: close\r\n"}) {
    for (const bool ends_early : {false, true}) {
      CAPTURE(fields);
      CAPTURE(ends_early);
      EventLoop loop;
      FakeEndpoint server(&loop, {{.bytes = head + fields + "\r\npart",
                                   .resets = !ends_early,
                                   .ends_early = ends_early}});
      HttpClientRequest request = Get(server.address(), "/");
      request.method = "POST";
      request.body = std::string(3'000'000, 'u');
      request.single_attempt = true;
      HttpClient client(&loop);
      CHECK_FALSE(Fetch(&loop, &client, request).complete);
    }
  }
}

/// A server that keeps connections open and writes its previous answer on a
/// connection once more before the next one.
class RepeatingServer {
 public:
  using Answer = std::function<std::string(const std::string& request)>;

  RepeatingServer(EventLoop* loop, Answer answer)
      : m_loop(loop), m_answer(std::move(answer)), m_listener(loop) {
    m_port = *m_listener.Start("127.0.0.1:0", [this](int fd) { Accept(fd); });
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  size_t requests() const { return m_requests; }

 private:
  struct Peer {
    std::shared_ptr<TcpConnection> connection;
    std::string input;
    std::string last_answer;
  };

  void Accept(int fd) {
    auto peer = std::make_shared<Peer>();
    m_peers.push_back(peer);
    peer->connection = TcpConnection::Adopt(
        m_loop, fd,
        {.on_connected = nullptr,
         .on_data =
             [this, peer = peer.get()](std::string_view data) {
               peer->input.append(data);
               if (peer->input.find("\r\n\r\n") != std::string::npos) {
                 OnRequest(peer);
               }
             },
         .on_end = [](TcpCloseReason) {},
         .on_drained = nullptr});
  }

  void OnRequest(Peer* peer) {
    ++m_requests;
    const std::string answer = m_answer(std::exchange(peer->input, {}));
    peer->connection->Write(peer->last_answer + answer);
    peer->last_answer = answer;
  }

  EventLoop* m_loop;
  Answer m_answer;
  TcpListener m_listener;
  uint16_t m_port = 0;
  size_t m_requests = 0;
  std::vector<std::shared_ptr<Peer>> m_peers;
};

std::string MakeAnswer(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// A daemon's calls to one plain service at `address`.
class Calls {
 public:
  Calls(EventLoop* loop, const std::string& address)
      : m_loop(loop),
        m_client(loop),
        m_table(loop, &m_client, "http://127.0.0.1:1"),
        m_objects(&m_client, "http://127.0.0.1:1"),
        m_server(loop, {}) {
    auto config = std::make_shared<ConfigSnapshot>();
    config->services = {{.name = "desk", .non_idempotent_routes = {}}};
    EndpointConfig endpoint;
    endpoint.address = address;
    endpoint.kind = EndpointKind::kService;
    endpoint.group = "desk";
    config->endpoints = {endpoint};
    CallRunnerOptions options;
    options.owner = "o";
    options.snapshot = [config] { return config; };
    options.random = [] { return 1; };
    m_runner = std::make_unique<CallRunner>(m_loop, &m_client, &m_table,
                                            &m_objects, &m_metrics, options);
    m_port = *m_server.Start(
        "127.0.0.1", 0,
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder) {
          m_runner->Handle(request, responder);
        });
  }

  HttpOutcome Call(const std::string& method, const std::string& path) {
    HttpClientRequest request =
        Get("127.0.0.1:" + std::to_string(m_port), "/svc/desk" + path);
    request.method = method;
    request.single_attempt = true;
    return Fetch(m_loop, &m_caller, request);
  }

 private:
  EventLoop* m_loop;
  HttpClient m_client;
  HttpClient m_caller{m_loop};
  PlatformHttpTable m_table;
  PlatformHttpObjects m_objects;
  MetricRegistry m_metrics;
  HttpServer m_server;
  std::unique_ptr<CallRunner> m_runner;
  uint16_t m_port = 0;
};

// Guards against an answer that is not the caller's own.
TEST_CASE("an answer written twice reaches no other call to a service") {
  EventLoop loop;
  RepeatingServer service(&loop, [](const std::string& request) {
    const std::string target = request.substr(0, request.find(" HTTP"));
    return MakeAnswer("200 OK", "answer to " + target);
  });
  Calls calls(&loop, service.address());
  for (const std::string method : {"GET", "DELETE", "POST", "GET"}) {
    for (const std::string path : {"/a", "/b", "/c"}) {
      CHECK(calls.Call(method, path).body ==
            "answer to " + method + " " + path);
    }
  }
  CHECK(service.requests() == 12);
}

// Guards against a generation that is taken for refused, and started at a
// second engine, while the engine runs it.
TEST_CASE("a refusal written twice refuses no other generation") {
  EventLoop loop;
  int requests = 0;
  RepeatingServer engine(&loop, [&](const std::string&) {
    if (++requests == 1) {
      return MakeAnswer("503 Busy", "busy");
    }
    return MakeAnswer(
        "200 OK",
        "data: {\"request\":\"7\",\"attempt\":1,\"finish\":\"stop\","
        "\"count\":0}\n\n");
  });
  HttpClient client(&loop);
  GenerationRequest request;
  request.body = "{}";
  int refused = 0;
  int finished = 0;
  const EngineCallbacks callbacks = {
      .on_chunk = [](const EngineChunk&) {},
      .on_end = [&](const EngineEnd&) { ++finished; },
      .on_lost = [&](AttemptLoss, const std::string&) { ++refused; },
      .on_rejected = [&](const std::string&) { ++refused; }};
  for (int i = 0; i < 2; ++i) {
    const EngineTransfer transfer(
        &client, {.address = engine.address(), .generation = 7, .attempt = 1},
        request, StreamTokenList(), callbacks);
    WaitFor(&loop, [&] { return refused + finished == i + 1; });
  }
  CHECK(refused == 1);
  CHECK(finished == 1);
}

}  // namespace
}  // namespace bramleybank
