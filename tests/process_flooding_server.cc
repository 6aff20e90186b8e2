// Guards against a server whose bytes never end: the gateway must not keep them
// all, run out of memory and end the requests of other callers with it.
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "crowd.h"
#include "flooding_server.h"
#include "raw_caller.h"
#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

constexpr int kCalls = 60;
constexpr int kStreams = 400;
constexpr int kServerHost = 90;
constexpr char kServerPort[] = ":7600";
// A gateway without load uses about 20 MB, and the settings allow 24 MB for
// others. The rest is for the fragmentation of the heap.
constexpr long kMaxMemoryKb = 64 * 1024;
constexpr char kSealed[] =
    "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Type: "
    "text/event-stream\r\n";

json Route(const char* prefix, const char* kind, const char* service) {
  return {{"name", prefix},
          {"host", "site.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout_ms", 20000},
          {"target_latency_ms", 2000},
          {"service", service},
          {"max_attempts", 2},
          {"resumable", kind[1] == 't'}};
}

/// A gateway that serves /reads/ from a sound server and all other routes from
/// the flooding one.
class FloodedDeployment {
 public:
  static WireDeploymentOptions Options() {
    WireDeploymentOptions options;
    options.domains = 1;
    options.gateway_settings = "[memory]\nbudget_mb = 24\n";
    return options;
  }

  FloodedDeployment(const std::string& start, const std::string& repeated)
      : m_site(Options()),
        m_server(LoopbackIp(kServerHost) + kServerPort, start, repeated) {
    const json engine = {
        {"slots", 900}, {"kv_capacity_tokens", 88000}, {"backups", true}};
    m_site.PutRow(
        "op", "config",
        json{{"version", 7},
             {"routes",
              {Route("/reads/", "safe", "apps"),
               Route("/ready/", "safe", "apps"),
               Route("/calls/", "unsafe", "flood"),
               Route("/streams/", "streaming", "flood")}},
             {"services",
              {{{"name", "apps"}}, {{"name", "flood"}, {"engine", engine}}}},
             {"tenants", {{{"name", "customer-1"}, {"api_keys", {"key-1"}}}}}}
            .dump());
    m_site.PutRow("servers", "flooding-1",
                  json{{"service", "flood"},
                       {"address", LoopbackIp(kServerHost) + kServerPort},
                       {"zone", "domain-0"},
                       {"version", "v1"},
                       {"slots", 900},
                       {"state", "ready"},
                       {"cold_left_ms", 0},
                       {"call_seq", 0}}
                      .dump());
    WaitUntil("the configuration and the server to be known", [&] {
      return m_site.Call(0, "GET", "/ready/x", "ready").status == 200 &&
             MetricValue(m_site.metrics_url(0), "bramleybank_endpoints") >
                 m_site.server_count();
    });
  }

  void CheckWithstands(const std::string& path, int calls) {
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < calls; ++i) {
      callers.push_back(std::make_unique<RawCaller>(m_site.caller_address(0)));
      callers.back()->Write(CrowdHead("GET", path) +
                            "Connection: close\r\n\r\n");
    }
    ChildProcess& gateway = m_site.gateway(0);
    CHECK(m_site.Call(0, "GET", "/reads/x", "beside").status == 200);
    for (const auto& caller : callers) {
      while (caller->Read(kBlockBytes)) {
      }
    }
    REQUIRE(gateway.is_running());
    CHECK(m_site.Call(0, "GET", "/reads/x", "after").status == 200);
    const long memory = PeakMemoryKb(gateway.pid());
    MESSAGE("peak memory in KB: ", memory);
    CHECK(memory < kMaxMemoryKb);
  }

 private:
  static constexpr size_t kBlockBytes = 64 * 1024;

  WireDeployment m_site;
  FloodingServer m_server;
};

void Check(const std::string& path,
           const std::string& start,
           const std::string& repeated,
           int calls = kCalls) {
  FloodedDeployment(start, repeated).CheckWithstands(path, calls);
}

TEST_CASE("a status line without end") {
  Check("/calls/x", "HTTP/1.1 200 ", "y");
}

TEST_CASE("a header without end") {
  Check("/calls/x", "HTTP/1.1 200 OK\r\nX: ", "y");
}

// Each line becomes a header with a fixed size that far exceeds its bytes.
TEST_CASE("very short headers without end") {
  Check("/calls/x", "HTTP/1.1 200 OK\r\n", "a:\r\n");
}

TEST_CASE("interim responses without end") {
  Check("/calls/x", "", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST_CASE("a body without end") {
  Check("/calls/x", std::string(kSealed) + "\r\n", "y");
}

TEST_CASE("a chunk without end") {
  Check("/calls/x",
        std::string(kSealed) +
            "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n",
        "y");
}

TEST_CASE("a chunk extension without end") {
  Check("/calls/x",
        std::string(kSealed) + "Transfer-Encoding: chunked\r\n\r\n1;", "y");
}

TEST_CASE("a trailer without end") {
  for (const char* line : {"a:\r\n", "a: yyyyyyyyyyyyyyyyyyyyyyyy\r\n"}) {
    Check("/calls/x",
          std::string(kSealed) +
              "Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n",
          line);
  }
}

TEST_CASE("an event without end") {
  Check("/streams/x", std::string(kSealed) + "\r\ndata: ", "y");
}

// The limit of one event is not reached, so that all are held at once.
TEST_CASE("long events that are never finished") {
  Check("/streams/x",
        std::string(kSealed) + "\r\ndata: " + std::string(240'000, 'y'), "",
        kStreams);
}

TEST_CASE("comments without end") {
  Check("/streams/x", std::string(kSealed) + "\r\n", ": y\n\n");
}

TEST_CASE("bytes that are no answer without end") {
  Check("/calls/x", "", "y");
  Check("/streams/x", "", "\n");
}

// KNOWN-RED.txt, entry 22.
TEST_CASE("rows of the store without end" * doctest::skip()) {
  WireDeployment site(FloodedDeployment::Options());
  site.store().Kill();
  const FloodingServer store(
      LoopbackIp(1) + ":7500",
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
      "{\"ver\":7,\"rows\":[",
      R"({"key":"k","value":"","ver":5},)");
  ChildProcess& gateway = site.gateway(0);
  for (int second = 0; second < 4; ++second) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(site.Call(0, "GET", "/reads/x", "beside-" + std::to_string(second))
              .status == 200);
  }
  REQUIRE(gateway.is_running());
  CHECK(PeakMemoryKb(gateway.pid()) < kMaxMemoryKb);
}

}  // namespace
}  // namespace bramleybank::testing
