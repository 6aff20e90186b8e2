// Guards against a socket that stays registered in the event loop after libcurl
// has closed it. The next descriptor with the same number would get no events.
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <vector>

#include "event_loop.h"
#include "http_client.h"
#include "tcp_address.h"

namespace bramleybank {
namespace {

constexpr Duration kShortTimeout = std::chrono::milliseconds(50);
constexpr Duration kTurn = std::chrono::milliseconds(10);
constexpr int kPipeCount = 16;

/// A listener whose accept queue is full, so that connecting to it hangs.
class FullListener {
 public:
  FullListener() : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    auto address = *ParseTcpAddress("127.0.0.1:0");
    socklen_t length = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(m_fd, raw, length) == 0);
    REQUIRE(listen(m_fd, 0) == 0);
    getsockname(m_fd, raw, &length);
    m_port = ntohs(address.sin_port);
    for (int& fd : m_fillers) {
      fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect(fd, raw, length);
    }
  }
  ~FullListener() {
    for (const int fd : m_fillers) {
      close(fd);
    }
    close(m_fd);
  }
  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/";
  }

 private:
  int m_fd;
  uint16_t m_port = 0;
  std::array<int, 4> m_fillers{};
};

TEST_CASE("a descriptor is served after libcurl closed one with its number") {
  const FullListener listener;
  EventLoop loop;
  HttpClient client(&loop);
  bool done = false;
  client.Start({.method = "GET",
                .url = listener.Url(),
                .headers = {},
                .body = {},
                .connect_timeout = kShortTimeout,
                .total_timeout = kShortTimeout},
               {.on_headers = nullptr,
                .on_data = nullptr,
                .on_done = [&](const HttpOutcome&) { done = true; }});
  while (!done) {
    loop.RunOnce(kTurn);
  }
  int served = 0;
  std::vector<int> fds;
  for (int i = 0; i < kPipeCount; ++i) {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    fds.insert(fds.end(), ends.begin(), ends.end());
    loop.Watch(ends[0], true, false, [&loop, &served, fd = ends[0]](IoReady) {
      ++served;
      loop.Unwatch(fd);
    });
    REQUIRE(write(ends[1], "x", 1) == 1);
  }
  for (int turn = 0; turn < 4 * kPipeCount; ++turn) {
    loop.RunOnce(Duration{0});
  }
  CHECK(served == kPipeCount);
  for (const int fd : fds) {
    loop.Unwatch(fd);
    close(fd);
  }
}

}  // namespace
}  // namespace bramleybank
