// Guards against configuration requests that the platform does not understand,
// and against a failed or malformed answer that is treated as an empty log.
#include <doctest/doctest.h>

#include <optional>

#include "event_loop.h"
#include "http_client.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "platform_config_source.h"
#include "process_fixture.h"

namespace bramleybank {
namespace {

/// A platform that answers each request with `status` and `body`, and a client
/// of it.
struct FakePlatform {
  FakePlatform() : server(&loop, {}), client(&loop) {
    const auto port =
        server.Start(testing::LoopbackIp(1), 0,
                     [this](const HttpRequest& got,
                            const std::shared_ptr<HttpResponder>& responder) {
                       request = got;
                       responder->Respond(status, {}, body);
                     });
    REQUIRE(port);
    source.emplace(&client, "http://" + testing::LoopbackIp(1) + ":" +
                                std::to_string(*port));
  }

  std::optional<std::vector<ConfigLogRow>> Scan() {
    bool done = false;
    std::optional<std::vector<ConfigLogRow>> rows;
    source->ScanLog(7, 500, [&](const auto& answer) {
      rows = answer;
      done = true;
    });
    Wait(&done);
    return rows;
  }

  void Wait(const bool* done) {
    testing::WaitUntil("an answer", [&] {
      loop.RunOnce(std::chrono::milliseconds(50));
      return *done;
    });
  }

  EventLoop loop;
  HttpServer server;
  HttpClient client;
  std::optional<PlatformConfigSource> source;
  HttpRequest request;
  int status = 200;
  std::string body;
};

TEST_CASE("a scan reads the rows of the log") {
  FakePlatform platform;
  platform.body = R"({"rows":[{"key":"config/log/00000000000000000008",)"
                  R"("value":"{}","version":1}]})";
  CHECK(platform.Scan() == std::vector<ConfigLogRow>{{8, "{}"}});
  CHECK(platform.request.path == "/table-scan");
  CHECK(platform.request.Query("limit") == "500");
  platform.body = R"({"rows":[]})";
  CHECK(platform.Scan() == std::vector<ConfigLogRow>{});
}

TEST_CASE("a failed or malformed scan does not return an empty log") {
  FakePlatform platform;
  for (const char* bad :
       {"", "{}", R"({"rows":[{"key":"other/1","value":"{}"}]})",
        R"({"rows":[{"key":"config/log/00000000000000000008"}]})"}) {
    platform.body = bad;
    CHECK_FALSE(platform.Scan());
  }
  platform.body = R"({"rows":[]})";
  platform.status = 503;
  CHECK_FALSE(platform.Scan());
}

TEST_CASE("the snapshot object is read and written") {
  FakePlatform platform;
  const auto read = [&] {
    bool done = false;
    auto result = SnapshotReadStatus::kUnavailable;
    platform.source->ReadSnapshot([&](SnapshotReadStatus status, const auto&) {
      result = status;
      done = true;
    });
    platform.Wait(&done);
    return result;
  };
  CHECK(read() == SnapshotReadStatus::kFound);
  CHECK(platform.request.path == "/object/config/snapshot");
  platform.status = 404;
  CHECK(read() == SnapshotReadStatus::kNotFound);
  platform.status = 500;
  CHECK(read() == SnapshotReadStatus::kUnavailable);

  platform.status = 200;
  bool done = false;
  bool written = false;
  platform.source->WriteSnapshot("{\"number\":1}", [&](bool result) {
    written = result;
    done = true;
  });
  platform.Wait(&done);
  CHECK(written);
  CHECK(platform.request.method == "PUT");
  CHECK(platform.request.body == "{\"number\":1}");
}

}  // namespace
}  // namespace bramleybank
