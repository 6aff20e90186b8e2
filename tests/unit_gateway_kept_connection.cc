// Tests of several requests on one connection of a caller: nothing of a request
// may act on the next one.
#include <doctest/doctest.h>

#include <string>

#include "gateway_fixture.h"
#include "wire_names.h"

namespace bramleybank {
namespace {

using Fixture = GatewayFixture;

/// @returns a complete request without the end of its head.
std::string Head(const std::string& method_and_path) {
  return method_and_path + " HTTP/1.1\r\nHost: h.example\r\n" +
         platform::kRequestIdHeader + ": r1\r\n" + platform::kTimeLeftHeader +
         ": 4000\r\n" + platform::kAuthorizationHeader + ": Bearer good\r\n";
}

// Guards against an endpoint that runs a request with the headers of another.
TEST_CASE("a trailer is not passed on with the next request") {
  Fixture fixture({{{.bytes = kCompleteAnswer}}});
  fixture.Send("POST /book/1", "good",
               "Trailer: Token-Count\r\nTransfer-Encoding: chunked\r\n");
  fixture.WaitFor([&] { return fixture.is_connected(); });
  fixture.Write(Chunk("body") + "0\r\nToken-Count: 7,8\r\n\r\n");
  fixture.WaitForAnswer("done");
  fixture.answer.clear();
  fixture.Write(Head("POST /book/2") + "Token-Count: 5,6\r\n\r\n");
  fixture.WaitForAnswer("done");
  REQUIRE(fixture.CountRequests() == 2);
  for (const std::string& request : fixture.endpoints[0]->requests()) {
    CAPTURE(request);
    CHECK(request.find("7,8") == std::string::npos);
  }
  CHECK(fixture.endpoints[0]->requests()[1].find("Token-Count: 5,6\r\n") !=
        std::string::npos);
}

// Guards against refusing what the configuration allows because the connection
// is older than the limits.
TEST_CASE("new limits hold for the next request of a connection") {
  const auto with_limits = [](int version, const std::string& limits) {
    std::string config = kConfig;
    config.replace(config.find("3"), 1, std::to_string(version));
    return config.substr(0, config.size() - 1) + R"(,"limits":)" + limits + "}";
  };
  const std::string low = R"({"max_header_bytes":300,"max_body_bytes":10})";
  const std::string high = R"({"max_header_bytes":9000,"max_body_bytes":900})";
  const std::string large_body = Head("POST /book/2") +
                                 "Content-Length: 500\r\n\r\n" +
                                 std::string(500, 'b');
  const std::string large_head =
      Head("POST /book/2") + "X: " + std::string(500, 'h') + "\r\n\r\n";
  for (const std::string& request : {large_body, large_head}) {
    for (const bool rises : {true, false}) {
      CAPTURE(rises);
      Fixture fixture({{{.bytes = kCompleteAnswer}}},
                      with_limits(3, rises ? low : high));
      fixture.Send("POST /book/1");
      fixture.WaitForAnswer("done");
      fixture.answer.clear();
      fixture.store.Answer(
          "op", {.result = StoreResult::kOk,
                 .rows = {{.key = "config",
                           .value = with_limits(4, rises ? high : low),
                           .version = 10}},
                 .version = 10});
      fixture.RunTurns(20);
      fixture.Write(request);
      fixture.WaitForAnswer("\r\n\r\n");
      CHECK(fixture.answer.starts_with("HTTP/1.1 200") == rises);
      CHECK(fixture.CountRequests() == (rises ? 2 : 1));
    }
  }
}

// Guards against passing on a request that its endpoint may read as two.
TEST_CASE("a request with a malformed trailer is refused and not passed on") {
  for (const std::string field : {"X : a\r\n", "X: a\r\n b\r\n", "X: a\n"}) {
    CAPTURE(field);
    Fixture fixture({{{.bytes = kCompleteAnswer}}});
    fixture.Send("POST /book/1", "good", "Transfer-Encoding: chunked\r\n");
    fixture.WaitFor([&] { return fixture.is_connected(); });
    fixture.Write(Chunk("body") + "0\r\n" + field + "\r\n");
    fixture.WaitFor([&] { return fixture.closed; });
    CHECK(fixture.answer.starts_with("HTTP/1.1 400 "));
    CHECK(fixture.CountRequests() == 0);
  }
}

// Guards against a refusal without the body that its length announces, which
// leaves the caller waiting.
TEST_CASE("a request refused after a HEAD request gets its whole answer") {
  Fixture fixture({{{.bytes = kCompleteAnswer}}});
  fixture.Send("HEAD /read/1");
  fixture.WaitForAnswer("Content-Length: 0\r\n\r\n");
  fixture.answer.clear();
  fixture.Write(Head("GET /read/2") + "X : malformed\r\n\r\n");
  fixture.WaitFor([&] { return fixture.closed; });
  CHECK(fixture.answer.starts_with("HTTP/1.1 400 "));
  CHECK(fixture.answer.find("bad_header") != std::string::npos);
}

// Guards against bytes of a body that the caller takes for the start of the
// next answer.
TEST_CASE("the answer to a HEAD request for a stream has no body") {
  Fixture fixture({{{.bytes = "HTTP/1.1 200 OK\r\n" + kSealHeaders +
                              "Content-Length: 0\r\n\r\n"}}});
  fixture.Send("HEAD /write/1", "good", "Last-Event-Id: 3\r\n");
  fixture.WaitForAnswer("\r\n\r\n");
  fixture.Write(Head("GET /unknown/") + "\r\n");
  fixture.WaitForAnswer("unknown_path");
  const size_t end = fixture.answer.find("\r\n\r\n") + 4;
  CHECK(fixture.answer.starts_with("HTTP/1.1 200 "));
  CHECK(fixture.answer.substr(end).starts_with("HTTP/1.1 404 "));
}

// Guards against an answer that is awaited until the timeout of its route.
TEST_CASE("an answer that never has a body is passed on at once") {
  Fixture fixture({{{.bytes = "HTTP/1.1 304 Not Modified\r\n" + kSealHeaders +
                              "Content-Length: 9\r\n\r\n",
                     .closes = false}}});
  fixture.Send("GET /read/1");
  fixture.WaitForAnswer("\r\n\r\n");
  CHECK(fixture.answer.starts_with("HTTP/1.1 304 "));
  CHECK(fixture.answer.find("Content-Length") == std::string::npos);
  CHECK(fixture.CountRequests() == 1);
}

}  // namespace
}  // namespace bramleybank
