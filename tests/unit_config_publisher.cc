// Guards against changes that are accepted twice, lost, or overwritten by a
// second operator. This can happen when writes or answers of the platform are
// lost, or when two daemons write the same row.
#include <doctest/doctest.h>

#include "config_fake_platform.h"
#include "config_log.h"
#include "config_publisher.h"

namespace bramleybank {
namespace {

using testing::AddCustomer;
using testing::ConfigFakePlatform;

/// A publisher with its own log, on a shared platform.
struct Daemon {
  explicit Daemon(ConfigFakePlatform* shared)
      : platform(shared),
        publisher(
            &log,
            shared,
            [shared](const std::string& text,
                     const std::function<void(bool)>& callback) {
              const bool written = !shared->down;
              shared->snapshot = written ? text : shared->snapshot;
              callback(written);
            },
            [this] { ++accepted; }) {
    log.Load({});
  }

  PublishResult Publish(const ConfigChange& change) {
    PublishResult result;
    int calls = 0;
    publisher.Publish(change, [&](const PublishResult& answer) {
      result = answer;
      ++calls;
    });
    platform->Deliver();
    REQUIRE(calls == 1);
    return result;
  }

  ConfigFakePlatform* platform;
  ConfigLog log;
  int accepted = 0;
  ConfigPublisher publisher;
};

TEST_CASE("an accepted change becomes the next row of the log") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  CHECK(daemon.Publish(AddCustomer("a", "x")) ==
        PublishResult{PublishStatus::kAccepted, 1, {}});
  CHECK(platform.rows.contains(ConfigLogKey(1)));
  CHECK(daemon.log.number() == 1);
  CHECK(daemon.accepted == 1);
}

TEST_CASE("one of two concurrent publishers reports a conflict") {
  ConfigFakePlatform platform;
  Daemon first(&platform);
  Daemon second(&platform);
  PublishResult results[2];
  first.publisher.Publish(AddCustomer("a", "x"),
                          [&](const auto& result) { results[0] = result; });
  second.publisher.Publish(AddCustomer("b", "y"),
                           [&](const auto& result) { results[1] = result; });
  platform.Deliver();
  CHECK(results[0].status == PublishStatus::kAccepted);
  CHECK(results[1].status == PublishStatus::kConflict);
  CHECK(results[1].reason.detail.find("id x") != std::string::npos);
  // The second publisher has applied the first change, so repeating its own
  // change is accepted.
  CHECK(second.log.number() == 1);
  CHECK(second.Publish(AddCustomer("b", "y")).number == 2);
}

TEST_CASE("after a lost answer the row is read back, not written twice") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  platform.lose_answers = 1;
  CHECK(daemon.Publish(AddCustomer("a", "x")) ==
        PublishResult{PublishStatus::kAccepted, 1, {}});
  CHECK(platform.writes == 1);
  // The operator repeats the request.
  CHECK(daemon.Publish(AddCustomer("a", "x")) ==
        PublishResult{PublishStatus::kAccepted, 1, {}});
  CHECK(platform.rows.size() == 1);
}

TEST_CASE("a lost write is retried with the same row") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  platform.lose_writes = 2;
  CHECK(daemon.Publish(AddCustomer("a", "x")).status ==
        PublishStatus::kAccepted);
  CHECK(platform.rows.size() == 1);
}

TEST_CASE("repeating a change with an unknown outcome is idempotent") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  platform.lose_answers = 9;
  platform.unreadable = true;
  CHECK(daemon.Publish(AddCustomer("a", "x")).status ==
        PublishStatus::kUnknown);
  platform.lose_answers = 0;
  // The row is still unreadable, and the conflicting row may be the change
  // itself.
  CHECK(daemon.Publish(AddCustomer("a", "x")).status ==
        PublishStatus::kUnknown);
  platform.unreadable = false;
  CHECK(daemon.Publish(AddCustomer("a", "x")) ==
        PublishResult{PublishStatus::kAccepted, 1, {}});
  // The operator repeats the change on another daemon that has not read the row
  // yet.
  Daemon other(&platform);
  CHECK(other.Publish(AddCustomer("a", "x")).status ==
        PublishStatus::kAccepted);
  CHECK(platform.rows.size() == 1);
}

TEST_CASE("a change that is invalid or cannot be written is refused") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  daemon.Publish(AddCustomer("a", "x"));
  CHECK(daemon.Publish(AddCustomer("a", "y")).reason.code ==
        ResultCode::kBadConfiguration);
  CHECK(platform.writes == 1);
  platform.down = true;
  CHECK(daemon.Publish(AddCustomer("b", "z")).reason.code ==
        ResultCode::kPlatformDown);
  CHECK(daemon.log.number() == 1);
}

TEST_CASE("concurrently published changes get numbers in order") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  std::vector<uint64_t> numbers;
  for (const char* name : {"a", "b", "c"}) {
    daemon.publisher.Publish(AddCustomer(name, name), [&](const auto& result) {
      numbers.push_back(result.number);
    });
  }
  platform.Deliver();
  CHECK(numbers == std::vector<uint64_t>{1, 2, 3});
}

TEST_CASE("every 1,000th change writes the snapshot object") {
  ConfigFakePlatform platform;
  Daemon daemon(&platform);
  daemon.log.Load(
      {.number = 998, .endpoints = {}, .services = {}, .customers = {}});
  daemon.Publish(AddCustomer("a", "a"));
  CHECK(platform.snapshot.empty());
  daemon.Publish(AddCustomer("b", "b"));
  Reason error;
  CHECK(ParseConfigSnapshot(platform.snapshot, &error)->number == 1000);
}

}  // namespace
}  // namespace bramleybank
