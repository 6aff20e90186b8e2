// Guards against a second run of a non-idempotent call that goes through real
// daemons. It can arise when two daemons receive the same key, or when a daemon
// is killed, is stopped or has no platform. The runs are counted with GET /runs
// of the service stand-ins.
#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "process_deployment.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

constexpr int kServices = 3;

DeploymentOptions CallOptions() {
  DeploymentOptions options;
  options.services = {{"desk", {"POST /bookings"}}};
  return options;
}

HttpAnswer Book(const Deployment& deployment,
                int daemon,
                const std::string& key,
                const std::string& body = "pan") {
  return Send("POST", deployment.caller_url(daemon) + "/svc/desk/bookings",
              {{"Idempotency-Key", key}, {"X-Customer", "household-7"}}, body);
}

std::future<HttpAnswer> BookAsync(const Deployment& deployment,
                                  int daemon,
                                  const std::string& key) {
  return std::async(std::launch::async, [&deployment, daemon, key] {
    return Book(deployment, daemon, key, key);
  });
}

/// @returns the number of runs with this body on all endpoints of the service.
int CountRuns(const Deployment& deployment, const std::string& body) {
  int count = 0;
  for (int i = 0; i < kServices; ++i) {
    const HttpAnswer answer = Send("GET", deployment.service_url(i) + "/runs");
    REQUIRE(answer.status == 200);
    const json record = json::parse(answer.body);
    for (const json& run : record.at("runs")) {
      count += run.at("body") == body ? 1 : 0;
    }
  }
  return count;
}

void SetServices(const Deployment& deployment, const std::string& control) {
  for (int i = 0; i < kServices; ++i) {
    Deployment::Control(deployment.service_url(i), control);
  }
}

void ControlPlatform(const Deployment& deployment, const std::string& control) {
  // The control port answers while the platform refuses connections.
  std::string url = deployment.platform_url();
  url.back() = '1';
  Deployment::Control(url, control);
}

bool IsReplay(const HttpAnswer& answer) {
  return FindHeader(answer.headers, "Idempotency-Replayed") == "true";
}

void CheckRefusal(const HttpAnswer& answer,
                  const std::string& name,
                  const std::string& outcome) {
  CAPTURE(answer.status);
  CAPTURE(answer.body);
  REQUIRE(answer.status >= 400);
  const json error = json::parse(answer.body).at("error");
  CHECK(error.at("name") == name);
  CHECK(error.at("outcome") == outcome);
}

TEST_CASE("one key sent to two daemons at once runs once") {
  Deployment deployment(CallOptions());
  std::mt19937 random(20261204);
  int answered_rounds = 0;
  for (int round = 0; round < 30; ++round) {
    const std::string key = "round" + std::to_string(round);
    CAPTURE(key);
    const int first = static_cast<int>(random() % 3);
    const int second = static_cast<int>((first + 1 + random() % 2) % 3);
    auto one = BookAsync(deployment, first, key);
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 4000));
    auto two = BookAsync(deployment, second, key);
    const HttpAnswer answers[] = {one.get(), two.get()};
    const int runs = CountRuns(deployment, key);
    CHECK(runs <= 1);
    // On a busy machine a claim can exceed its time limit and be given up. The
    // outcome in the refusal must still be correct.
    int successes = 0;
    for (const HttpAnswer& answer : answers) {
      CAPTURE(answer.body);
      if (answer.status == 201) {
        ++successes;
        CHECK(runs == 1);
      } else {
        CHECK(answer.body.find("\"outcome\"") != std::string::npos);
      }
    }
    if (successes == 2) {
      ++answered_rounds;
      CHECK(answers[0].body == answers[1].body);
      CHECK(IsReplay(answers[0]) != IsReplay(answers[1]));
    }
  }
  CHECK(answered_rounds > 0);
}

TEST_CASE("a call whose daemon was killed after dispatch never runs again") {
  Deployment deployment(CallOptions());
  SetServices(deployment, R"({"delay_before_answer_ms":3600000})");
  auto lost = BookAsync(deployment, 0, "k1");
  WaitUntil("the run", [&] { return CountRuns(deployment, "k1") == 1; });
  deployment.daemon(0).Kill();
  CHECK(lost.get().status == 0);
  SetServices(deployment, R"({"clear":true})");
  deployment.StartDaemon(0);
  deployment.WaitDaemonReady(0);
  // Each daemon waits up to kCallWaitTimeout for the killed claimant before it
  // answers.
  std::vector<std::future<HttpAnswer>> answers;
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    answers.push_back(BookAsync(deployment, i, "k1"));
  }
  for (auto& answer : answers) {
    CheckRefusal(answer.get(), "outcome_unknown", "unknown");
  }
  CHECK(CountRuns(deployment, "k1") == 1);
}

TEST_CASE("platform down: calls are refused and have not run") {
  Deployment deployment(CallOptions());
  ControlPlatform(deployment, R"({"down":"refuse"})");
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    const HttpAnswer answer = Book(deployment, i, "k1");
    CAPTURE(answer.body);
    REQUIRE(answer.status == 503);
    CHECK(json::parse(answer.body).at("error").at("outcome") == "not_run");
  }
  CHECK(CountRuns(deployment, "pan") == 0);
  // The key can still be used.
  ControlPlatform(deployment, R"({"clear":true})");
  WaitUntil("the call to be accepted",
            [&] { return Book(deployment, 1, "k1").status == 201; });
  CHECK(CountRuns(deployment, "pan") == 1);
}

TEST_CASE("a finished call is replayed, and its key refuses another body") {
  Deployment deployment(CallOptions());
  const HttpAnswer first = Book(deployment, 0, "k1");
  REQUIRE(first.status == 201);
  CHECK_FALSE(IsReplay(first));
  for (const int daemon : {0, 1, 2}) {
    HttpAnswer again;
    // The result may be recorded only after the answer was sent.
    WaitUntil("the replay", [&] {
      again = Book(deployment, daemon, "k1");
      return again.status == 201;
    });
    CHECK(again.body == first.body);
    CHECK(IsReplay(again));
    CheckRefusal(Book(deployment, daemon, "k1", "lid"), "key_reuse", "not_run");
  }
  CHECK(CountRuns(deployment, "pan") == 1);
  CHECK(CountRuns(deployment, "lid") == 0);
}

TEST_CASE("a planned stop lets an open call finish") {
  Deployment deployment(CallOptions());
  SetServices(deployment, R"({"delay_before_answer_ms":2000})");
  auto slow = BookAsync(deployment, 0, "k1");
  WaitUntil("the run", [&] { return CountRuns(deployment, "k1") == 1; });
  deployment.daemon(0).Terminate();
  WaitUntil("readiness to fail", [&] {
    return Send("GET", deployment.operator_url(0) + "/readyz").status != 200;
  });
  const HttpAnswer answer = slow.get();
  CAPTURE(answer.body);
  CHECK(answer.status == 201);
  CHECK(deployment.daemon(0).WaitExit() == 0);
  SetServices(deployment, R"({"clear":true})");
  const HttpAnswer replay = Book(deployment, 1, "k1", "k1");
  CHECK(replay.body == answer.body);
  CHECK(IsReplay(replay));
  CHECK(CountRuns(deployment, "k1") == 1);
}

}  // namespace
}  // namespace bramleybank::testing
