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

}  // namespace
}  // namespace bramleybank::testing
