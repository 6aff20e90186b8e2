// Guards against a proxy whose faults do not happen or spill over: tests of
// the daemon under faults would then show nothing.
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

/// A socket that is closed with the object; reads give up after two minutes,
/// a bound that only ends tests that hang.
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

/// A proxy with one pair and the target's sockets, played by the test.
class Setup {
 public:
  Setup()
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
  static sockaddr_in front() { return Address(LoopbackIp(2), 9000); }
  int Accept() const { return accept(m_listener.fd(), nullptr, nullptr); }
  const Socket& listener() const { return m_listener; }
  const Socket& udp() const { return m_udp; }

 private:
  ChildProcess m_proxy;
  Socket m_listener;
  Socket m_udp;
};

/// A client and the target's end of its connection.
struct Link {
  explicit Link(const Setup& setup)
      : client(socket(AF_INET, SOCK_STREAM, 0)), target(Open(setup)) {}

  int Open(const Setup& setup) const {
    REQUIRE(client.Connect(Setup::front()));
    return setup.Accept();
  }

  Socket client;
  Socket target;
};

TEST_CASE("bytes and ends pass both ways and are counted") {
  const Setup setup;
  const Link link(setup);
  link.client.Write("hello");
  CHECK(link.target.Read(5) == "hello");
  link.target.Write("answer");
  CHECK(link.client.Read(6) == "answer");
  shutdown(link.client.fd(), SHUT_WR);
  CHECK(link.target.Read(1).empty());
  link.target.Write("late");
  CHECK(link.client.Read(4) == "late");
  CHECK(Setup::Stat("tcp_bytes_to_target") == 5);
  CHECK(Setup::Stat("tcp_bytes_to_client") == 10);
}

TEST_CASE("a large transfer arrives whole and in order") {
  const Setup setup;
  Setup::Control({{"jitter_ms", 2}, {"delay_ms", 1}});
  const Link link(setup);
  std::string bytes;
  for (int i = 0; bytes.size() < 300000; ++i) {
    bytes += std::to_string(i) + ",";
  }
  link.client.Write(bytes);
  CHECK(link.target.Read(bytes.size()) == bytes);
}

TEST_CASE("delay and bandwidth hold bytes back") {
  const Setup setup;
  const Link link(setup);
  const auto now = [] { return std::chrono::steady_clock::now(); };
  Setup::Control({{"delay_ms", 100}});
  auto start = now();
  link.client.Write("a");
  CHECK(link.target.Read(1) == "a");
  CHECK(now() - start >= std::chrono::milliseconds(100));
  Setup::Control({{"clear", true}, {"bytes_per_s", 10000}});
  start = now();
  link.target.Write(std::string(2000, 'b'));
  CHECK(link.client.Read(2000).size() == 2000);
  CHECK(now() - start >= std::chrono::milliseconds(200));
}

TEST_CASE("a cut stops one way only, and its bytes arrive afterwards") {
  const Setup setup;
  const Link link(setup);
  for (const bool to_target : {true, false}) {
    const char* key = to_target ? "cut_to_target" : "cut_to_client";
    const Socket& from = to_target ? link.client : link.target;
    const Socket& to = to_target ? link.target : link.client;
    Setup::Control({{key, true}});
    from.Write("cut");
    to.Write("open");
    CHECK(from.Read(4) == "open");
    CHECK_FALSE(to.HasInput());
    Setup::Control({{key, false}});
    CHECK(to.Read(3) == "cut");
  }
}

TEST_CASE("all or new connections are reset") {
  const Setup setup;
  const Link link(setup);
  Setup::Control({{"reset_new", true}});
  const Socket late(socket(AF_INET, SOCK_STREAM, 0));
  late.Connect(Setup::front());
  CHECK(late.IsReset());
  link.client.Write("x");
  CHECK(link.target.Read(1) == "x");
  Setup::Control({{"reset_all", true}});
  CHECK(link.client.IsReset());
  CHECK(link.target.IsReset());
}

TEST_CASE("a half-open connection is accepted and never forwarded") {
  const Setup setup;
  Setup::Control({{"half_open", true}});
  const Socket client(socket(AF_INET, SOCK_STREAM, 0));
  CHECK(client.Connect(Setup::front()));
  client.Write("hello");
  WaitUntil("the proxy's accept",
            [] { return Setup::Stat("connections") == 1; });
  // The next connection is the first that the target sees.
  Setup::Control({{"clear", true}});
  const Link link(setup);
  link.client.Write("second");
  CHECK(link.target.Read(6) == "second");
  CHECK_FALSE(client.HasInput());
}

TEST_CASE("an answer is cut after some bytes, or dropped whole") {
  const Setup setup;
  {
    Setup::Control({{"truncate_after", 4}});
    const Link link(setup);
    link.target.Write("answer");
    CHECK(link.client.Read(6) == "answ");
  }
  Setup::Control({{"clear", true}, {"drop_answer", true}});
  const Link link(setup);
  link.client.Write("request");
  CHECK(link.target.Read(7) == "request");
  link.target.Write("answer");
  CHECK(link.client.Read(6).empty());
}

TEST_CASE("refused connections reach nobody, and are accepted again") {
  const Setup setup;
  Setup::Control({{"refuse", true}});
  const Socket client(socket(AF_INET, SOCK_STREAM, 0));
  CHECK_FALSE(client.Connect(Setup::front()));
  Setup::Control({{"refuse", false}});
  const Link link(setup);
  link.client.Write("x");
  CHECK(link.target.Read(1) == "x");
}

TEST_CASE("datagrams pass both ways, are lost, delayed and cut") {
  const Setup setup;
  const Socket client(socket(AF_INET, SOCK_DGRAM, 0));
  REQUIRE(client.Connect(Setup::front()));
  const auto receive = [&setup] {
    std::array<char, 16> bytes{};
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const ssize_t count =
        recvfrom(setup.udp().fd(), bytes.data(), bytes.size(), 0,
                 reinterpret_cast<sockaddr*>(&from), &length);
    REQUIRE(setup.udp().Connect(from));
    return std::string(bytes.data(), static_cast<size_t>(count));
  };
  client.Write("ping");
  CHECK(receive() == "ping");
  setup.udp().Write("pong");
  CHECK(client.Read(4) == "pong");
  const auto dropped = [](int64_t count) {
    WaitUntil("a dropped datagram",
              [&] { return Setup::Stat("datagrams_dropped") == count; });
  };
  Setup::Control({{"udp_loss", 1}});
  client.Write("lost");
  dropped(1);
  Setup::Control({{"clear", true}, {"cut_to_client", true}});
  setup.udp().Write("cut");
  dropped(2);
  CHECK_FALSE(client.HasInput());
  Setup::Control({{"clear", true}, {"delay_ms", 50}});
  const auto start = std::chrono::steady_clock::now();
  client.Write("late");
  CHECK(receive() == "late");
  CHECK(std::chrono::steady_clock::now() - start >=
        std::chrono::milliseconds(50));
  CHECK(Setup::Stat("udp_bytes_to_target") == 8);
  CHECK(Setup::Stat("udp_bytes_to_client") == 4);
}

}  // namespace
}  // namespace bramleybank::testing
