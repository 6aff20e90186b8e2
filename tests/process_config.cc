// Guards against configuration changes that are accepted but not in force on
// every daemon, accepted twice, reported as in force too early, or reverted.
// The tests run real daemons, and pause or stop daemons or the platform.
#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "process_deployment.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

std::string AddCustomer(const std::string& name) {
  return json{{"id", "add-" + name},
              {"action", "add"},
              {"customer", {{"name", name}, {"requests_per_s", 5}}}}
      .dump();
}

uint64_t AcceptedNumber(const HttpAnswer& answer) {
  CAPTURE(answer.body);
  REQUIRE(answer.status == 200);
  return json::parse(answer.body).at("number").get<uint64_t>();
}

/// Control port of the platform stand-in; it answers even while the platform
/// refuses connections.
std::string ControlUrl(const Deployment& deployment) {
  std::string url = deployment.platform_url();
  url.back() = '1';
  return url;
}

uint64_t ConfigNumberOf(const Deployment& deployment, int daemon) {
  return static_cast<uint64_t>(
      deployment.Metric(daemon, "bramleybank_config_number"));
}

json Confirmations(const Deployment& deployment, int daemon, uint64_t number) {
  const HttpAnswer answer =
      Send("GET", deployment.operator_url(daemon) +
                      "/config/confirmations?number=" + std::to_string(number));
  CAPTURE(answer.body);
  REQUIRE(answer.status == 200);
  return json::parse(answer.body);
}

bool ContainsPeer(const json& list, const std::string& peer) {
  return std::any_of(list.begin(), list.end(), [&](const json& member) {
    return member.at("peer") == peer;
  });
}

std::string PeerAddress(const Deployment& deployment, int daemon) {
  // operator_url is http://<ip>:7102.
  const std::string url = deployment.operator_url(daemon);
  const size_t start = url.find("//") + 2;
  return url.substr(start, url.rfind(':') - start) + ":7103";
}

/// Waits until every daemon reports the number as in force and no member as
/// unreachable, and checks that each daemon has it.
void WaitInForce(const Deployment& deployment, uint64_t number) {
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    WaitUntil("a change to be in force", [&] {
      const json state = Confirmations(deployment, i, number);
      return state.at("in_force") == true && state.at("unreachable").empty();
    });
  }
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    CHECK(ConfigNumberOf(deployment, i) >= number);
  }
}

TEST_CASE("an accepted change is in force on all daemons") {
  Deployment deployment({.daemons_per_domain = 2});
  deployment.WaitForAllMembers();
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    const uint64_t number = AcceptedNumber(
        deployment.ChangeConfig(i, AddCustomer("c" + std::to_string(i))));
    CHECK(number == static_cast<uint64_t>(i) + 2);
    WaitInForce(deployment, number);
  }
}

TEST_CASE("a paused daemon is reported until it has confirmed") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  deployment.daemon(2).Pause();
  const std::string paused = PeerAddress(deployment, 2);
  const uint64_t number =
      AcceptedNumber(deployment.ChangeConfig(0, AddCustomer("c")));
  // Every answer lists the paused daemon, first as waiting, then as
  // unreachable.
  int waiting = 0;
  WaitUntil("the paused daemon to be reported as unreachable", [&] {
    const json state = Confirmations(deployment, 0, number);
    CAPTURE(state.dump());
    const bool is_waiting = ContainsPeer(state.at("waiting"), paused);
    const bool is_unreachable = ContainsPeer(state.at("unreachable"), paused);
    REQUIRE((is_waiting || is_unreachable));
    if (is_waiting) {
      ++waiting;
      REQUIRE(state.at("in_force") == false);
    }
    return is_unreachable;
  });
  CHECK(waiting > 0);
  deployment.daemon(2).Continue();
  WaitInForce(deployment, number);
}

TEST_CASE("a malformed or invalid change is refused") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  for (const std::string body :
       {R"(not json)", R"({"id":"a","action":"add"})",
        R"({"id":"","action":"add","customer":{"name":"x"}})",
        R"({"id":"b","action":"add","customer":{"name":"x","weight":-1}})",
        R"({"id":"c","action":"add","customer":{"name":1}})",
        R"({"id":"d","action":"grow","customer":{"name":"x"}})",
        R"({"id":"e","action":"remove","customer":{"name":"absent"}})"}) {
    const HttpAnswer answer = deployment.ChangeConfig(0, body);
    CAPTURE(body);
    CAPTURE(answer.body);
    CHECK(answer.status >= 400);
    CHECK(answer.status < 500);
    CHECK(answer.body.find("\"not_run\"") != std::string::npos);
  }
  // None of the refused changes was assigned a number.
  const uint64_t number =
      AcceptedNumber(deployment.ChangeConfig(1, AddCustomer("x")));
  CHECK(number == 2);
  WaitInForce(deployment, number);
}

TEST_CASE("only one of two concurrent changes gets the next number") {
  constexpr int kRounds = 25;
  Deployment deployment({});
  deployment.WaitForAllMembers();
  // Delays the platform, so that the writes of one round overlap.
  Deployment::Control(ControlUrl(deployment), R"({"delay_ms":50})");
  std::mt19937_64 random(20261204);
  std::set<uint64_t> numbers = {1};
  std::vector<std::pair<std::string, uint64_t>> accepted;
  int conflicts = 0;
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    const int first = static_cast<int>(random() % 3);
    const int second = static_cast<int>((first + 1 + random() % 2) % 3);
    const std::string name = "round" + std::to_string(round);
    const std::string bodies[] = {AddCustomer(name + "a"),
                                  AddCustomer(name + "b")};
    HttpAnswer answers[2];
    std::thread other(
        [&] { answers[1] = deployment.ChangeConfig(second, bodies[1]); });
    answers[0] = deployment.ChangeConfig(first, bodies[0]);
    other.join();
    for (int i = 0; i < 2; ++i) {
      CAPTURE(answers[i].body);
      const int daemon = i == 0 ? first : second;
      if (answers[i].status != 200) {
        ++conflicts;
        REQUIRE(answers[i].status == 409);
        CHECK(answers[i].body.find("platform_conflict") != std::string::npos);
        CHECK(answers[i].body.find("\"not_run\"") != std::string::npos);
        // The operator repeats the change, now without a concurrent one.
        answers[i] = deployment.ChangeConfig(daemon, bodies[i]);
      }
      const uint64_t number = AcceptedNumber(answers[i]);
      CHECK(numbers.insert(number).second);
      accepted.emplace_back(bodies[i], number);
    }
    WaitInForce(deployment, *numbers.rbegin());
  }
  CHECK(conflicts > 0);
  CHECK(*numbers.rbegin() == numbers.size());
  // A change that is repeated on any daemon keeps its number and does not add
  // another change.
  for (const auto& [body, number] : accepted) {
    CHECK(AcceptedNumber(deployment.ChangeConfig(static_cast<int>(random() % 3),
                                                 body)) == number);
  }
  CHECK(ConfigNumberOf(deployment, 0) == numbers.size());
}

TEST_CASE("a lost platform answer does not cause a second change") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  uint64_t expected = 1;
  for (const char* by_close : {"true", "false"}) {
    CAPTURE(by_close);
    Deployment::Control(
        ControlUrl(deployment),
        std::string(R"({"lose_answers":1,"lose_by_close":)") + by_close + "}");
    const std::string body = AddCustomer(std::string("c-") + by_close);
    ++expected;
    CHECK(AcceptedNumber(deployment.ChangeConfig(0, body)) == expected);
    WaitInForce(deployment, expected);
    CHECK(AcceptedNumber(deployment.ChangeConfig(1, body)) == expected);
    CHECK(ConfigNumberOf(deployment, 1) == expected);
  }
}

TEST_CASE("platform down: changes are not accepted, generations continue") {
  for (const char* down : {"refuse", "silent"}) {
    CAPTURE(down);
    Deployment deployment({});
    deployment.WaitForAllMembers();
    Deployment::Control(ControlUrl(deployment), json{{"down", down}}.dump());
    const std::string body = AddCustomer("c");
    const HttpAnswer answer = deployment.ChangeConfig(0, body);
    CAPTURE(answer.body);
    CHECK(answer.status == 503);
    const json error = json::parse(answer.body).at("error");
    // A write without an answer may have been carried out, so its outcome must
    // be reported as "unknown".
    const bool is_silent = std::string(down) == "silent";
    CHECK(error.at("outcome") == (is_silent ? "unknown" : "not_run"));
    for (int i = 0; i < deployment.daemon_count(); ++i) {
      const CallerResult result =
          RunCaller(deployment, {.max_tokens = 5, .first_daemon = i});
      CHECK(result.done);
      CHECK(result.faults == "");
      CHECK(ConfigNumberOf(deployment, i) == 1);
    }
    Deployment::Control(ControlUrl(deployment), R"({"clear":true})");
    HttpAnswer repeated;
    WaitUntil("the platform to accept changes again", [&] {
      repeated = deployment.ChangeConfig(0, body);
      return repeated.status == 200;
    });
    CHECK(AcceptedNumber(repeated) == 2);
    WaitInForce(deployment, 2);
  }
}

TEST_CASE("platform down: a restarted daemon loads from its peers") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  const uint64_t number =
      AcceptedNumber(deployment.ChangeConfig(0, AddCustomer("c")));
  WaitInForce(deployment, number);
  Deployment::Control(ControlUrl(deployment), R"({"down":"refuse"})");
  deployment.daemon(2).Kill();
  deployment.StartDaemon(2);
  // The metric is 0 while the daemon has no configuration.
  WaitUntil("the daemon to load the configuration of its peers", [&] {
    const uint64_t current = ConfigNumberOf(deployment, 2);
    REQUIRE((current == 0 || current == number));
    return current == number;
  });
  deployment.WaitDaemonReady(2);
  CHECK(RunCaller(deployment, {.max_tokens = 5, .first_daemon = 2}).done);
}

TEST_CASE("a daemon that reaches neither platform nor peers is not ready") {
  Deployment deployment({});
  Deployment::Control(ControlUrl(deployment), R"({"down":"refuse"})");
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    deployment.daemon(i).Kill();
  }
  deployment.StartDaemon(0);
  WaitReady(deployment.operator_url(0) + "/healthz");
  const HttpAnswer ready = Send("GET", deployment.operator_url(0) + "/readyz");
  CHECK(ready.status == 503);
  CHECK(ready.body.find("neither the platform nor a peer") !=
        std::string::npos);
  const HttpAnswer refused =
      Send("POST", deployment.caller_url(0) + "/v1/completions", {},
           R"({"model":"writer","prompt":"p"})");
  CHECK(refused.status == 503);
  CHECK(refused.body.find("\"not_ready\"") != std::string::npos);
  CHECK(refused.body.find("\"not_run\"") != std::string::npos);
  Deployment::Control(ControlUrl(deployment), R"({"clear":true})");
  deployment.WaitDaemonReady(0);
}

}  // namespace
}  // namespace bramleybank::testing
