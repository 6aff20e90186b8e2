// Tests the HTTP/2 links between daemons over loopback sockets, with both sides
// in this process. Guards against calls that never end, answers that are
// delivered to the wrong call, and peers that exhaust the memory of this side.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <deque>
#include <map>
#include <thread>

#include "event_loop.h"
#include "peer_client.h"
#include "peer_server.h"
#include "process_fixture.h"

namespace bramleybank {
namespace {

// Timeout that is reached only when a test hangs.
constexpr Duration kHangTimeout = std::chrono::seconds(60);

struct LinkFixture {
  EventLoop loop;
  std::string ip = testing::LoopbackIp(1);
  std::unique_ptr<PeerServer> server;
  std::unique_ptr<PeerClient> client = std::make_unique<PeerClient>(&loop);
  std::string peer;
  std::deque<PeerServer::ReplyFn> held;
  std::vector<PeerReply> replies;

  void StartServer(const PeerServerOptions& options = {}, uint16_t port = 0) {
    server = std::make_unique<PeerServer>(&loop, options);
    const auto bound =
        server->Start(ip, port,
                      [this](const std::string& path, std::string_view body,
                             PeerServer::ReplyFn reply) {
                        if (path == "/held") {
                          held.push_back(std::move(reply));
                        } else {
                          reply(200, path + " " + std::string(body));
                        }
                      });
    REQUIRE(bound);
    peer = ip + ":" + std::to_string(*bound);
  }

  void Call(const std::string& path,
            const std::string& body = {},
            Duration timeout = kHangTimeout) {
    client->Call(peer, path, body, timeout,
                 [this](const PeerReply& reply) { replies.push_back(reply); });
  }

  void RunUntil(const std::string& what, const std::function<bool()>& done) {
    testing::WaitUntil(what, [&] {
      loop.RunOnce(std::chrono::milliseconds(20));
      return done();
    });
  }

  uint16_t port() const {
    return static_cast<uint16_t>(std::stoi(peer.substr(peer.rfind(':') + 1)));
  }

  /// @returns a plain TCP socket that is connected to the server.
  int ConnectRaw() const {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    address.sin_port = htons(port());
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    return fd;
  }

  PeerReply WaitReply() {
    RunUntil("a reply", [&] { return !replies.empty(); });
    REQUIRE(replies.size() == 1);
    return std::exchange(replies, {}).front();
  }
};

TEST_CASE_FIXTURE(LinkFixture, "calls are answered over one connection") {
  StartServer();
  Call("/a", "x");
  CHECK(replies.empty());
  CHECK(WaitReply() == PeerReply{PeerStatus::kOk, 200, "/a x"});
  const std::string large(kMaxPeerBodyBytes - 10, 'y');
  Call("/b", large);
  CHECK(WaitReply().body == "/b " + large);
  CHECK(server->open_connections() == 1);
  CHECK(client->open_connections() == 1);
}

TEST_CASE_FIXTURE(LinkFixture, "1,000 concurrent calls get their own answers") {
  StartServer();
  size_t correct = 0;
  size_t done = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string body = std::to_string(i);
    client->Call(peer, i % 2 == 0 ? "/held" : "/now", body, kHangTimeout,
                 [&, body](const PeerReply& reply) {
                   ++done;
                   correct += reply.body == "/now " + body ? 1 : 0;
                 });
  }
  RunUntil("the held calls", [&] { return held.size() == 500; });
  RunUntil("the other calls", [&] { return correct == 500; });
  for (const auto& reply : held) {
    reply(200, "late");
  }
  RunUntil("all calls", [&] { return done == 1000; });
  CHECK(server->open_connections() == 1);
  CHECK(client->open_calls() == 0);
}

TEST_CASE_FIXTURE(LinkFixture, "answers out of order reach the right calls") {
  StartServer();
  std::map<int, std::string> answers;
  for (int i = 0; i < 3; ++i) {
    client->Call(
        peer, "/held", {}, kHangTimeout,
        [&answers, i](const PeerReply& reply) { answers[i] = reply.body; });
  }
  RunUntil("the calls", [&] { return held.size() == 3; });
  for (const int i : {2, 0, 1}) {
    held[static_cast<size_t>(i)](200, "for " + std::to_string(i));
    RunUntil("an answer", [&] { return answers.contains(i); });
    CHECK(answers[i] == "for " + std::to_string(i));
  }
}

TEST_CASE_FIXTURE(LinkFixture, "the loss of a peer fails its open calls") {
  StartServer();
  Call("/a");
  CHECK(WaitReply().status == PeerStatus::kOk);
  Call("/held");
  RunUntil("the call", [&] { return held.size() == 1; });
  const uint16_t old_port = port();
  const uint64_t sent_before = client->bytes_sent();
  server.reset();
  CHECK(WaitReply().status == PeerStatus::kUnreachable);
  // The close of the connection is detected, not the timeout of a PING.
  CHECK(client->bytes_sent() == sent_before);
  CHECK(client->open_connections() == 0);
  held[0](200, "too late");
  Call("/a");
  CHECK(
      WaitReply() ==
      PeerReply{PeerStatus::kUnreachable, 0, {}, std::strerror(ECONNREFUSED)});
  StartServer({}, old_port);
  Call("/a");
  CHECK(WaitReply().status == PeerStatus::kOk);
}

TEST_CASE_FIXTURE(LinkFixture, "a frozen peer is detected by PING") {
  // The kernel accepts connections and data, but no process reads them.
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  REQUIRE(listen(fd, 8) == 0);
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  peer = ip + ":" + std::to_string(ntohs(address.sin_port));
  Call("/a");
  const PeerReply reply = WaitReply();
  CHECK(reply.status == PeerStatus::kUnreachable);
  CHECK(reply.detail.find("nothing received for") != std::string::npos);
  close(fd);
}

TEST_CASE_FIXTURE(LinkFixture, "a frozen client is dropped by the server") {
  StartServer();
  const int fd = ConnectRaw();
  RunUntil("the connection", [&] { return server->open_connections() == 1; });
  RunUntil("its end", [&] { return server->open_connections() == 0; });
  close(fd);
}

TEST_CASE_FIXTURE(LinkFixture, "PINGs keep a connection without traffic open") {
  StartServer();
  Call("/held");
  RunUntil("the call", [&] { return held.size() == 1; });
  const TimePoint start = loop.Now();
  RunUntil("twice the silence timeout",
           [&] { return loop.Now() - start > 2 * kPeerSilenceTimeout; });
  held[0](200, "long");
  CHECK(WaitReply() == PeerReply{PeerStatus::kOk, 200, "long"});
}

TEST_CASE_FIXTURE(LinkFixture,
                  "a pause of this process does not close connections") {
  StartServer();
  Call("/held");
  RunUntil("the call", [&] { return held.size() == 1; });
  // Both sides are stalled, so the missing input must not close the connection.
  std::this_thread::sleep_for(kPeerSilenceTimeout + kPeerPingDelay);
  loop.RunOnce(Duration(0));
  held[0](200, "after the pause");
  CHECK(WaitReply().status == PeerStatus::kOk);
}

TEST_CASE_FIXTURE(LinkFixture,
                  "a call that times out does not affect other calls") {
  StartServer();
  Call("/held", {}, std::chrono::milliseconds(30));
  CHECK(WaitReply().status == PeerStatus::kTimedOut);
  Call("/a");
  CHECK(WaitReply().status == PeerStatus::kOk);
  CHECK(client->open_connections() == 1);
}

TEST_CASE_FIXTURE(LinkFixture, "an oversized body is refused") {
  StartServer({.max_body_bytes = 1000});
  Call("/a", std::string(1001, 'x'));
  CHECK(WaitReply() == PeerReply{PeerStatus::kRefused, 413, {}, "status 413"});
  Call("/a", std::string(kMaxPeerBodyBytes, 'x'));
  CHECK(WaitReply().http_status == 413);
  Call("/a", std::string(kMaxPeerBodyBytes + 1, 'x'));
  CHECK(WaitReply().detail == "request too large");
  Call("/a", std::string(900, 'x'));
  CHECK(WaitReply().status == PeerStatus::kOk);
  CHECK(server->open_connections() == 1);
}

TEST_CASE_FIXTURE(LinkFixture, "an oversized reply is refused") {
  StartServer();
  Call("/held");
  RunUntil("the call", [&] { return held.size() == 1; });
  held[0](200, std::string(kMaxPeerBodyBytes + 1, 'x'));
  CHECK(WaitReply().detail == "reply too large");
}

TEST_CASE_FIXTURE(LinkFixture, "partly received requests are bounded") {
  StartServer({.max_received_bytes = 30000});
  for (int i = 0; i < 3; ++i) {
    Call("/a", std::string(40000, 'x'));
    CHECK(WaitReply().http_status == 503);
  }
  // The refused requests no longer count towards the limit.
  for (int i = 0; i < 3; ++i) {
    Call("/a", std::string(20000, 'x'));
    CHECK(WaitReply().status == PeerStatus::kOk);
  }
}

TEST_CASE_FIXTURE(LinkFixture, "the queue to one peer is bounded") {
  StartServer();
  client = std::make_unique<PeerClient>(
      &loop, PeerClientOptions{.max_queued_bytes = 1000});
  Call("/a", std::string(600, 'x'));
  Call("/b", std::string(600, 'x'));
  CHECK(WaitReply().status == PeerStatus::kRefused);
  CHECK(WaitReply().body.starts_with("/a "));
  Call("/c", std::string(600, 'x'));
  CHECK(WaitReply().status == PeerStatus::kOk);
}

TEST_CASE_FIXTURE(LinkFixture, "idle connections are closed") {
  StartServer();
  client = std::make_unique<PeerClient>(
      &loop, PeerClientOptions{.idle_timeout = std::chrono::milliseconds(20)});
  Call("/a");
  CHECK(WaitReply().status == PeerStatus::kOk);
  Call("/held");
  RunUntil("the call", [&] { return held.size() == 1; });
  const TimePoint start = loop.Now();
  RunUntil("the idle time",
           [&] { return loop.Now() - start > std::chrono::milliseconds(40); });
  CHECK(client->open_connections() == 1);
  held[0](200, {});
  CHECK(WaitReply().status == PeerStatus::kOk);
  RunUntil("the end", [&] { return client->open_connections() == 0; });
  RunUntil("its end", [&] { return server->open_connections() == 0; });
}

TEST_CASE_FIXTURE(LinkFixture,
                  "no call fails when the stream ids are exhausted") {
  StartServer();
  constexpr int32_t kLastStream = 0x7fffffff;
  client = std::make_unique<PeerClient>(
      &loop, PeerClientOptions{.first_stream = kLastStream - 2});
  for (int i = 0; i < 5; ++i) {
    Call("/a");
    CHECK(WaitReply().status == PeerStatus::kOk);
  }
  CHECK(client->open_connections() == 1);
  RunUntil("the old ones' end",
           [&] { return server->open_connections() == 1; });
}

TEST_CASE_FIXTURE(LinkFixture, "connections beyond the limit are closed") {
  StartServer({.max_connections = 1});
  Call("/a");
  CHECK(WaitReply().status == PeerStatus::kOk);
  PeerClient second(&loop);
  second.Call(peer, "/b", {}, kHangTimeout,
              [this](const PeerReply& reply) { replies.push_back(reply); });
  CHECK(WaitReply().status == PeerStatus::kUnreachable);
  CHECK(server->open_connections() == 1);
}

TEST_CASE_FIXTURE(LinkFixture, "bytes that are not HTTP/2 end the connection") {
  StartServer();
  const int fd = ConnectRaw();
  REQUIRE(send(fd, "GET / HTTP/1.1\r\n\r\n", 18, 0) == 18);
  RunUntil("the connection", [&] { return server->bytes_received() == 18; });
  CHECK(server->open_connections() == 0);
  close(fd);
}

TEST_CASE_FIXTURE(LinkFixture, "a malformed address fails the call") {
  for (const char* address : {"", "127.0.0.1", "x:1", "127.0.0.1:70000"}) {
    peer = address;
    Call("/a");
    CHECK(replies.empty());
    CHECK(WaitReply().detail == "malformed peer address");
  }
}

TEST_CASE_FIXTURE(LinkFixture, "a callback may destroy the client") {
  StartServer();
  for (int i = 0; i < 2; ++i) {
    client->Call(peer, "/a", {}, kHangTimeout, [this](const PeerReply& reply) {
      replies.push_back(reply);
      client.reset();
    });
  }
  CHECK(WaitReply().status == PeerStatus::kOk);
  RunUntil("the end", [&] { return server->open_connections() == 0; });
  CHECK(replies.empty());
}

}  // namespace
}  // namespace bramleybank
