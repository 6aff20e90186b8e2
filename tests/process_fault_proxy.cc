// Guards against a proxy whose faults have no effect or affect other traffic.
// Tests of the daemon under faults would then prove nothing.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <string>

#include "process_fixture.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

sockaddr_in Address(const std::string& ip, uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

/// A socket that is closed with the object. Reads time out after two minutes,
/// which only serves to end tests that hang.
class Socket {
 public:
  explicit Socket(int fd) : m_fd(fd) {
    REQUIRE(m_fd >= 0);
    const timeval limit{.tv_sec = 120, .tv_usec = 0};
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  ~Socket() { close(m_fd); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return m_fd; }
  bool Connect(const sockaddr_in& to) const {
    return connect(m_fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) ==
           0;
  }
  void Bind(const sockaddr_in& to) const {
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    REQUIRE(bind(m_fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) ==
            0);
  }
  void Write(const std::string& bytes) const {
    REQUIRE(send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  /// @returns up to `count` bytes; fewer at the end of the stream.
  std::string Read(size_t count) const {
    std::string bytes(count, '\0');
    const ssize_t got = recv(m_fd, bytes.data(), count, MSG_WAITALL);
    bytes.resize(got < 0 ? 0 : static_cast<size_t>(got));
    return bytes;
  }
  bool IsReset() const {
    char byte = 0;
    return recv(m_fd, &byte, 1, 0) < 0 && errno == ECONNRESET;
  }
  bool HasInput() const {
    char byte = 0;
    return recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
  }

 private:
  int m_fd;
};

/// A proxy with one pair, and the target's sockets, which the test controls.
class ProxyFixture {
 public:
  ProxyFixture()
      : m_proxy("fault_proxy",
                "[control]\nip=" + LoopbackIp(1) +
                    "\n[pairs]\nnames=a\n[a]\nport=9000\ntarget_port=9000\n" +
                    "ip=" + LoopbackIp(2) + "\ntarget_ip=" + LoopbackIp(3) +
                    "\n"),
        m_listener(socket(AF_INET, SOCK_STREAM, 0)),
        m_udp(socket(AF_INET, SOCK_DGRAM, 0)) {
    m_listener.Bind(Address(LoopbackIp(3), 9000));
    REQUIRE(listen(m_listener.fd(), 16) == 0);
    m_udp.Bind(Address(LoopbackIp(3), 9000));
    WaitReady(Url("/stats"));
  }

  static std::string Url(const std::string& path) {
    return "http://" + LoopbackIp(1) + ":9900" + path;
  }
  static void Control(const json& message) {
    REQUIRE(Send("POST", Url("/control"), {}, message.dump()).status == 200);
  }
  static int64_t Stat(const char* name) {
    return json::parse(Send("GET", Url("/stats")).body)["a"][name];
  }
  static sockaddr_in listen_address() { return Address(LoopbackIp(2), 9000); }
  int Accept() const { return accept(m_listener.fd(), nullptr, nullptr); }
  const Socket& listener() const { return m_listener; }
  const Socket& udp() const { return m_udp; }

 private:
  ChildProcess m_proxy;
  Socket m_listener;
  Socket m_udp;
};

/// A client and the target's end of its connection.
struct ProxiedConnection {
  explicit ProxiedConnection(const ProxyFixture& fixture)
      : client(socket(AF_INET, SOCK_STREAM, 0)), target(Open(fixture)) {}

  int Open(const ProxyFixture& fixture) const {
    REQUIRE(client.Connect(ProxyFixture::listen_address()));
    return fixture.Accept();
  }

  Socket client;
  Socket target;
};

TEST_CASE("bytes and ends of stream are forwarded both ways and counted") {
  const ProxyFixture fixture;
  const ProxiedConnection connection(fixture);
  connection.client.Write("hello");
  CHECK(connection.target.Read(5) == "hello");
  connection.target.Write("answer");
  CHECK(connection.client.Read(6) == "answer");
  shutdown(connection.client.fd(), SHUT_WR);
  CHECK(connection.target.Read(1).empty());
  connection.target.Write("late");
  CHECK(connection.client.Read(4) == "late");
  CHECK(ProxyFixture::Stat("tcp_bytes_to_target") == 5);
  CHECK(ProxyFixture::Stat("tcp_bytes_to_client") == 10);
}

TEST_CASE("a large transfer arrives complete and in order") {
  const ProxyFixture fixture;
  ProxyFixture::Control({{"jitter_ms", 2}, {"delay_ms", 1}});
  const ProxiedConnection connection(fixture);
  std::string bytes;
  for (int i = 0; bytes.size() < 300000; ++i) {
    bytes += std::to_string(i) + ",";
  }
  connection.client.Write(bytes);
  CHECK(connection.target.Read(bytes.size()) == bytes);
}

TEST_CASE("delay and bandwidth limit hold bytes back") {
  const ProxyFixture fixture;
  const ProxiedConnection connection(fixture);
  const auto now = [] { return std::chrono::steady_clock::now(); };
  ProxyFixture::Control({{"delay_ms", 100}});
  auto start = now();
  connection.client.Write("a");
  CHECK(connection.target.Read(1) == "a");
  CHECK(now() - start >= std::chrono::milliseconds(100));
  ProxyFixture::Control({{"clear", true}, {"bytes_per_s", 10000}});
  start = now();
  connection.target.Write(std::string(2000, 'b'));
  CHECK(connection.client.Read(2000).size() == 2000);
  CHECK(now() - start >= std::chrono::milliseconds(200));
}

TEST_CASE("a cut blocks one direction only, and its bytes arrive afterwards") {
  const ProxyFixture fixture;
  const ProxiedConnection connection(fixture);
  for (const bool to_target : {true, false}) {
    const char* key = to_target ? "cut_to_target" : "cut_to_client";
    const Socket& from = to_target ? connection.client : connection.target;
    const Socket& to = to_target ? connection.target : connection.client;
    ProxyFixture::Control({{key, true}});
    from.Write("cut");
    to.Write("open");
    CHECK(from.Read(4) == "open");
    CHECK_FALSE(to.HasInput());
    ProxyFixture::Control({{key, false}});
    CHECK(to.Read(3) == "cut");
  }
}

TEST_CASE("new connections or all connections are reset") {
  const ProxyFixture fixture;
  const ProxiedConnection connection(fixture);
  ProxyFixture::Control({{"reset_new", true}});
  const Socket second_client(socket(AF_INET, SOCK_STREAM, 0));
  second_client.Connect(ProxyFixture::listen_address());
  CHECK(second_client.IsReset());
  connection.client.Write("x");
  CHECK(connection.target.Read(1) == "x");
  ProxyFixture::Control({{"reset_all", true}});
  CHECK(connection.client.IsReset());
  CHECK(connection.target.IsReset());
}

TEST_CASE("open connections go silent for good, and new ones work") {
  const ProxyFixture fixture;
  const ProxiedConnection silent(fixture);
  silent.client.Write("x");
  CHECK(silent.target.Read(1) == "x");
  ProxyFixture::Control({{"silence_all", true}});
  silent.client.Write("lost");
  silent.target.Write("lost");
  ProxyFixture::Control({{"clear", true}});
  const ProxiedConnection connection(fixture);
  connection.client.Write("new");
  CHECK(connection.target.Read(3) == "new");
  CHECK_FALSE(silent.target.HasInput());
  CHECK_FALSE(silent.client.HasInput());
}

TEST_CASE("a half-open connection is accepted and never forwarded") {
  const ProxyFixture fixture;
  ProxyFixture::Control({{"half_open", true}});
  const Socket client(socket(AF_INET, SOCK_STREAM, 0));
  CHECK(client.Connect(ProxyFixture::listen_address()));
  client.Write("hello");
  WaitUntil("the proxy's accept",
            [] { return ProxyFixture::Stat("connections") == 1; });
  // The next connection is the first that the target sees.
  ProxyFixture::Control({{"clear", true}});
  const ProxiedConnection connection(fixture);
  connection.client.Write("second");
  CHECK(connection.target.Read(6) == "second");
  CHECK_FALSE(client.HasInput());
}

TEST_CASE("an answer is truncated or dropped completely") {
  const ProxyFixture fixture;
  {
    ProxyFixture::Control({{"truncate_after", 4}});
    const ProxiedConnection connection(fixture);
    connection.target.Write("answer");
    CHECK(connection.client.Read(6) == "answ");
  }
  ProxyFixture::Control({{"clear", true}, {"drop_answer", true}});
  const ProxiedConnection connection(fixture);
  connection.client.Write("request");
  CHECK(connection.target.Read(7) == "request");
  connection.target.Write("answer");
  CHECK(connection.client.Read(6).empty());
}

TEST_CASE("connections are refused, and accepted again after the fault") {
  const ProxyFixture fixture;
  ProxyFixture::Control({{"refuse", true}});
  const Socket client(socket(AF_INET, SOCK_STREAM, 0));
  CHECK_FALSE(client.Connect(ProxyFixture::listen_address()));
  ProxyFixture::Control({{"refuse", false}});
  const ProxiedConnection connection(fixture);
  connection.client.Write("x");
  CHECK(connection.target.Read(1) == "x");
}

TEST_CASE("datagrams are forwarded both ways, dropped, delayed and blocked") {
  const ProxyFixture fixture;
  const Socket client(socket(AF_INET, SOCK_DGRAM, 0));
  REQUIRE(client.Connect(ProxyFixture::listen_address()));
  const auto receive = [&fixture] {
    std::array<char, 16> bytes{};
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const ssize_t count =
        recvfrom(fixture.udp().fd(), bytes.data(), bytes.size(), 0,
                 reinterpret_cast<sockaddr*>(&from), &length);
    REQUIRE(fixture.udp().Connect(from));
    return std::string(bytes.data(), static_cast<size_t>(count));
  };
  client.Write("ping");
  CHECK(receive() == "ping");
  fixture.udp().Write("pong");
  CHECK(client.Read(4) == "pong");
  const auto dropped = [](int64_t count) {
    WaitUntil("a dropped datagram",
              [&] { return ProxyFixture::Stat("datagrams_dropped") == count; });
  };
  ProxyFixture::Control({{"udp_loss", 1}});
  client.Write("lost");
  dropped(1);
  ProxyFixture::Control({{"clear", true}, {"cut_to_client", true}});
  fixture.udp().Write("cut");
  dropped(2);
  CHECK_FALSE(client.HasInput());
  ProxyFixture::Control({{"clear", true}, {"delay_ms", 50}});
  const auto start = std::chrono::steady_clock::now();
  client.Write("late");
  CHECK(receive() == "late");
  CHECK(std::chrono::steady_clock::now() - start >=
        std::chrono::milliseconds(50));
  CHECK(ProxyFixture::Stat("udp_bytes_to_target") == 8);
  CHECK(ProxyFixture::Stat("udp_bytes_to_client") == 4);
}

}  // namespace
}  // namespace bramleybank::testing
