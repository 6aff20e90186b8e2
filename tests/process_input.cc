// Guards against invalid input that is not refused with a result code and the
// outcome not_run, and against connections that prevent the daemon from serving
// other callers.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "bramleybank/result_code.h"
#include "process_deployment.h"

namespace bramleybank::testing {
namespace {

constexpr char kGood[] = R"({"model":"writer","prompt":"p","max_tokens":3})";

struct BadRequest {
  std::string name;
  std::string method = "POST";
  std::string path = "/v1/completions";
  HttpHeaders headers;
  std::string body = kGood;
  ResultCode code = ResultCode::kBadField;
};

std::vector<BadRequest> BadRequests() {
  using enum ResultCode;
  std::vector<BadRequest> requests = {
      {.name = "broken JSON", .body = "{\"model\":", .code = kBadJson},
      {.name = "not an object", .body = "[1]", .code = kBadField},
      {.name = "no prompt", .body = R"({"model":"writer"})"},
      {.name = "negative max_tokens",
       .body = R"({"model":"writer","prompt":"p","max_tokens":-1})"},
      {.name = "unknown model",
       .body = R"({"model":"none","prompt":"p"})",
       .code = kUnknownModel},
      {.name = "deep JSON", .body = std::string(100000, '['), .code = kBadJson},
      {.name = "wrong method", .method = "GET", .code = kMethodNotAllowed},
      {.name = "unknown path", .path = "/v2/none", .code = kUnknownPath},
      {.name = "foreign Last-Event-ID",
       .headers = {{"Last-Event-ID", "17"}},
       .code = kBadLastEventId},
      {.name = "customer with a space",
       .headers = {{"X-Customer", "a b"}},
       .code = kBadHeader},
      {.name = "key too long",
       .headers = {{"Idempotency-Key",
                    std::string(kMaxIdempotencyKeyBytes + 1, 'k')}},
       .code = kBadHeader},
      {.name = "headers too long",
       .headers = {{"X-Filler", std::string(kMaxHeaderBytes + 1, 'f')}},
       .code = kBadHeader},
      {.name = "body too large",
       .body = std::string(kMaxRequestBodyBytes + 1, ' '),
       .code = kBodyTooLarge},
      {.name = "URL too long",
       .path = "/v1/" + std::string(kMaxUrlBytes, 'u'),
       .code = kUrlTooLong}};
  return requests;
}

/// Opens a connection and sends only `text` on it.
/// @returns the socket, or -1 when the connect fails.
int OpenConnection(const std::string& ip, const std::string& text) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(7101);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  if (!text.empty()) {
    CHECK(send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()));
  }
  return fd;
}

TEST_CASE("invalid input is refused with a result code and not_run") {
  Deployment deployment({.domains = 1});
  for (const BadRequest& bad : BadRequests()) {
    CAPTURE(bad.name);
    const HttpAnswer answer =
        Send(bad.method, deployment.caller_url(0) + bad.path, bad.headers,
             bad.method == "GET" ? "" : bad.body);
    CHECK(answer.status == InfoOf(bad.code).http_status);
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    REQUIRE(body.is_object());
    CHECK(body["error"]["code"] == static_cast<int>(bad.code));
    CHECK(body["error"]["outcome"] == "not_run");
  }
  const HttpAnswer good =
      Send("POST", deployment.caller_url(0) + "/v1/completions", {}, kGood);
  CHECK(good.status == 200);
}

TEST_CASE("idle and slow connections do not block other callers") {
  Deployment deployment({.domains = 1});
  const std::string ip = LoopbackIp(10);
  std::vector<int> connections;
  for (int i = 0; i < 2000; ++i) {
    const bool is_slow = i % 2 == 0;
    connections.push_back(OpenConnection(
        ip,
        is_slow ? "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConte" : ""));
    REQUIRE(connections.back() >= 0);
  }
  const CallerResult result = RunCaller(deployment, {.max_tokens = 10});
  CHECK(result.done);
  CHECK(result.faults == "");
  for (const int fd : connections) {
    close(fd);
  }
}

/// @returns everything that arrives until the daemon closes the connection.
std::string ReadToClose(int fd) {
  std::string received;
  std::vector<char> buffer(65536);
  for (;;) {
    const ssize_t count = recv(fd, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      close(fd);
      return received;
    }
    received.append(buffer.data(), static_cast<size_t>(count));
  }
}

// Guards against request smuggling: a second request could be hidden in a first
// one whose end two parsers would find at different positions. Such a request
// is refused, and the connection is closed without another answer.
TEST_CASE("a request with an ambiguous end is refused and closed") {
  Deployment deployment({.domains = 1});
  const std::string hidden = "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string length =
      "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
  const std::vector<std::string> headers = {
      length + "Transfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\n" + length,
      length + "Content-Length: 0\r\n",
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: chunked, identity\r\n",
      "Content-Length : 0\r\n",
      "X: y\r\n Content-Length: 0\r\n",
      "X: y\nContent-Length: 0\r\n"};
  for (const std::string& header : headers) {
    CAPTURE(header);
    const int fd = OpenConnection(
        LoopbackIp(10), "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" +
                            header + "\r\n0\r\n\r\n" + hidden);
    REQUIRE(fd >= 0);
    const std::string answer = ReadToClose(fd);
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
  }
}

TEST_CASE("a slow caller pauses its stream and receives all of it") {
  // 30,000 events of about 350 bytes exceed the socket buffers by far, so the
  // daemon must stop reading from the engine.
  Deployment deployment(
      {.domains = 1,
       .engine_settings = "token_interval_ms = 0.02\nbatch_knee = 64\n"});
  const std::string body =
      R"({"model":"writer","prompt":"p","max_tokens":30000,"stream":true})";
  const int fd = OpenConnection(
      LoopbackIp(10),
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body);
  REQUIRE(fd >= 0);
  WaitUntil("the daemon to pause the stream", [&] {
    return deployment.Metric(0, "bramleybank_slow_caller_pauses_total") > 0;
  });
  std::string received;
  std::vector<char> buffer(65536);
  while (received.find("[DONE]") == std::string::npos) {
    const ssize_t count = recv(fd, buffer.data(), buffer.size(), 0);
    REQUIRE(count > 0);
    received.append(buffer.data(), static_cast<size_t>(count));
    if (received.size() > 4 * buffer.size() &&
        received.find("[DONE]") == std::string::npos) {
      received.erase(0, received.size() - buffer.size());
    }
  }
  CHECK(received.find("\"completion_tokens\":30000") != std::string::npos);
  close(fd);
}

}  // namespace
}  // namespace bramleybank::testing
