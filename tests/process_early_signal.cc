// Signals that reach a gateway before it has read its settings.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>

#include "process_fixture.h"

namespace bramleybank::testing {
namespace {

constexpr int kFailedExec = 127;

std::string Settings() {
  const std::string ip = LoopbackIp(1);
  return "[node]\nname = g\nfailure_domain = d\nregion = r\nregions = d r\n"
         "[listen]\ncaller = " +
         ip + ":8740\nready = " + ip + ":8749\nmetrics = " + ip +
         ":7200\npeer = " + ip + ":7201\n[platform]\nstore = " + ip + ":7500\n";
}

/// A gateway that waits for the bytes of its settings.
class WaitingGateway {
 public:
  WaitingGateway() : m_path(NewTemporaryFile(".ini")) {
    REQUIRE(mkfifo(m_path.c_str(), S_IRUSR | S_IWUSR) == 0);
    const std::string program = std::string(PROGRAM_DIR) + "/bramleybankd";
    const std::string config = "--config=" + m_path;
    m_pid = fork();
    REQUIRE(m_pid >= 0);
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      execl(program.c_str(), program.c_str(), config.c_str(), nullptr);
      _exit(kFailedExec);
    }
    // Returns when the gateway opens the file.
    m_pipe = open(m_path.c_str(), O_WRONLY | O_CLOEXEC);
    REQUIRE(m_pipe >= 0);
  }
  ~WaitingGateway() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
    }
  }
  WaitingGateway(const WaitingGateway&) = delete;
  WaitingGateway& operator=(const WaitingGateway&) = delete;

  void Signal(int signal) const { kill(m_pid, signal); }

  void GiveSettings() const {
    // Later reads get a regular file.
    std::ofstream(m_path + ".new") << Settings();
    REQUIRE(std::rename((m_path + ".new").c_str(), m_path.c_str()) == 0);
    const std::string text = Settings();
    // A gateway that has ended has closed the pipe.
    std::signal(SIGPIPE, SIG_IGN);
    [[maybe_unused]] const ssize_t written =
        write(m_pipe, text.data(), text.size());
    close(m_pipe);
  }

  bool HasEnded() const {
    siginfo_t info = {};
    waitid(P_PID, m_pid, &info, WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid != 0;
  }
  /// @returns the exit code, or -1 if a signal ended the gateway.
  int WaitExit() {
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  const std::string m_path;
  pid_t m_pid = -1;
  int m_pipe = -1;
};

// Guards against a stop signal that kills a gateway which is starting.
TEST_CASE("a gateway that gets SIGTERM before its settings ends in order") {
  WaitingGateway gateway;
  gateway.Signal(SIGTERM);
  gateway.GiveSettings();
  CHECK(gateway.WaitExit() == 0);
}

// Guards against a reload signal that kills a gateway which is starting.
TEST_CASE("a gateway that gets SIGHUP before its settings starts") {
  WaitingGateway gateway;
  gateway.Signal(SIGHUP);
  gateway.GiveSettings();
  WaitUntil("the start or the end of the gateway", [&] {
    return gateway.HasEnded() ||
           Send("GET", "http://" + LoopbackIp(1) + ":7200/metrics").status ==
               200;
  });
  gateway.Signal(SIGTERM);
  CHECK(gateway.WaitExit() == 0);
}

}  // namespace
}  // namespace bramleybank::testing
