// Tests the membership of real daemon processes. Guards against losses that
// some daemon does not detect, false deaths after a pause, a replaced daemon
// that is taken for its predecessor, and requests to endpoints that are
// leaving.
#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "process_deployment.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

std::string PeerOf(const Deployment& deployment, int daemon) {
  // operator_url is http://<ip>:7102.
  const std::string url = deployment.operator_url(daemon);
  const size_t start = url.find("//") + 2;
  return url.substr(start, url.rfind(':') - start) + ":7103";
}

/// @returns the row of `member` in the table of `daemon`; null when there is
/// none.
json MemberSeenBy(const Deployment& deployment, int daemon, int member) {
  const HttpAnswer answer =
      Send("GET", deployment.operator_url(daemon) + "/status");
  REQUIRE(answer.status == 200);
  const json status = json::parse(answer.body);
  for (const json& row : status.at("membership").at("members")) {
    if (row.at("peer") == PeerOf(deployment, member)) {
      return row;
    }
  }
  return nullptr;
}

void WaitState(const Deployment& deployment,
               int daemon,
               int member,
               const std::string& state) {
  WaitUntil("daemon " + std::to_string(daemon) + " to see daemon " +
                std::to_string(member) + " as " + state,
            [&] {
              const json row = MemberSeenBy(deployment, daemon, member);
              return !row.is_null() && row.at("state") == state;
            });
}

void CheckServes(const Deployment& deployment, int daemon) {
  const CallerResult result =
      RunCaller(deployment, {.max_tokens = 5, .first_daemon = daemon});
  CAPTURE(result.error);
  CHECK(result.done);
  CHECK(result.faults == "");
  CHECK(result.connections == 1);
}

std::string ControlUrl(const Deployment& deployment) {
  std::string url = deployment.platform_url();
  url.back() = '1';
  return url;
}

TEST_CASE("all daemons detect that a daemon was killed and replaced") {
  Deployment deployment({.daemons_per_domain = 2});
  deployment.WaitForAllMembers();
  const json before = MemberSeenBy(deployment, 0, 3);
  deployment.daemon(3).Kill();
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    if (i != 3) {
      WaitState(deployment, i, 3, "dead");
    }
  }
  deployment.StartDaemon(3);
  deployment.WaitDaemonReady(3);
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    WaitState(deployment, i, 3, "alive");
    CHECK(MemberSeenBy(deployment, i, 3).at("start_number") >
          before.at("start_number"));
  }
}

TEST_CASE(
    "a daemon that is replaced before its loss is detected is a new member") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  const json before = MemberSeenBy(deployment, 0, 2);
  deployment.daemon(2).Kill();
  deployment.StartDaemon(2);
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    WaitUntil("the new member to be known", [&] {
      const json row = MemberSeenBy(deployment, i, 2);
      return !row.is_null() && row.at("state") == "alive" &&
             row.at("start_number") > before.at("start_number");
    });
  }
}

TEST_CASE("a daemon that was paused declares nobody dead") {
  Deployment deployment({.daemons_per_domain = 2});
  deployment.WaitForAllMembers();
  deployment.daemon(1).Pause();
  std::this_thread::sleep_for(std::chrono::seconds(5));
  deployment.daemon(1).Continue();
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    WaitState(deployment, i, 1, "alive");
    WaitState(deployment, 1, i, "alive");
  }
  CHECK(deployment.Metric(1, "bramleybank_member_pauses") > 0);
  // Within ten probe periods a wrong suspicion would time out.
  const double probes = deployment.Metric(1, "bramleybank_member_probes");
  WaitUntil("further probes", [&] {
    return deployment.Metric(1, "bramleybank_member_probes") >= probes + 10;
  });
  CHECK(deployment.Metric(1, "bramleybank_member_deaths") == 0);
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    CHECK(deployment.Metric(i, "bramleybank_members_alive") ==
          deployment.daemon_count());
  }
}

TEST_CASE(
    "the other daemons serve requests when a whole failure domain is lost") {
  Deployment deployment({.daemons_per_domain = 2});
  deployment.WaitForAllMembers();
  deployment.daemon(0).Kill();
  deployment.daemon(1).Kill();
  deployment.engine(0).Kill();
  for (int i = 2; i < deployment.daemon_count(); ++i) {
    CheckServes(deployment, i);
  }
  for (int i = 2; i < deployment.daemon_count(); ++i) {
    WaitState(deployment, i, 0, "dead");
    WaitState(deployment, i, 1, "dead");
    CheckServes(deployment, i);
  }
}

// Seeds come only from the VM list. Without the list, the other daemons still
// find a new daemon at an address that they have known within the last hour.
TEST_CASE("a daemon replaced while the VM list is down is found by its peers") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  Deployment::Control(ControlUrl(deployment), R"({"down":"refuse"})");
  deployment.daemon(2).Kill();
  WaitState(deployment, 0, 2, "dead");
  WaitState(deployment, 1, 2, "dead");
  deployment.StartDaemon(2);
  deployment.WaitDaemonReady(2);
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    WaitState(deployment, i, 2, "alive");
  }
  CheckServes(deployment, 2);
}

/// Kills all three daemons and restarts the first two with a VM list of the
/// first `listed` daemons, so that no running daemon has the third one in its
/// table. Then takes the platform down.
void RestartWithoutThirdDaemon(Deployment* deployment, int listed) {
  json vms = json::array();
  for (int i = 0; i < listed; ++i) {
    vms.push_back({{"peer", PeerOf(*deployment, i)},
                   {"region", "region-0"},
                   {"failure_domain", "domain-" + std::to_string(i)},
                   {"state", "live"}});
  }
  for (int i = 0; i < 3; ++i) {
    deployment->daemon(i).Kill();
  }
  Deployment::Control(ControlUrl(*deployment), json{{"vms", vms}}.dump());
  for (int i = 0; i < 2; ++i) {
    deployment->StartDaemon(i);
    deployment->WaitDaemonReady(i);
  }
  WaitState(*deployment, 0, 1, "alive");
  WaitState(*deployment, 1, 0, "alive");
  Deployment::Control(ControlUrl(*deployment), R"({"down":"refuse"})");
}

TEST_CASE("a daemon on the VM list can start while the list is down") {
  Deployment deployment({});
  RestartWithoutThirdDaemon(&deployment, 3);
  deployment.StartDaemon(2);
  deployment.WaitDaemonReady(2);
  WaitState(deployment, 2, 0, "alive");
  WaitState(deployment, 2, 1, "alive");
  CheckServes(deployment, 2);
}

// Seeds come only from the VM list, so a daemon whose address was never listed
// stays alone and not ready until the list is available again.
TEST_CASE("an unlisted daemon waits for the VM list") {
  Deployment deployment({});
  RestartWithoutThirdDaemon(&deployment, 2);
  deployment.StartDaemon(2);
  WaitReady(deployment.operator_url(2) + "/healthz");
  // During several failed reads of the VM list, the other daemons would have
  // had time to contact this one.
  WaitUntil("failed reads of the VM list", [&] {
    const HttpAnswer status =
        Send("GET", deployment.operator_url(2) + "/status");
    return json::parse(status.body).at("vm_list_failures") >= 3;
  });
  CHECK(Send("GET", deployment.operator_url(2) + "/readyz").status == 503);
  CHECK(MemberSeenBy(deployment, 0, 2).is_null());
  Deployment::Control(ControlUrl(deployment), R"({"clear":true})");
  deployment.WaitDaemonReady(2);
  WaitState(deployment, 0, 2, "alive");
  WaitState(deployment, 2, 1, "alive");
}

TEST_CASE("an endpoint marked leaving gets no new work on any daemon") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  const HttpAnswer answer =
      deployment.ChangeConfig(1, deployment.LeavingChange(0));
  CAPTURE(answer.body);
  REQUIRE(answer.status == 200);
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    WaitUntil("the change to be received", [&] {
      return deployment.Metric(i, "bramleybank_config_number") >= 2;
    });
    for (int round = 0; round < 30; ++round) {
      const CallerResult result =
          RunCaller(deployment, {.max_tokens = 2, .first_daemon = i});
      REQUIRE(result.done);
      const int engine = deployment.engine_of(result.event_ids.back());
      CHECK(engine > 0);
    }
  }
}

TEST_CASE(
    "a failure domain that is cut off reports it, serves and reconnects") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  const auto is_cut_off = [&] {
    return Send("GET", deployment.operator_url(0) + "/status")
               .body.find("\"cut_off\":true") != std::string::npos;
  };
  CHECK_FALSE(is_cut_off());
  // Everything outside the failure domain of daemon 0 stops answering, as it
  // would after a link failure.
  deployment.platform().Pause();
  for (const int i : {1, 2}) {
    deployment.daemon(i).Pause();
    deployment.engine(i).Pause();
  }
  WaitUntil("daemon 0 to see that it is cut off", is_cut_off);
  const CallerResult served = RunCaller(deployment, {.max_tokens = 20});
  CAPTURE(served.error);
  CHECK(served.done);
  CHECK(served.faults == "");
  CHECK(served.connections == 1);
  CHECK(deployment.engine_of(served.event_ids.back()) == 0);
  deployment.platform().Continue();
  for (const int i : {1, 2}) {
    deployment.daemon(i).Continue();
    deployment.engine(i).Continue();
  }
  WaitUntil("the domain to be reconnected", [&] { return !is_cut_off(); });
  deployment.WaitForAllMembers();
  WaitUntil("a change to be accepted", [&] {
    return deployment.ChangeConfig(1, deployment.LeavingChange(2)).status ==
           200;
  });
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    WaitUntil("the change to be in force", [&] {
      return deployment.Metric(i, "bramleybank_config_number") == 2;
    });
  }
}

}  // namespace
}  // namespace bramleybank::testing
