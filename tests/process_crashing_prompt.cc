// Real gateways in front of engines that crash on one part of a prompt.
#include <doctest/doctest.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kBadPrefix[] = "bad-";
// The users' bounds: contact_ms after the fifth crash, and requests with the
// part that may still reach servers then.
constexpr milliseconds kContactTime{4000};
constexpr int kCrashesBeforeBound = 5;
constexpr int kMaxLateRequests = 3;
constexpr milliseconds kLoadTime{16000};
constexpr milliseconds kRequestInterval{200};

/// @returns how many attempts of requests with the bad part have reached
/// engines. An engine may be writing the last line, which is counted once it
/// ends.
int BadRuns(const WireDeployment& site) {
  std::ifstream file(site.record_path());
  int runs = 0;
  for (std::string line; std::getline(file, line) && !file.eof();) {
    const auto id = nlohmann::json::parse(line).at("request_id");
    runs += id.get<std::string>().starts_with(kBadPrefix) ? 1 : 0;
  }
  return runs;
}

/// Waits until every line of the record is whole.
void WaitForWholeRecord(const WireDeployment& site) {
  WaitUntil("the end of the last line of the record", [&] {
    std::ifstream file(site.record_path(), std::ios::ate);
    if (file.tellg() <= 0) {
      return true;
    }
    file.seekg(-1, std::ios::end);
    return file.get() == '\n';
  });
}

/// Requests of one kind, each through the next gateway.
struct Requests {
  void Send(const WireDeployment& site, int number) {
    const std::string n = std::to_string(number);
    streams.push_back(site.Stream(number % site.gateway_count(), name + n,
                                  parts + ",own-" + n + ":" + "90"));
  }
  int Begun() const {
    int begun = 0;
    for (const auto& stream : streams) {
      stream->WaitForEnd();
      begun += stream->Events().empty() ? 0 : 1;
    }
    return begun;
  }

  std::string name;
  std::string parts;
  std::vector<std::unique_ptr<StreamReader>> streams;
};

// Guards against a prompt part that crashes one endpoint after the other, and
// against a block that also hits sound requests of the same customer or with
// the same first part.
TEST_CASE("a prompt part that crashes engines is kept away from them") {
  const WireDeployment site({.domains = 3,
                             .gateways_per_domain = 2,
                             .engines_per_domain = 3,
                             .applications_per_domain = 1,
                             .engine_settings =
                                 "event_ms = 20\nevents = 5\nwork_ms = 300\n"
                                 "slots = 64\ncrash_part = deadly\n"
                                 "restart_ms = 1500\n"});
  Requests bad{.name = kBadPrefix, .parts = "shared:300,deadly:200"};
  Requests same_part{.name = "same-part-", .parts = "shared:300"};
  Requests same_key{.name = "same-key-", .parts = "other:300"};
  Requests late_same_part = {.name = "late-part-", .parts = "shared:300"};
  Requests late_same_key = {.name = "late-key-", .parts = "other:300"};
  const auto start = steady_clock::now();
  std::optional<steady_clock::time_point> bound;
  std::optional<int> runs_at_bound;
  for (int i = 0; steady_clock::now() - start < kLoadTime; ++i) {
    const bool is_late = bound && steady_clock::now() >= *bound + kContactTime;
    bad.Send(site, i);
    (is_late ? late_same_part : same_part).Send(site, i + 1);
    (is_late ? late_same_key : same_key).Send(site, i + 2);
    const int runs = BadRuns(site);
    const bool is_over = steady_clock::now() - start > kLoadTime / 4;
    if (!bound && (runs >= kCrashesBeforeBound || is_over)) {
      bound = steady_clock::now() + kContactTime;
    }
    if (bound && !runs_at_bound && steady_clock::now() >= *bound) {
      runs_at_bound = runs;
    }
    std::this_thread::sleep_for(kRequestInterval);
  }
  REQUIRE(runs_at_bound);
  CHECK(bad.Begun() == 0);
  WaitForWholeRecord(site);
  CHECK(BadRuns(site) - *runs_at_bound <= kMaxLateRequests);
  for (const Requests* sound : {&late_same_part, &late_same_key}) {
    REQUIRE(sound->streams.size() > 10);
    CHECK(2 * sound->Begun() >= static_cast<int>(sound->streams.size()));
  }
  MESSAGE("attempts with the bad part: ", BadRuns(site));
}

}  // namespace
}  // namespace bramleybank::testing
