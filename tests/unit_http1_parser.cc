// Tests of the HTTP/1.1 parser with messages that arrive in parts, and with
// messages that two parsers could interpret differently.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "http1_parser.h"

namespace bramleybank {
namespace {

constexpr size_t kMaxHeadBytes = 1024;

struct Recorder {
  explicit Recorder(Http1Parser::Direction direction)
      : parser(direction,
               kMaxHeadBytes,
               {.on_head = [this](Http1Head head) { heads.push_back(head); },
                .on_body = [this](std::string_view data) { body += data; },
                .on_complete = [this] { ++complete; }}) {}

  /// Feeds bytes in one piece or one by one.
  void Feed(const std::string& bytes, bool one_by_one) {
    const size_t step = one_by_one ? 1 : bytes.size();
    for (size_t at = 0; at < bytes.size(); at += step) {
      parser.Feed(std::string_view(bytes).substr(at, step));
    }
  }

  std::vector<Http1Head> heads;
  std::string body;
  int complete = 0;
  Http1Parser parser;
};

// Guards against parser state that is lost between two reads from a connection.
TEST_CASE("a request that arrives byte by byte is parsed completely") {
  Recorder recorder(Http1Parser::Direction::kRequests);
  const std::string bytes =
      "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
  for (const char c : bytes) {
    recorder.parser.Feed({&c, 1});
  }
  REQUIRE(recorder.heads.size() == 1);
  CHECK(recorder.heads[0].method == "POST");
  CHECK(recorder.heads[0].target == "/a/b?c=1");
  CHECK(FindHeader(recorder.heads[0].headers, "host") == "h");
  CHECK(recorder.body == "xyz");
  CHECK(recorder.complete == 1);
  CHECK(recorder.heads[0].keep_alive);
}

// Guards against handling two requests of one connection at the same time.
TEST_CASE("the next message waits until the parser is resumed") {
  Recorder recorder(Http1Parser::Direction::kRequests);
  recorder.parser.Feed("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  CHECK(recorder.complete == 1);
  CHECK(recorder.parser.unparsed_bytes() > 0);
  recorder.parser.Resume();
  REQUIRE(recorder.complete == 2);
  CHECK(recorder.heads[1].target == "/2");
}

// Guards against running a request with a header of the request before it.
TEST_CASE("a trailer field does not become a header of the next message") {
  const std::string trailer = "0\r\nToken-Count: 7\r\nX-Last: y\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
  const HttpHeaders own = {{"Host", "h"}};
  for (const auto direction : {Http1Parser::Direction::kRequests,
                               Http1Parser::Direction::kResponses}) {
    const bool is_request = direction == Http1Parser::Direction::kRequests;
    const std::string start =
        is_request ? "POST / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n";
    const std::string second =
        start + "Host: h\r\n" + (is_request ? "" : "Content-Length: 0\r\n");
    for (const bool one_by_one : {false, true}) {
      CAPTURE(is_request);
      CAPTURE(one_by_one);
      Recorder recorder(direction);
      recorder.Feed(start + chunked + trailer, one_by_one);
      REQUIRE(recorder.complete == 1);
      recorder.parser.Resume();
      recorder.Feed(second + "\r\n", one_by_one);
      REQUIRE(recorder.complete == 2);
      CHECK(recorder.heads[0].headers ==
            HttpHeaders{{"Transfer-Encoding", "chunked"}});
      CHECK(recorder.heads[1].headers.front() == own.front());
      CHECK(recorder.heads[1].headers.size() == (is_request ? 1 : 2));
    }
  }
}

// Guards against request smuggling: the endpoint could use a different length.
TEST_CASE("a request with an ambiguous length is refused") {
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::vector<std::string> lengths = {
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
      "Content-Length: 3\r\nContent-Length: 4\r\n",
      "Content-Length: 3\r\nContent-Length: 3\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"};
  for (const std::string& length : lengths) {
    Recorder recorder(Http1Parser::Direction::kRequests);
    recorder.parser.Feed(start + length + "\r\nabc");
    CAPTURE(length);
    CHECK(recorder.parser.error() != Http1ParseError::kNone);
    CHECK(recorder.complete == 0);
  }
}

// Guards against request smuggling through a head that the endpoint parses
// differently, and so reads a second request from it. The bytes of the head may
// arrive one by one.
TEST_CASE("a head that parsers interpret differently is refused") {
  const std::vector<std::string> heads = {
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length\t: 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: h\r\nX: a\r\n Content-Length: 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\n Host: h\r\nContent-Length: 3\r\n\r\nabc",
      "POST / HTTP/1.1\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: h\nContent-Length: 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\n\nabc",
      "POST / HTTP/1.1\r\nHost: h\rX: y\r\nContent-Length: 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: h\r\nX: " + std::string(1, '\0') +
          "\r\nContent-Length: 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: h\r\nX: \x01"
      "b\r\nContent-Length: 3\r\n\r\nabc",
      "POST /\ta HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
      "POST /\fa HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"};
  for (const std::string& head : heads) {
    CAPTURE(head);
    for (const bool one_by_one : {false, true}) {
      Recorder recorder(Http1Parser::Direction::kRequests);
      recorder.Feed(head, one_by_one);
      CHECK(recorder.parser.error() == Http1ParseError::kMalformed);
      CHECK(recorder.complete == 0);
    }
  }
  // Such bytes are allowed in a body, but not in the head of the second request
  // of a connection.
  Recorder recorder(Http1Parser::Direction::kRequests);
  recorder.parser.Feed(
      "\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\n b\n"
      "GET / HTTP/1.1\nHost: h\r\n\r\n");
  CHECK(recorder.complete == 1);
  recorder.parser.Resume();
  CHECK(recorder.complete == 1);
  CHECK(recorder.parser.error() == Http1ParseError::kMalformed);
}

// Guards against request smuggling through the lines behind a head, which are
// read by the same parsers.
TEST_CASE("malformed lines are refused behind a head as in a head") {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "3\r\nabc\r\n";
  const std::vector<std::string> bodies = {
      chunk + "0\r\nX : a\r\n\r\n",
      chunk + "0\r\nX\t: a\r\n\r\n",
      chunk + "0\r\nX: a\r\n b\r\n\r\n",
      chunk + "0\r\n X: a\r\n\r\n",
      chunk + "0\r\nX: a\n\r\n",
      chunk + "0\r\nX: a\r\n\n",
      chunk + "0\r\n\n",
      chunk + "0\r\nX: a\rb\r\n\r\n",
      chunk + "0\r\nX: " + std::string(1, '\0') + "b\r\n\r\n",
      chunk + "0\r\nX\r\n\r\n",
      chunk + "0;a\nb\r\n\r\n",
      chunk + "0\rX\r\n",
      "3;a\nb\r\nabc\r\n0\r\n\r\n",
      "3;" + std::string(1, '\0') + "\r\nabc\r\n0\r\n\r\n",
      "3 a\r\nabc\r\n0\r\n\r\n",
      "3\rXabc\r\n0\r\n\r\n",
      "3\r\nabc\rX0\r\n\r\n",
      "3\r\nabc\n0\r\n\r\n",
      "+3\r\nabc\r\n0\r\n\r\n",
      "\r\n3\r\nabc\r\n0\r\n\r\n"};
  for (const std::string& body : bodies) {
    CAPTURE(body);
    for (const bool one_by_one : {false, true}) {
      Recorder recorder(Http1Parser::Direction::kRequests);
      recorder.Feed(head + body, one_by_one);
      CHECK(recorder.parser.error() == Http1ParseError::kMalformed);
      CHECK(recorder.complete == 0);
    }
  }
}

// Guards against refusing what RFC 9112 allows between and behind chunks. The
// data of a chunk may look like a malformed line.
TEST_CASE("chunk extensions, trailers and any data are accepted") {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string body =
      "6;name=\"a b\"\r\n\n x\r:\n\r\n00A \r\n0123456789\r\n"
      "0 ;last\r\nX: a\tb\r\nY:\r\n\r\n";
  const std::string next = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const bool one_by_one : {false, true}) {
    CAPTURE(one_by_one);
    Recorder recorder(Http1Parser::Direction::kRequests);
    recorder.Feed(head + body + next, one_by_one);
    CHECK(recorder.body == "\n x\r:\n0123456789");
    recorder.parser.Resume();
    CHECK(recorder.parser.error() == Http1ParseError::kNone);
    REQUIRE(recorder.complete == 2);
    CHECK(recorder.heads[1].target == "/2");
  }
}

// Guards against unbounded memory use by headers.
TEST_CASE("headers over the limit are refused") {
  Recorder recorder(Http1Parser::Direction::kRequests);
  recorder.parser.Feed("GET / HTTP/1.1\r\nX: " +
                       std::string(kMaxHeadBytes + 1, 'a') + "\r\n\r\n");
  CHECK(recorder.parser.error() == Http1ParseError::kHeadTooLarge);
}

// Guards against a truncated response that is treated as complete.
TEST_CASE(
    "a response with a length is incomplete if the connection ends early") {
  Recorder recorder(Http1Parser::Direction::kResponses);
  recorder.parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  recorder.parser.FeedEof();
  CHECK(recorder.complete == 0);
}

TEST_CASE("a response without a length ends with an orderly close") {
  Recorder recorder(Http1Parser::Direction::kResponses);
  recorder.parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK(recorder.complete == 0);
  recorder.parser.FeedEof();
  CHECK(recorder.complete == 1);
  CHECK(recorder.body == "abc");
}

// Guards against a second response that is treated as part of the first one.
TEST_CASE("bytes after a complete response are not part of it") {
  Recorder recorder(Http1Parser::Direction::kResponses);
  recorder.parser.Feed(
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 500 X\r\n\r\n");
  CHECK(recorder.complete == 1);
  CHECK(recorder.body == "a");
  CHECK(recorder.heads.size() == 1);
}

// Guards against waiting for a body that never comes. The lengths describe what
// a GET request would get.
TEST_CASE("a response that has no body ends with its head") {
  for (const std::string status : {"204 No Content", "304 Not Modified"}) {
    for (const std::string framing :
         {"Content-Length: 5", "Transfer-Encoding: chunked", "X: y"}) {
      CAPTURE(status);
      CAPTURE(framing);
      Recorder recorder(Http1Parser::Direction::kResponses);
      recorder.parser.Feed("HTTP/1.1 " + status + "\r\n" + framing +
                           "\r\n\r\n");
      CHECK(recorder.complete == 1);
      CHECK(recorder.parser.error() == Http1ParseError::kNone);
    }
  }
}

// Guards against dropping the body of a later response on the connection.
TEST_CASE("only the response to a HEAD request is read without a body") {
  Recorder recorder(Http1Parser::Direction::kResponses);
  recorder.parser.ExpectNoBody();
  recorder.parser.Feed(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  CHECK(recorder.complete == 1);
  CHECK(recorder.body.empty());
  recorder.parser.Resume();
  CHECK(recorder.complete == 2);
  CHECK(recorder.body == "abc");
}

TEST_CASE("interim responses are skipped") {
  Recorder recorder(Http1Parser::Direction::kResponses);
  recorder.parser.Feed(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(recorder.heads.size() == 1);
  CHECK(recorder.heads[0].status == 200);
  CHECK(recorder.complete == 1);
}

// Guards against waiting for the final response until the deadline, and against
// passing on what no caller can interpret.
TEST_CASE("a response with an invalid status line is refused") {
  for (const std::string start : {"HTTP/1.1 000 X",
                                  "HTTP/1.1 099 X",
                                  "HTTP/1.1 20 OK",
                                  "HTTP/1.1 2 OK",
                                  "HTTP/1.1 600 X",
                                  "HTTP/1.1 999 X",
                                  "HTTP/1.1 0200 OK",
                                  "HTTP/1.1 2000 OK",
                                  "HTTP/1.1 200OK",
                                  "HTTP/1.1  200 OK",
                                  "HTTP/1.1 -20 OK",
                                  "HTTP/1.1 ",
                                  "HTTP/1.1",
                                  "HTTP/7.3 200 OK",
                                  "HTTP/2.0 200 OK",
                                  "HTTP/0.9 200 OK",
                                  "HTTP/1.11 200 OK",
                                  "HTTP/11.1 200 OK",
                                  "ICY 200 OK",
                                  "http/1.1 200 OK",
                                  "HTTP/1.1 101 Switching Protocols"}) {
    for (const bool one_by_one : {false, true}) {
      CAPTURE(start);
      CAPTURE(one_by_one);
      Recorder recorder(Http1Parser::Direction::kResponses);
      recorder.Feed(start + "\r\nContent-Length: 0\r\n\r\n", one_by_one);
      CHECK(recorder.parser.error() != Http1ParseError::kNone);
      CHECK(recorder.heads.empty());
      CHECK(recorder.complete == 0);
    }
  }
}

// Guards against refusing status lines that servers use.
TEST_CASE("a response may have any reason phrase, or none") {
  for (const std::string start :
       {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200",
        "HTTP/1.1 200 9 a\tb \xff", "\r\nHTTP/1.1 599 x", "HTTP/1.1 404 Not"}) {
    CAPTURE(start);
    Recorder recorder(Http1Parser::Direction::kResponses);
    recorder.Feed(start + "\r\nContent-Length: 0\r\n\r\n", true);
    CHECK(recorder.heads.size() == 1);
    CHECK(recorder.complete == 1);
  }
}

// Guards against memory and time that a sender takes with bytes that never
// become an answer.
TEST_CASE("a response whose head or framing never ends is refused") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> endless = {
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n"},
      {"HTTP/1.1 200 ", "x"},
      {"HTTP/1.1 200 OK\r\nX: ", "y"},
      {"HTTP/1.1 200 OK\r\nX", "y"},
      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"HTTP/1.1 200 OK\r\n", ":\r\n"},
      {chunked + "1;", "x"},
      {chunked, "0"},
      {chunked + "0\r\n", "X: y\r\n"}};
  constexpr int kMaxRepeats = 200'000;
  for (const auto& [start, repeated] : endless) {
    CAPTURE(start);
    CAPTURE(repeated);
    Recorder recorder(Http1Parser::Direction::kResponses);
    recorder.parser.Feed(start);
    for (int i = 0;
         i < kMaxRepeats && recorder.parser.error() == Http1ParseError::kNone;
         ++i) {
      recorder.parser.Feed(repeated);
    }
    CHECK(recorder.parser.error() != Http1ParseError::kNone);
    CHECK(recorder.complete == 0);
  }
}

// Guards against a response whose list of fields takes far more memory than its
// bytes.
TEST_CASE("a response with too many fields is refused") {
  for (const size_t extra : {0, 1}) {
    Recorder recorder(Http1Parser::Direction::kResponses);
    recorder.parser.Feed("HTTP/1.1 200 OK\r\n");
    for (size_t i = 0; i < kMaxEndpointHeaderFields - 1 + extra; ++i) {
      recorder.parser.Feed("a:\r\n");
    }
    recorder.parser.Feed("Content-Length: 0\r\n\r\n");
    CHECK(recorder.complete == 1 - static_cast<int>(extra));
    CHECK((recorder.parser.error() == Http1ParseError::kNone) == (extra == 0));
  }
}

// Guards against passing on headers that the caller reads differently, for
// example a second length, and against a body that is not the endpoint's.
TEST_CASE("a response that parsers interpret differently is refused") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> responses = {
      ok + "X: " + std::string(1, '\0') + "a\r\nContent-Length: 0\r\n\r\n",
      ok + "X: \x7f\r\nContent-Length: 0\r\n\r\n",
      ok + "X Y: a\r\nContent-Length: 0\r\n\r\n",
      ok + " X: a\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\rXContent-Length: 0\r\n\r\n",
      ok + "X: a\r\nContent-Length: 0\r\n\rX",
      chunked + "3\r\nabc\rX0\r\n\r\n",
      chunked + "3\rXabc\r\n0\r\n\r\n",
      chunked + "3;a\nb\r\nabc\r\n0\r\n\r\n",
      chunked + "3\r\nabc\r\n0\r\n X: a\r\n\r\n",
      chunked + "3\r\nabc\r\n0\r\n\rX"};
  for (const std::string& response : responses) {
    CAPTURE(response);
    for (const bool one_by_one : {false, true}) {
      Recorder recorder(Http1Parser::Direction::kResponses);
      recorder.Feed(response, one_by_one);
      CHECK(recorder.parser.error() == Http1ParseError::kMalformed);
      CHECK(recorder.complete == 0);
    }
  }
}

// Guards against refusing the answers of servers that RFC 9112 tells us to
// accept, and against passing on their odd lines unchanged.
TEST_CASE("lines of lenient servers are passed on in the usual form") {
  const std::string response =
      "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\nX : a\r\n\tb\r\n"
      "Transfer-Encoding : chunked\n\n3\r\nabc\r\n0\r\nY : c\n d\n\n";
  for (const bool one_by_one : {false, true}) {
    CAPTURE(one_by_one);
    Recorder recorder(Http1Parser::Direction::kResponses);
    recorder.Feed(response, one_by_one);
    CHECK(recorder.parser.error() == Http1ParseError::kNone);
    REQUIRE(recorder.complete == 1);
    CHECK(recorder.body == "abc");
    REQUIRE(recorder.heads[0].headers.size() == 2);
    CHECK(recorder.heads[0].headers[0].first == "X");
    CHECK(recorder.heads[0].headers[1].first == "Transfer-Encoding");
    for (const auto& [name, value] : recorder.heads[0].headers) {
      CHECK(value.find_first_of("\r\n") == std::string::npos);
    }
  }
}

TEST_CASE("bytes that are not a response are a fault") {
  Recorder recorder(Http1Parser::Direction::kResponses);
  recorder.parser.Feed("garbage\r\n\r\n");
  CHECK(recorder.parser.error() == Http1ParseError::kMalformed);
}

}  // namespace
}  // namespace bramleybank
