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

}  // namespace
}  // namespace bramleybank::testing
