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
    std::optional<HttpOutcome> outcome;
    client.Start(
        Get(server.address(), "/"),
        {.on_headers = nullptr,
         .on_data = nullptr,
         .on_done = [&](const HttpOutcome& result) { outcome = result; }});
    WaitFor(&loop, [&] { return outcome.has_value(); });
    if (outcome) {
      CHECK_FALSE(outcome->complete);
      CHECK(outcome->body.size() <= kMaxClientBodyBytes);
    }
  }
}

}  // namespace
}  // namespace bramleybank
