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
