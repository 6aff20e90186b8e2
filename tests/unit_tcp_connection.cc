// Guards against a connect timeout of a connection that is established.
#include "tcp_connection.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "event_loop.h"
#include "tcp_listener.h"

namespace bramleybank {
namespace {

constexpr Duration kMaxWait = std::chrono::milliseconds(50);

// Guards against judging a connection by its event, which may wait for its turn
// in a busy loop for longer than the timeout.
TEST_CASE("a busy loop does not time out a connection that is established") {
  constexpr int kBusyPairs = 20;
  EventLoop loop;
  std::vector<std::array<int, 2>> pairs(kBusyPairs);
  for (auto& pair : pairs) {
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
    // The byte is never read, so the descriptor stays ready.
    loop.Watch(pair[0], true, false, [](IoReady) {});
    REQUIRE(write(pair[1], "x", 1) == 1);
  }
  TcpListener listener(&loop);
  const auto port = listener.Start("127.0.0.1:0", [](int fd) { close(fd); });
  REQUIRE(port);
  bool is_connected = false;
  bool has_ended = false;
  const auto connection = TcpConnection::Connect(
      &loop, "127.0.0.1:" + std::to_string(*port), Duration{0},
      {.on_connected = [&] { is_connected = true; },
       .on_data = nullptr,
       .on_end = [&](TcpCloseReason) { has_ended = true; },
       .on_drained = nullptr});
  while (!is_connected && !has_ended) {
    loop.RunOnce(kMaxWait);
  }
  CHECK(is_connected);
  connection->Close();
  for (const auto& pair : pairs) {
    loop.Unwatch(pair[0]);
    close(pair[0]);
    close(pair[1]);
  }
}

// Guards against a connection that nobody accepts and that never ends.
TEST_CASE("a connection that is not established in time has failed") {
  EventLoop loop;
  // A listener whose queue is full does not accept further connections.
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  REQUIRE(listen(fd, 0) == 0);
  socklen_t size = sizeof(address);
  REQUIRE(getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  constexpr int kConnections = 4;
  int failed = 0;
  int open = 0;
  std::vector<std::shared_ptr<TcpConnection>> connections;
  for (int i = 0; i < kConnections; ++i) {
    connections.push_back(TcpConnection::Connect(
        &loop, "127.0.0.1:" + std::to_string(ntohs(address.sin_port)), kMaxWait,
        {.on_connected = [&] { ++open; },
         .on_data = nullptr,
         .on_end =
             [&](TcpCloseReason reason) {
               failed += reason == TcpCloseReason::kNotConnected ? 1 : 0;
             },
         .on_drained = nullptr}));
  }
  while (open + failed < kConnections) {
    loop.RunOnce(kMaxWait);
  }
  CHECK(failed > 0);
  for (const auto& connection : connections) {
    connection->Close();
  }
  close(fd);
}

}  // namespace
}  // namespace bramleybank
