// The client of the store: connections that have gone silent, and the era that
// the store states in its answers.
#include "store_client.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "tcp_address.h"

namespace bramleybank::platform {
namespace {

constexpr Duration kTurn = std::chrono::milliseconds(10);
constexpr char kStatusLine[] = "HTTP/1.1 200 OK\r\n";
constexpr char kAnswer[] =
    "Content-Length: 49\r\n\r\n"
    "{\"ver\":7,\"rows\":[{\"key\":\"k\",\"value\":\"\",\"ver\":5}]}";

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
  size_t requests() const { return m_requests; }
  /// Header line that further answers have, or nothing.
  void SetEraLine(std::string line) { m_era_line = std::move(line); }
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
      ++m_requests;
      const std::string answer = kStatusLine + m_era_line + kAnswer;
      REQUIRE(send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) > 0);
    }
  }

  EventLoop* m_loop;
  int m_listener;
  uint16_t m_port = 0;
  size_t m_requests = 0;
  std::string m_era_line;
  // By descriptor: whether it has been silenced.
  std::map<int, bool> m_connections;
};

// Guards against calls that reuse silent connections, one after the other,
// until each of them has timed out.
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

struct EraFixture {
  StoreRows Read() {
    std::optional<StoreRows> rows;
    store.Read("t", "", [&](const StoreRows& answer) { rows = answer; });
    while (!rows) {
      loop.RunOnce(kTurn);
    }
    return *rows;
  }
  StoreResult Write(std::optional<StoreVersion> expected,
                    std::vector<StoreCondition> conditions = {}) {
    std::optional<StoreResult> result;
    store.Write({.table = "t",
                 .key = "k",
                 .value = {},
                 .expected_version = expected,
                 .conditions = std::move(conditions)},
                [&](StoreResult answer) { result = answer; });
    while (!result) {
      loop.RunOnce(kTurn);
    }
    return *result;
  }

  EventLoop loop;
  FakeStoreServer server{&loop};
  StoreClient store{&loop, server.Url()};
};

TEST_CASE("an answer without a usable era counts as one of the last era") {
  EraFixture fixture;
  struct Answer {
    std::string line;
    uint64_t era;
  };
  for (const auto& [line, era] : std::vector<Answer>{{"", 0},
                                                     {"Store-Era: 2\r\n", 2},
                                                     {"", 2},
                                                     {"Store-Era: x\r\n", 2},
                                                     {"Store-Era: -1\r\n", 2},
                                                     {"Store-Era: 3 4\r\n", 2},
                                                     {"store-era: 3\r\n", 3},
                                                     {"Store-Era: 1\r\n", 1}}) {
    CAPTURE(line);
    fixture.server.SetEraLine(line);
    const StoreRows rows = fixture.Read();
    CHECK(rows.version == StoreVersion(7, era));
    REQUIRE(rows.rows.size() == 1);
    CHECK(rows.rows[0].version == StoreVersion(5, era));
  }
}

// Guards against a write over a row of a new era that has got the expected
// number by chance.
TEST_CASE("a conditional write of an earlier era is a conflict") {
  EraFixture fixture;
  fixture.server.SetEraLine("Store-Era: 1\r\n");
  fixture.Read();
  CHECK(fixture.Write(StoreVersion(5, 0)) == StoreResult::kConflict);
  CHECK(fixture.server.requests() == 1);
  CHECK(fixture.Write(StoreVersion(5, 1)) == StoreResult::kOk);
  CHECK(fixture.Write(StoreVersion()) == StoreResult::kOk);
  CHECK(fixture.Write(std::nullopt) == StoreResult::kOk);
  // The store is restored between the read and the write.
  fixture.server.SetEraLine("Store-Era: 2\r\n");
  CHECK(fixture.Write(StoreVersion(5, 1)) == StoreResult::kConflict);
}

// Guards against the same by a condition on another row.
TEST_CASE("a condition of an earlier era is a conflict") {
  EraFixture fixture;
  fixture.server.SetEraLine("Store-Era: 1\r\n");
  fixture.Read();
  const auto write = [&](const StoreVersion& order) {
    return fixture.Write(StoreVersion(), {{"t", "order", order}});
  };
  CHECK(write(StoreVersion(5, 0)) == StoreResult::kConflict);
  CHECK(fixture.server.requests() == 1);
  CHECK(write(StoreVersion(5, 1)) == StoreResult::kOk);
  fixture.server.SetEraLine("Store-Era: 2\r\n");
  CHECK(write(StoreVersion(5, 1)) == StoreResult::kConflict);
}

}  // namespace
}  // namespace bramleybank::platform
