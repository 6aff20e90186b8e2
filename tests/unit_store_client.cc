// Guards against calls to the store that reuse a connection that has gone
// silent, one after the other, until each of them has timed out.
#include "store_client.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <optional>
#include <string>

#include "event_loop.h"
#include "tcp_address.h"

namespace bramleybank::platform {
namespace {

constexpr Duration kTurn = std::chrono::milliseconds(10);
constexpr char kAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n{\"ver\":1,\"rows\":[]}";

/// A store that answers each request, except on connections that have been
/// silenced.
class FakeStoreServer {
 public:
  explicit FakeStoreServer(EventLoop* loop)
      : m_loop(loop), m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    auto address = *ParseTcpAddress("127.0.0.1:0");
    socklen_t length = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(m_listener, raw, length) == 0);
    REQUIRE(listen(m_listener, SOMAXCONN) == 0);
    getsockname(m_listener, raw, &length);
    m_port = ntohs(address.sin_port);
    m_loop->Watch(m_listener, true, false, [this](IoReady) { Accept(); });
  }
  ~FakeStoreServer() {
    for (const auto& [fd, is_silent] : m_connections) {
      m_loop->Unwatch(fd);
      close(fd);
    }
    m_loop->Unwatch(m_listener);
    close(m_listener);
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_port);
  }
  size_t connections() const { return m_connections.size(); }
  void Silence() {
    for (auto& [fd, is_silent] : m_connections) {
      is_silent = true;
    }
  }

 private:
  void Accept() {
    const int fd = accept(m_listener, nullptr, nullptr);
    REQUIRE(fd >= 0);
    m_connections[fd] = false;
    m_loop->Watch(fd, true, false, [this, fd](IoReady) { Answer(fd); });
  }
  void Answer(int fd) {
    std::string bytes(4096, '\0');
    if (recv(fd, bytes.data(), bytes.size(), 0) <= 0) {
      m_loop->Unwatch(fd);
    } else if (!m_connections[fd]) {
      REQUIRE(send(fd, kAnswer, sizeof(kAnswer) - 1, MSG_NOSIGNAL) > 0);
    }
  }

  EventLoop* m_loop;
  int m_listener;
  uint16_t m_port = 0;
  // By descriptor: whether it has been silenced.
  std::map<int, bool> m_connections;
};

TEST_CASE("after a call has timed out, no connection from before it is used") {
  constexpr int kIdleConnections = 4;
  EventLoop loop;
  FakeStoreServer server(&loop);
  StoreClient store(&loop, server.Url());
  int answered = 0;
  const auto read = [&] {
    store.Read("t", "", [&](const StoreRows& rows) {
      answered += rows.result == StoreResult::kOk ? 1 : 0;
    });
  };
  for (int i = 0; i < kIdleConnections; ++i) {
    read();
  }
  while (answered < kIdleConnections) {
    loop.RunOnce(kTurn);
  }
  REQUIRE(server.connections() == kIdleConnections);
  server.Silence();
  std::optional<StoreResult> lost;
  store.Read("t", "", [&](const StoreRows& rows) { lost = rows.result; });
  while (!lost) {
    loop.RunOnce(kTurn);
  }
  CHECK(lost == StoreResult::kUnavailable);
  std::optional<StoreResult> next;
  store.Read("t", "", [&](const StoreRows& rows) { next = rows.result; });
  while (!next) {
    loop.RunOnce(kTurn);
  }
  CHECK(next == StoreResult::kOk);
}

}  // namespace
}  // namespace bramleybank::platform
