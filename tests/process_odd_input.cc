// Guards against real daemons that one odd message ends, and against gateways
// that stop following the store because of odd rows of other writers.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "http_types.h"
#include "member_message.h"
#include "process_deployment.h"
#include "stream_cursor.h"
#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

constexpr char kGood[] = R"({"model":"writer","prompt":"p","max_tokens":3})";

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

void CheckServes(Deployment& deployment) {
  CHECK(deployment.daemon(0).is_running());
  CHECK(Send("POST", deployment.caller_url(0) + "/v1/completions", {}, kGood)
            .status == 200);
}

TEST_CASE("a deeply nested request is refused and ends no daemon") {
  Deployment deployment({.domains = 1});
  const std::map<std::string, std::string> bodies = {
      {"/v1/chat/completions",
       R"({"model":"none","messages":)" + Nested(100'000) + "}"},
      {"/v1/completions", Nested(500'000)}};
  for (const auto& [path, body] : bodies) {
    CHECK(Send("POST", deployment.caller_url(0) + path, {}, body).status ==
          400);
    CHECK(Send("POST", deployment.operator_url(0) + "/config/changes", {}, body)
              .status == 400);
  }
  CheckServes(deployment);
}

// The engine cannot be reached, so the stream's attempts are counted up from
// the number in the id, which must not overflow.
TEST_CASE("a forged event id is refused and ends no daemon") {
  Deployment deployment({.domains = 1});
  const std::string body =
      R"({"model":"writer","prompt":"p","max_tokens":3,"stream":true})";
  StreamCursor cursor{.generation = 77,
                      .request_hash = static_cast<uint32_t>(
                          XXH3_64bits(body.data(), body.size())),
                      .owner = LoopbackIp(10) + ":7103",
                      .copy_holder = {},
                      .engine = LoopbackIp(99) + ":1",
                      .attempt = 4294967294U,
                      .position = 0};
  for (; cursor.attempt != 0; ++cursor.attempt) {
    CHECK(Send("POST", deployment.caller_url(0) + "/v1/completions",
               {{"Last-Event-ID", FormatStreamCursor(cursor)}}, body)
              .status == 400);
  }
  CheckServes(deployment);
}

void SendDatagram(const std::string& ip, const std::string& bytes) {
  const int fd = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(7103);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  CHECK(sendto(fd, bytes.data(), bytes.size(), 0,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == static_cast<ssize_t>(bytes.size()));
  close(fd);
}

TEST_CASE("a member whose names are not text ends no daemon") {
  Deployment deployment({.domains = 1});
  const std::string cluster = "bramleybank";
  MemberHeader header;
  header.cluster = XXH3_64bits(cluster.data(), cluster.size());
  header.from = {.peer = LoopbackIp(90) + ":7103",
                 .start_number = 1,
                 .region = "r\xff",
                 .failure_domain = "d\xff\xfe",
                 .state = MemberState::kAlive};
  MemberMessageWriter writer(header, {}, 1000);
  SendDatagram(LoopbackIp(10), writer.Finish());
  const std::string url = deployment.operator_url(0);
  WaitUntil("the member to be known and lost", [&] {
    CHECK(Send("GET", url + "/config/confirmations?number=99").status == 200);
    CHECK(Send("GET", url + "/status").status == 200);
    return deployment.Metric(0, "bramleybank_members_dead") >= 1;
  });
  const HttpAnswer status = Send("GET", url + "/status");
  CHECK(status.status == 200);
  CHECK(json::parse(status.body).at("unreachable_domains").size() == 1);
  CheckServes(deployment);
}

/// Entries of `service` that name no server to use, and odd rows of the tables
/// that gateways read.
void PutOddRows(const WireDeployment& site,
                const std::string& service,
                const std::string& mark) {
  const json good = {{"service", service},   {"address", "127.0.0.1:9"},
                     {"zone", "domain-0"},   {"version", "v1"},
                     {"slots", 8},           {"state", "ready"},
                     {"cold_left_ms", 0},    {"call_seq", 0},
                     {"born", 1700000000000}};
  const std::string deep = Nested(32'000);
  std::vector<std::string> values = {deep,
                                     std::string(65'000, '['),
                                     "{\"service\":" + deep + "}",
                                     "\xff\xfe",
                                     "",
                                     "null",
                                     "7",
                                     "\"text\"",
                                     "{}"};
  const std::map<std::string, std::vector<std::string>> fields = {
      {"slots", {"1e400", "1e300", "-1", "0", "\"8\"", deep}},
      {"address",
       {"\"127.0.0.1:0\"", "\"127.0.0.1:-1\"", "\"127.0.0.1:65536\"",
        "\"127.0.0.1:70000\"", "\"127.0.0.1:12345678901234567890\"",
        "\"127.0.0.1\"", "\"\"", "9", "\"127.0.0.1:9\\r\\nX: y\""}},
      {"born", {"-1", "1e300", "\"1\""}},
      {"cold_left_ms", {"1e300", "-1", "[]"}},
      {"call_seq", {"1e300", "{}"}},
      {"state", {"\"odd\"", "1"}},
      {"zone", {"3"}}};
  for (const auto& [name, texts] : fields) {
    for (const std::string& text : texts) {
      json entry = good;
      entry.erase(name);
      std::string value = entry.dump();
      value.insert(value.size() - 1, ",\"" + name + "\":" + text);
      values.push_back(value);
    }
  }
  for (size_t i = 0; i < values.size(); ++i) {
    site.PutRow("servers", mark + std::to_string(i), values[i]);
  }
  site.PutRow("servers", mark + " \r\nX: y", good.dump());
  for (size_t i = 0; i < 5; ++i) {
    site.PutRow("op", mark + std::to_string(i), values[i]);
    site.PutRow("op", "rollout/" + mark + std::to_string(i), values[i]);
    site.PutRow("gateways", mark + std::to_string(i), values[i]);
    site.PutRow("rollouts", "apps/" + mark + std::to_string(i), values[i]);
    site.PutRow("prompts", mark + std::to_string(i), values[i]);
  }
  site.PutRow("op", "rollout/apps",
              R"({"service":"apps","to":7,"duration_s":1e400})");
}

/// Checks that every gateway serves the route that only this configuration has,
/// which the odd rows before it must not prevent.
void CheckFollowed(WireDeployment& site, uint64_t version) {
  site.PublishConfig(version, "key-1", WireDeployment::ProbeRoute(version));
  int calls = 0;
  for (int i = 0; i < site.gateway_count(); ++i) {
    WaitUntil("the configuration to be in force", [&] {
      const std::string id = "probe-" + std::to_string(version) + "-" +
                             std::to_string(i) + "-" + std::to_string(++calls);
      return site.Call(i, "GET", WireDeployment::ProbeRoute(version) + "x", id)
                 .status == 200;
    });
    CHECK(site.gateway(i).is_running());
  }
}

/// Checks that every gateway uses servers that start now.
void CheckNewServersUsed(WireDeployment& site, const std::string& version) {
  const int added = site.AddApplications(version);
  int calls = 0;
  for (int i = 0; i < site.gateway_count(); ++i) {
    WaitUntil("a new server to be used", [&] {
      const std::string id = "new-" + version + "-" + std::to_string(i) + "-" +
                             std::to_string(++calls);
      CHECK(site.Call(i, "POST", "/calls/x", id).status == 200);
      bool is_new = false;
      for (int server = added; server < site.application_count(); ++server) {
        is_new = is_new || site.HasRunAtApplication(server, id);
      }
      return is_new;
    });
  }
}

void CheckOddRows(const WireDeploymentOptions& options) {
  WireDeployment site(options);
  PutOddRows(site, "apps", "odd");
  CheckFollowed(site, 5);
  CheckNewServersUsed(site, "v1");
  for (const std::string service : {"apps", "engines"}) {
    PutOddRows(site, service, "later-" + service);
  }
  CheckFollowed(site, 6);
  const auto stream = site.Stream(0, "stream-1");
  site.CheckStreamComplete(*stream, "stream-1", 40);
  // A gateway that starts reads all of them.
  site.StartGateway(0);
  site.WaitServing(0);
  CheckFollowed(site, 7);
}

TEST_CASE("tables with odd rows are followed by gateways at the store") {
  CheckOddRows({});
}

TEST_CASE("tables with odd rows are followed by gateways behind relays") {
  CheckOddRows({.domains = 1, .gateways_per_domain = 9});
}

}  // namespace
}  // namespace bramleybank::testing
