// Tests of streams whose callers reconnect to another daemon.
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "http_client.h"
#include "http_responder.h"
#include "metric_registry.h"
#include "stream_service.h"

namespace bramleybank {
namespace {

/// Records whether a response was started.
class FakeResponder : public HttpResponder {
 public:
  void Respond(int status, const HttpHeaders&, std::string) override {
    m_status = status;
  }
  void StartStream(int status, const HttpHeaders&) override {
    m_status = status;
  }
  void Write(std::string_view) override {}
  void Finish() override {}
  void Abort() override {}
  void SetCloseHandler(std::function<void(bool)> handler) override {
    m_on_close = std::move(handler);
  }
  void SetDrainHandler(std::function<void()>) override {}
  size_t buffered_bytes() const override { return 0; }
  bool is_open() const override { return true; }

  /// @returns the status of the response; 0 while there is none.
  int status() const { return m_status; }

 private:
  int m_status = 0;
  std::function<void(bool)> m_on_close;
};

/// A service whose peers reply when the test calls the stored callbacks.
class Fixture {
 public:
  StreamService& service() { return m_service; }

  std::shared_ptr<FakeResponder> Resume(uint64_t position) {
    auto responder = std::make_shared<FakeResponder>();
    m_service.Resume({.model = "model", .stream = true, .body_hash = 1},
                     {.generation = 5,
                      .request_hash = 1,
                      .owner = "127.0.0.1:1",
                      .copy_holder = "127.0.0.1:2",
                      .engine = "127.0.0.1:3",
                      .attempt = 1,
                      .position = position},
                     responder);
    return responder;
  }

  std::vector<StreamRecoveryHooks::SnapshotCallback> claims;
  std::vector<StreamRecoveryHooks::SnapshotCallback> releases;
  /// The copies that were opened.
  std::vector<StreamCopyInfo> copies;

 private:
  StreamEnvironment MakeEnvironment() {
    StreamEnvironment environment;
    environment.loop = &m_loop;
    environment.client = &m_client;
    environment.metrics = &m_metrics;
    environment.random = [] { return uint64_t{1}; };
    environment.self = "127.0.0.1:9";
    environment.choose_engine = [](const EngineQuery&, EngineRefusal*) {
      return std::optional<EngineChoice>();
    };
    environment.adopt_engine = [](std::string_view) {
      return std::optional<EngineChoice>();
    };
    environment.on_engine_end = [](EngineTicket, EndOutcome) {};
    environment.streams_on = [](EngineTicket) { return uint32_t{0}; };
    environment.on_stream_opened = [](std::string_view) {};
    environment.on_stream_closed = [](std::string_view) {};
    environment.open_copy = [this](const StreamCopyInfo& info,
                                   const StreamTokenList&) {
      copies.push_back(info);
      return true;
    };
    environment.update_copy = [](const StreamCopyInfo&) {};
    environment.abandon_copy = [](uint64_t) {};
    environment.end_copy = [](uint64_t) {};
    environment.copy_holder = [](uint64_t) { return std::string(); };
    return environment;
  }

  StreamRecoveryHooks MakeRecovery() {
    return {
        .claim_copy =
            [this](const StreamCursor&,
                   StreamRecoveryHooks::SnapshotCallback callback) {
              claims.push_back(std::move(callback));
            },
        .release_owner =
            [this](const StreamCursor&,
                   StreamRecoveryHooks::SnapshotCallback callback) {
              releases.push_back(std::move(callback));
            },
        .describe_engine =
            [](std::string_view) { return std::optional<StreamBinding>(); }};
  }

  EventLoop m_loop;
  HttpClient m_client{&m_loop};
  MetricRegistry m_metrics;
  StreamService m_service{MakeEnvironment(), MakeRecovery()};
};

StreamSnapshot Snapshot(uint32_t attempt) {
  return {.attempt = attempt,
          .version = "v1",
          .engine = "127.0.0.1:3",
          .copy_holder = "127.0.0.1:2",
          .tokens = {"a", "b", "c"}};
}

// Guards against a resumed stream whose copies the holder refuses as stale.
TEST_CASE("a resumed stream uses the attempt number that the holder issued") {
  Fixture fixture;
  fixture.Resume(2);
  fixture.claims.at(0)(Snapshot(7));
  REQUIRE(fixture.copies.size() == 1);
  CHECK(fixture.copies[0].attempt == 7);
}

// The holder may know the attempt number of a stream without its tokens.
TEST_CASE("an attempt number without tokens is used as well") {
  Fixture fixture;
  fixture.Resume(2);
  fixture.claims.at(0)(StreamSnapshot{.attempt = 9});
  fixture.releases.at(0)(Snapshot(3));
  REQUIRE(fixture.copies.size() == 1);
  CHECK(fixture.copies[0].attempt == 9);
}

// Guards against a caller that gets no answer because its stream is already
// open here, without the position that it asks for.
TEST_CASE("a second reconnect at an unavailable position is refused") {
  Fixture fixture;
  const auto first = fixture.Resume(2);
  const auto second = fixture.Resume(9);
  fixture.claims.at(0)(Snapshot(7));
  CHECK(second->status() == 0);
  fixture.claims.at(1)(std::nullopt);
  fixture.releases.at(1)(std::nullopt);
  CHECK(second->status() >= 400);
}

}  // namespace
}  // namespace bramleybank
