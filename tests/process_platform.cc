// Guards the protocol between PlatformHttpTable and the platform: batching,
// conflicts, and the reported outcome of a write whose answer is lost.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "event_loop.h"
#include "http_client.h"
#include "platform_http_objects.h"
#include "platform_http_table.h"
#include "process_fixture.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;
using enum TableWriteStatus;

std::string Url(int port, const std::string& path) {
  return "http://" + LoopbackIp(1) + ":" + std::to_string(port) + path;
}

/// The platform stand-in as a child process, and a client of it.
struct Fixture {
  explicit Fixture(const std::string& limits = {})
      : platform("standin_platform",
                 "[listen]\nip = " + LoopbackIp(1) +
                     "\nport = 7200\ncontrol_port = 7201\n" + limits) {
    WaitReady(Url(7201, "/stats"));
  }

  void Wait(size_t results) {
    while (writes.size() < results) {
      loop.RunOnce(std::chrono::milliseconds(100));
    }
  }
  void Write(const std::string& key, const std::string& value, uint64_t from) {
    table.Write(key, value, from, [this](const TableWriteResult& result) {
      writes.push_back(result);
    });
  }
  TableReadResult Read(const std::string& key) {
    std::optional<TableReadResult> got;
    table.Read(key, [&](const TableReadResult& result) { got = result; });
    while (!got) {
      loop.RunOnce(std::chrono::milliseconds(100));
    }
    return *got;
  }
  static json Stats() {
    return json::parse(Send("GET", Url(7201, "/stats")).body);
  }
  static void Control(const json& faults) {
    REQUIRE(Send("POST", Url(7201, "/control"), {}, faults.dump()).status ==
            200);
  }

  ChildProcess platform;
  EventLoop loop;
  HttpClient client{&loop};
  PlatformHttpTable table{&loop, &client, Url(7200, "")};
  std::vector<TableWriteResult> writes;
};

TEST_CASE("concurrent writes share a request but fail separately") {
  Fixture f;
  f.Write("a/b %", "one", kNoRow);
  f.Write("a/b %", "two", kNoRow);
  f.Write("a/b %", "three", 1);
  f.Wait(3);
  CHECK(f.writes[0] == TableWriteResult{kWritten, 1});
  CHECK(f.writes[1].status == kConflict);
  CHECK(f.writes[2] == TableWriteResult{kWritten, 2});
  CHECK(Fixture::Stats().at("write_requests") == 1);
  CHECK(f.Read("a/b %").row == TableRow{.value = "three", .version = 2});
  CHECK(f.Read("a").status == TableReadStatus::kNotFound);
}

TEST_CASE("a write is reported as not written only if that is certain") {
  Fixture f;
  // Leaves an idle connection that the next write reuses. libcurl must not
  // repeat a write whose reused connection was closed.
  CHECK(f.Read("k").status == TableReadStatus::kNotFound);
  Fixture::Control({{"lose_answers", 1}, {"lose_by_close", true}});
  f.Write("k", "one", kNoRow);
  f.Wait(1);
  CHECK(f.writes[0].status == kUnknown);
  CHECK(f.Read("k").row.value == "one");
  Fixture::Control({{"down", "silent"}});
  f.Write("k", "two", 1);
  f.Wait(2);
  CHECK(f.writes[1].status == kUnknown);
  CHECK(f.Read("k").status == TableReadStatus::kUnavailable);
  Fixture::Control({{"down", "refuse"}});
  f.Write("k", "two", 1);
  f.Wait(3);
  CHECK(f.writes[2].status == kNotWritten);
}

TEST_CASE("a full platform queue refuses a write without executing it") {
  Fixture f("[limits]\nwrites_per_s = 0.1\nmax_queue = 0\n");
  f.Write("k", "one", kNoRow);
  f.Wait(1);
  f.Write("k", "two", 1);
  f.Wait(2);
  CHECK(f.writes[0].status == kWritten);
  CHECK(f.writes[1].status == kNotWritten);
  CHECK(f.Read("k").row.value == "one");
  CHECK(Fixture::Stats().at("refused") == 1);
}

TEST_CASE("single writes, atomic batches, scans, weights and the VM list") {
  const Fixture f("[vms]\nlag_ms = 0\n");
  const auto put = [](const std::string& key, const std::string& version) {
    return Send("PUT", Url(7200, "/table/" + key),
                {{"X-Expected-Version", version}}, key)
        .status;
  };
  CHECK(put("r%2F1", "0") == 200);
  CHECK(put("r%2F1", "0") == 412);
  CHECK(put("r%2F2", "0") == 200);
  CHECK(put("s", "0") == 200);
  const json atomic = {
      {"atomic", true},
      {"writes",
       {{{"key", "new"}, {"value", "x"}, {"expected_version", 0}},
        {{"key", "s"}, {"value", "x"}, {"expected_version", 7}}}}};
  Send("POST", Url(7200, "/table-batch"), {}, atomic.dump());
  CHECK(Send("GET", Url(7200, "/table/new")).status == 404);
  const auto scan = [](const std::string& query) {
    return json::parse(Send("GET", Url(7200, "/table-scan?" + query)).body)
        .at("rows");
  };
  CHECK(scan("prefix=r%2F").size() == 2);
  CHECK(scan("prefix=r%2F&limit=1").at(0).at("key") == "r/1");
  CHECK(scan("prefix=r%2F&after=r%2F1").at(0).at("key") == "r/2");
  CHECK(Send("GET", Url(7200, "/weights/w?bytes=1000")).body.size() == 1000);
  Fixture::Control({{"vms", {{{"peer", "p"}, {"state", "live"}}}}});
  WaitUntil("the VM list", [] {
    return json::parse(Send("GET", Url(7200, "/vms")).body).at("vms").size() ==
           1;
  });
}

}  // namespace
}  // namespace bramleybank::testing
