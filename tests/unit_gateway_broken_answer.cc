// What callers get when an answer ends in its head or body, or when the
// endpoint that continues a stream answers with something else.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "gateway_fakes.h"
#include "gateway_fixture.h"

namespace bramleybank {
namespace {

using Step = FakeEndpoint::Step;

const std::string kStreamEnd = "0\r\n\r\n";
const std::string kFirstPart = kStreamHead + Chunk(Event(1));
const std::string kUnframed = "HTTP/1.1 200 OK\r\n" + kSealHeaders;
const std::string kOldUnframed = "HTTP/1.0 200 OK\r\n" + kSealHeaders;
const std::string kClosing = kUnframed + "Connection: close\r\n";

std::string WithLength(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + kSealHeaders +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Answers of an endpoint that is asked to continue a stream, none of which may
/// reach the caller. Their texts contain FOREIGN.
std::vector<Step> ForeignAnswers() {
  const std::string json = R"({"error":"FOREIGN"})";
  return {
      {.bytes = WithLength("500 Error", json)},
      {.bytes = WithLength("500 Error", "data: FOREIGN\n\n")},
      {.bytes = WithLength("503 Busy", json)},
      {.bytes = "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
                "Content-Length: 9\r\n\r\nFOREIGN\n\n"},
      {.bytes = WithLength("404 FOREIGN", json)},
      {.bytes = WithLength("302 FOREIGN", json)},
      {.bytes = WithLength("200 OK", json)},
      {.bytes = WithLength("200 OK", json + "\n\n")},
      {.bytes = WithLength("200 OK", "<p>\n\nFOREIGN\n\n</p>\n\n")},
      {.bytes = WithLength("200 OK", "data: FOREIGN\n\n")},
      {.bytes = WithLength("200 OK", "event: error\ndata: FOREIGN\n\n")},
      {.bytes = WithLength("200 OK", "id: x\ndata: FOREIGN\n\n")},
      {.bytes = kUnframed + "\r\n" + json + "\n\n"},
      {.bytes = kOldUnframed + "\r\n" + json + "\n\n"},
      {.bytes = kOldUnframed + "\r\nid: 3\ndata: FOREIGN\n\n"},
      {.bytes = kStreamHead + Chunk("id: 3\ndata: FOREIGN\n\n") + kStreamEnd},
      {.bytes = kStreamHead + Chunk("id: 9\ndata: FOREIGN\n\n") + kStreamEnd},
      {.bytes = kStreamHead + Chunk("id: 2\ndata: FOREIGN")},
      {.bytes = "HTTP/1.1 200 OK\r\nFOREIGN"},
      {.bytes = "HTTP/1.1 200 OK\r\nX: FOREIGN\r\n"},
      {.bytes = "HTTP/1.0 200 OK\r\nX: FOREIGN"},
      {.bytes = "FOREIGN\n\n"},
      {.bytes = "FOREIGN\r\n\r\ndata: FOREIGN\n\n"},
      {.bytes = ""}};
}

// Guards against the text of an error inside a stream, and against streams that
// look complete although only their first part has arrived.
TEST_CASE("a stream that cannot be continued is cut after its last event") {
  for (const Step& step : ForeignAnswers()) {
    CAPTURE(step.bytes);
    GatewayFixture fixture({{{.bytes = kFirstPart}}, {step}});
    fixture.Send("POST /write/x");
    fixture.WaitFor([&] { return fixture.HasEnded(kStreamEnd); });
    CHECK(fixture.answer.ends_with("\r\n\r\n" + Chunk(Event(1))));
    CHECK(fixture.answer.find("FOREIGN") == std::string::npos);
  }
}

// Guards against a wrong answer that keeps a stream from the next endpoint.
TEST_CASE("a stream is continued after an answer that does not continue it") {
  const std::string rest = kStreamHead + Chunk(Event(2)) + kStreamEnd;
  for (const Step& step : ForeignAnswers()) {
    CAPTURE(step.bytes);
    GatewayFixture fixture(
        {{{.bytes = kFirstPart}}, {step}, {{.bytes = rest}}});
    fixture.Send("POST /write/x");
    fixture.WaitFor([&] { return fixture.HasEnded(kStreamEnd); });
    const bool is_complete =
        fixture.answer.find(Chunk(Event(1)) + Chunk(Event(2)) + kStreamEnd) !=
        std::string::npos;
    CHECK(is_complete);
    CHECK(fixture.answer.find("FOREIGN") == std::string::npos);
  }
}

// Guards against joining two runs: nothing says where to go on after an event
// without an id.
TEST_CASE("a stream is not continued after an event without an id") {
  const std::string unnumbered = Chunk("data: a\n\n");
  for (const std::string& start : {unnumbered, Chunk(Event(1)) + unnumbered}) {
    for (const std::string& next :
         {unnumbered, Chunk(Event(1)) + Chunk(Event(2))}) {
      CAPTURE(start);
      CAPTURE(next);
      GatewayFixture fixture({{{.bytes = kStreamHead + start}},
                              {{.bytes = kStreamHead + next + kStreamEnd}}});
      fixture.Send("POST /write/x");
      fixture.WaitFor([&] { return fixture.HasEnded(kStreamEnd); });
      CHECK(fixture.answer.ends_with("\r\n\r\n" + start));
      CHECK(fixture.endpoints[1]->requests().empty());
    }
  }
}

// Guards against a stream that looks complete although only comments came.
TEST_CASE("a stream that has only comments is continued elsewhere") {
  const std::string comment = ": ping\n\n";
  for (const std::string& bytes :
       {kUnframed + "\r\n" + comment, kStreamHead + Chunk(comment),
        kStreamHead + Chunk(comment) + kStreamEnd}) {
    CAPTURE(bytes);
    GatewayFixture fixture(
        {{{.bytes = bytes}}, {{.bytes = kFirstPart + kStreamEnd}}});
    fixture.Send("POST /write/x");
    fixture.WaitFor([&] { return fixture.HasEnded(kStreamEnd); });
    CHECK(fixture.answer.ends_with(Chunk(comment) + Chunk(Event(1)) +
                                   kStreamEnd));
  }
}

// Guards against a head that is taken for whole though it ends in the middle.
TEST_CASE("an answer that ends in its head is not forwarded") {
  const std::string head = kUnframed + "Content-Length: 12\r\n\r\n";
  const std::string old_head = kOldUnframed + "\r\n";
  std::vector<std::string> parts = {"HTTP/1.1 100 Continue\r\n\r\n",
                                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 2",
                                    "HTTP/1.1 200 OK\n", "200 OK\r\n\r\nx"};
  for (const std::string& whole : {head, old_head}) {
    for (size_t size = 0; size < whole.size(); size += 3) {
      parts.push_back(whole.substr(0, size));
    }
    parts.push_back(whole.substr(0, whole.size() - 1));
    parts.push_back(whole.substr(0, whole.size() - 2));
  }
  for (const std::string& bytes : parts) {
    for (const char* request :
         {"GET /read/x", "POST /book/x", "POST /write/x"}) {
      CAPTURE(bytes);
      CAPTURE(request);
      GatewayFixture fixture({{{.bytes = bytes}}});
      fixture.Send(request);
      fixture.WaitForAnswer("answer_lost");
      CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
    }
  }
}

// Guards against parts of a long answer that are lost or exchanged.
TEST_CASE("a long answer is passed on as it is") {
  std::string body;
  for (int i = 0; body.size() < 1'000'000; ++i) {
    body += std::to_string(i) + ",";
  }
  GatewayFixture fixture({{{.bytes = WithLength("200 OK", body)}}});
  fixture.Send("POST /book/x");
  fixture.WaitFor([&] { return fixture.answer.size() > body.size(); });
  CHECK(fixture.answer.ends_with("\r\n\r\n" + body));
}

// Guards against a status that is no answer: the request must go to another
// endpoint at once, and the caller must not get it.
TEST_CASE("an answer with an invalid status is not forwarded") {
  for (const std::string status :
       {"000 X", "099 X", "20 X", "600 X", "999 X", "101 X"}) {
    CAPTURE(status);
    const Step odd = {.bytes = WithLength(status, "FOREIGN"), .closes = false};
    GatewayFixture once({{odd}});
    once.Send("POST /book/x");
    once.WaitForAnswer("answer_lost");
    CHECK(once.answer.starts_with("HTTP/1.1 502"));
    GatewayFixture other({{odd}, {{.bytes = kCompleteAnswer}}});
    other.Send("GET /read/x");
    other.WaitForAnswer("done");
    CHECK(other.answer.starts_with("HTTP/1.1 200"));
    CHECK(other.answer.find("FOREIGN") == std::string::npos);
  }
}

// Guards against replacing a server's own failure by a 502 when nobody is left
// to repeat the request.
TEST_CASE("a failure of the last endpoint is forwarded") {
  const std::string own = WithLength("500 Error", "own");
  GatewayFixture alone({{{.bytes = own}}});
  alone.Send("GET /read/x");
  alone.WaitForAnswer("\r\n\r\nown");
  CHECK(alone.answer.starts_with("HTTP/1.1 500"));
  GatewayFixture both({{{.bytes = own}}, {{.bytes = own}}});
  both.Send("GET /read/x");
  both.WaitForAnswer("\r\n\r\nown");
  CHECK(both.answer.starts_with("HTTP/1.1 500"));
  CHECK(both.CountRequests() == 2);
}

// Guards against a request that runs twice: callers take these statuses for
// the promise that it has not run, and send it again.
TEST_CASE("a refusal that may have run is not passed on as a promise") {
  constexpr char kStreamOnce[] = R"({"version":3,"routes":[
{"name":"tell","host":"h.example","prefix":"/tell/","kind":"streaming",
 "timeout_ms":5000,"service":"app","max_attempts":5},
{"name":"book","host":"h.example","prefix":"/book/","kind":"unsafe",
 "timeout_ms":2000,"service":"app","max_attempts":3}],
"services":[{"name":"app"}],
"tenants":[{"name":"family","api_keys":["good"]}]})";
  for (const char* status : {"408 Slow", "429 Many", "503 Busy"}) {
    for (const char* request : {"POST /tell/x", "POST /book/x"}) {
      CAPTURE(status);
      CAPTURE(request);
      const Step step = {.bytes = WithLength(status, "own")};
      GatewayFixture fixture({{step}, {step}}, kStreamOnce);
      fixture.Send(request);
      fixture.WaitForAnswer("refusal_unconfirmed");
      CHECK(fixture.answer.starts_with("HTTP/1.1 502"));
      CHECK(fixture.answer.find("Response-Seal") == std::string::npos);
      CHECK(fixture.CountRequests() == 1);
    }
  }
}

// Guards against replacing what an endpoint says where that can do no harm.
TEST_CASE("other failures of endpoints are passed on unchanged") {
  GatewayFixture repeatable({{{.bytes = WithLength("503 Busy", "own")}}});
  repeatable.Send("GET /read/x");
  repeatable.WaitForAnswer("\r\n\r\nown");
  CHECK(repeatable.answer.starts_with("HTTP/1.1 503"));
  for (const std::string status : {"400 Bad", "500 Error", "504 Late"}) {
    GatewayFixture fixture({{{.bytes = WithLength(status, "own")}}});
    fixture.Send("POST /book/x");
    fixture.WaitForAnswer("\r\n\r\nown");
    CHECK(fixture.answer.starts_with("HTTP/1.1 " + status.substr(0, 3)));
  }
  GatewayFixture refused({{{.bytes = kNotRunAnswer}}});
  refused.Send("POST /book/x");
  refused.WaitForAnswer("overloaded");
  CHECK(refused.answer.starts_with("HTTP/1.1 503"));
}

// Guards against a body without a length that is taken for whole although its
// connection was reset, and against refusing one that ended in order.
TEST_CASE("an answer without a length is whole only after an orderly end") {
  for (const std::string& head : {kUnframed, kClosing, kOldUnframed}) {
    CAPTURE(head);
    const std::string body = head + "\r\npart";
    GatewayFixture reset({{{.bytes = body, .resets = true}}});
    reset.Send("POST /book/x");
    reset.WaitForAnswer("answer_lost");
    CHECK(reset.answer.starts_with("HTTP/1.1 502"));
    GatewayFixture closed({{{.bytes = body}}});
    closed.Send("POST /book/x");
    closed.WaitForAnswer("part");
    CHECK(closed.answer.starts_with("HTTP/1.1 200"));
    const std::string events = head + "\r\n" + Event(1);
    GatewayFixture reset_stream({{{.bytes = events, .resets = true}}});
    reset_stream.Send("POST /write/x");
    reset_stream.WaitFor([&] { return reset_stream.HasEnded(kStreamEnd); });
    CHECK(reset_stream.answer.ends_with(Chunk(Event(1))));
    GatewayFixture closed_stream({{{.bytes = events}}});
    closed_stream.Send("POST /write/x");
    closed_stream.WaitForAnswer(Chunk(Event(1)) + kStreamEnd);
  }
}

// Guards against a part of an answer that is passed on as a whole one, since
// the endpoint stopped in the middle of an upload.
TEST_CASE("an answer that ends before its request has arrived is incomplete") {
  const std::string upload(3'000'000, 'u');
  const std::string length =
      "Content-Length: " + std::to_string(upload.size()) + "\r\n";
  for (const std::string& head : {kUnframed, kClosing, kOldUnframed}) {
    CAPTURE(head);
    const Step early = {.bytes = head + "\r\npart", .ends_early = true};
    GatewayFixture once({{early}});
    once.Send("POST /book/x", "good", length);
    once.WaitFor([&] { return once.is_connected(); });
    once.Write(upload);
    once.WaitForAnswer("answer_lost");
    CHECK(once.answer.starts_with("HTTP/1.1 502"));
    GatewayFixture other({{early}, {{.bytes = kCompleteAnswer}}});
    other.Send("PUT /read/x", "good", length);
    other.WaitFor([&] { return other.is_connected(); });
    other.Write(upload);
    other.WaitForAnswer("done");
    CHECK(other.endpoints[1]->requests().size() == 1);
  }
}

}  // namespace
}  // namespace bramleybank
