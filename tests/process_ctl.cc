// Guards against wrong exit codes and misleading messages of bramleyctl, run
// against a real deployment, and against wrong exit codes of bramleybankd
// --check-config.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <tuple>

#include "process_deployment.h"
#include "tool_run.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

bool OutputContains(const ToolRun& run, const std::string& text) {
  return run.output.find(text) != std::string::npos;
}

/// A file that is removed at the end of the test.
class TestFile {
 public:
  TestFile(const std::string& name, const std::string& text)
      : m_path(std::filesystem::temp_directory_path() /
               (std::to_string(getpid()) + name)) {
    std::ofstream(m_path) << text;
  }
  ~TestFile() { std::filesystem::remove(m_path); }
  TestFile(const TestFile&) = delete;
  TestFile& operator=(const TestFile&) = delete;

  std::string path() const { return m_path.string(); }

 private:
  std::filesystem::path m_path;
};

/// A daemon that fails after it has read a request: it accepts connections,
/// reads once and closes them without an answer.
class DisconnectingDaemon {
 public:
  explicit DisconnectingDaemon(const std::string& ip)
      : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(7102);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    REQUIRE(bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
            0);
    REQUIRE(listen(m_fd, 8) == 0);
    m_thread = std::thread([this] { Serve(); });
  }
  ~DisconnectingDaemon() {
    shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    close(m_fd);
  }
  DisconnectingDaemon(const DisconnectingDaemon&) = delete;
  DisconnectingDaemon& operator=(const DisconnectingDaemon&) = delete;

 private:
  void Serve() const {
    for (int peer = 0; (peer = accept(m_fd, nullptr, nullptr)) >= 0;) {
      std::array<char, 4096> bytes{};
      std::ignore = read(peer, bytes.data(), bytes.size());
      close(peer);
    }
  }

  int m_fd;
  std::thread m_thread;
};

std::string Target(const Deployment& deployment, int daemon) {
  return "--target=" +
         deployment.operator_url(daemon).substr(std::string("http://").size());
}

ToolRun RunCtl(const Deployment& deployment, const std::string& arguments) {
  return RunTool("bramleyctl", Target(deployment, 0) + " " + arguments);
}

std::string CustomerChange(const std::string& name) {
  return json{{"action", "add"},
              {"customer", {{"name", name}, {"requests_per_s", 5}}}}
      .dump();
}

TEST_CASE("status, changes and an unreachable daemon are reported correctly") {
  Deployment deployment({});
  deployment.WaitForAllMembers();

  ToolRun run = RunCtl(deployment, "status");
  CAPTURE(run.output);
  CHECK(run.exit_code == 0);
  CHECK(OutputContains(run, "Live members: 3 of 3 known."));
  CHECK(OutputContains(run, "Open streams on this daemon: 0."));

  const TestFile change("change.json", CustomerChange("temple"));
  run = RunCtl(deployment, "--json --wait=60 change " + change.path());
  CAPTURE(run.output);
  REQUIRE(run.exit_code == 0);
  const json accepted = json::parse(run.output);
  CHECK(accepted.at("result") == "in_force");
  CHECK(accepted.at("repeated") == false);
  const auto number = accepted.at("number").get<uint64_t>();
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    CHECK(deployment.Metric(i, "bramleybank_config_number") >= number);
  }

  // Sending the same file again changes nothing, also through another daemon.
  run = RunTool("bramleyctl", Target(deployment, 1) +
                                  " --json --wait=60 change " + change.path());
  REQUIRE(run.exit_code == 0);
  const json again = json::parse(run.output);
  CHECK(again.at("number") == number);
  CHECK(again.at("id") == accepted.at("id"));
  CHECK(again.at("repeated") == true);
  CHECK(deployment.Metric(0, "bramleybank_config_number") == number);

  // The change is refused as a whole, and the number stays the same.
  const TestFile bad("bad.json", R"({"action":"add","customer":{"name":""}})");
  run = RunCtl(deployment, "change " + bad.path());
  CHECK(run.exit_code == 5);
  CHECK(OutputContains(run, "6002 bad_configuration"));
  CHECK(deployment.Metric(0, "bramleybank_config_number") == number);

  run = RunCtl(deployment, "--wait=60 drain-endpoint " +
                               deployment.engine_url(0).substr(7));
  CHECK(run.exit_code == 0);
  run = RunCtl(deployment, "confirmations 999");
  CHECK(run.exit_code == 7);
  CHECK(OutputContains(run, "Waiting for: "));

  // A target that does not answer is reported, and the next one is used.
  const TestFile second("second.json", CustomerChange("household"));
  deployment.daemon(2).Kill();
  deployment.daemon(2).WaitExit();
  run = RunTool("bramleyctl", Target(deployment, 2) + " " +
                                  Target(deployment, 0) + " --wait=60 change " +
                                  second.path());
  CAPTURE(run.output);
  CHECK(run.exit_code == 0);
  const std::string lost = deployment.operator_url(2).substr(7);
  CHECK(OutputContains(run, "Target " + lost + " does not answer"));
  const std::string lost_peer = lost.substr(0, lost.find(':')) + ":7103";
  CHECK(OutputContains(run, "Unreachable: " + lost_peer));
  CHECK(OutputContains(RunCtl(deployment, "status"),
                       "Unreachable: " + lost_peer));
  CHECK(OutputContains(RunCtl(deployment, "members"), lost_peer + "  dead"));

  run = RunCtl(deployment, "metrics bramleybank_members_dead");
  CHECK(run.output == "bramleybank_members_dead 1\n");
}

TEST_CASE("a live member that has not confirmed a change is reported") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  deployment.daemon(2).Pause();
  const std::string operator_port = deployment.operator_url(2).substr(7);
  const std::string paused =
      operator_port.substr(0, operator_port.find(':')) + ":7103";
  const TestFile change("paused.json", CustomerChange("temple"));
  const ToolRun run = RunCtl(deployment, "--wait=0 change " + change.path());
  CAPTURE(run.output);
  CHECK(OutputContains(run, "accepted as number"));
  CHECK(OutputContains(run, paused));
  // On a slow machine the other members may declare the paused one dead before
  // the change is sent.
  const bool is_dead = OutputContains(run, "Unreachable: " + paused);
  CHECK((run.exit_code == 7 || (run.exit_code == 0 && is_dead)));
  CHECK((is_dead ||
         OutputContains(run, "is not in force on all live members yet")));
  deployment.daemon(2).Continue();
}

TEST_CASE(
    "a change is not reported as refused if the platform does not answer") {
  Deployment deployment({});
  deployment.platform().Pause();
  const TestFile change("lost.json", CustomerChange("temple"));
  const ToolRun run = RunCtl(deployment, "change " + change.path());
  CAPTURE(run.output);
  CHECK(run.exit_code == 6);
  CHECK(OutputContains(run, "Repeat it with --id=ctl-"));
  deployment.platform().Continue();
}

TEST_CASE("a change that a failed daemon has read is not reported as unsent") {
  const DisconnectingDaemon lost(LoopbackIp(201));
  const std::string target = "--target=" + LoopbackIp(201) + ":7102";
  const TestFile change("read.json", CustomerChange("temple"));
  const ToolRun run =
      RunTool("bramleyctl", target + " change " + change.path());
  CAPTURE(run.output);
  CHECK(run.exit_code == 6);
  CHECK(OutputContains(run, "Repeat it with --id=ctl-"));
}

TEST_CASE("call reports the outcome of a call") {
  Deployment deployment({.services = {{"desk", {"POST /bookings"}}}});
  const std::string url = deployment.caller_url(0);
  const HttpAnswer answer =
      Send("POST", url + "/svc/desk/bookings",
           {{"X-Customer", "temple"}, {"Idempotency-Key", "round-7"}}, "{}");
  REQUIRE(answer.status == 201);
  const std::string caller = "--caller=" + url.substr(7);
  const std::string lookup = caller + " call desk 'round-7' --customer=";
  WaitUntil("the result in the table", [&] {
    return OutputContains(RunTool("bramleyctl", lookup + "temple"),
                          "ran once. The service answered with status 201.");
  });
  const ToolRun other = RunTool("bramleyctl", lookup + "household");
  CHECK(other.exit_code == 5);
  CHECK(OutputContains(other, "4004 call_not_found"));
}

TEST_CASE("command-line errors have their own exit codes") {
  CHECK(RunTool("bramleyctl", "").exit_code == 2);
  CHECK(RunTool("bramleyctl", "status").exit_code == 2);
  CHECK(RunTool("bramleyctl", "--target=here status").exit_code == 2);
  CHECK(RunTool("bramleyctl", "--help").exit_code == 0);
  CHECK(RunTool("bramleyctl", "--version").exit_code == 0);
  const std::string unreachable = "--target=" + LoopbackIp(200) + ":7102 ";
  CHECK(RunTool("bramleyctl", unreachable + "status").exit_code == 4);
  const TestFile change("unsent.json", CustomerChange("temple"));
  CHECK(RunTool("bramleyctl", unreachable + "change " + change.path())
            .exit_code == 4);
  CHECK(OutputContains(RunTool("bramleyctl", "explain 4002"),
                       "4002 outcome_unknown"));
  CHECK(OutputContains(RunTool("bramleyctl", "explain member_dead"),
                       "603 member_dead"));
  CHECK(RunTool("bramleyctl", "explain 9999").exit_code == 8);
  const TestFile good("good.ini", "[operator]\ntargets = 127.0.0.1:7102\n");
  const TestFile wrong("wrong.ini", "[operator]\ntargets = here\nnone = 1\n");
  CHECK(RunTool("bramleyctl", "--check-config --config=" + good.path())
            .exit_code == 0);
  const ToolRun run =
      RunTool("bramleyctl", "--check-config --config=" + wrong.path());
  CHECK(run.exit_code == 3);
  CHECK(OutputContains(run, "[operator] targets = \"here\""));
  CHECK(OutputContains(run, "[operator] none"));
}

TEST_CASE("bramleybankd --check-config tells valid from invalid settings") {
  const std::string text =
      "[node]\nregion = north\nfailure_domain = north-1\n"
      "[platform]\nurl = http://127.0.0.1:7300\n";
  const TestFile good("daemon.ini", text);
  const TestFile wrong("daemon-wrong.ini", text + "[drain]\ntime_s = 5\n");
  const std::string check = "--check-config --config=";
  CHECK(RunTool("bramleybankd", check + good.path()).exit_code == 0);
  const ToolRun run = RunTool("bramleybankd", check + wrong.path());
  CHECK(run.exit_code == 3);
  CHECK(OutputContains(run, "[drain] time_s = \"5\""));
  CHECK(RunTool("bramleybankd", check + "/nonexistent.ini").exit_code == 3);
  CHECK(RunTool("bramleybankd", "--check-config").exit_code == 2);
}

}  // namespace
}  // namespace bramleybank::testing
