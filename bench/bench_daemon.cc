// Measures the cost of the daemon with real processes on loopback, compared
// with a direct connection to the engine stand-in in the same run. Prints one
// JSON line per figure.
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "bench_caller.h"
#include "event_loop.h"
#include "http_client.h"
#include "process_deployment.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;
using testing::Deployment;
using testing::DeploymentOptions;

constexpr uint64_t kSeed = 20240611;
constexpr double kTargetCpuPerTokenUs = 40;
constexpr double kTargetFirstTokenMs = 1;
constexpr double kTargetStreamKb = 60;
constexpr double kTargetIdlePercent = 2;
constexpr double kTargetMemoryMb = 128;
constexpr double kTargetControlKbPerS = 11;
constexpr double kTokensPerS = 1000.0 / 30;
constexpr Duration kCpuWindow = 5s;
constexpr Duration kIdleWindow = 10s;
constexpr Duration kHangTimeout = 60s;

/// @returns settings of an engine with slots for all streams and a token
/// interval that does not grow with their number.
std::string EngineIni(double interval_ms) {
  return "token_interval_ms = " + std::to_string(interval_ms) +
         "\nslots = 8192\nbatch_knee = 8192\nbatch_slope = 0\n"
         "seed = " +
         std::to_string(kSeed) + "\n";
}

/// @returns user and system time of a process in seconds.
double CpuSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  // Fields are counted from the end of the process name, which may contain
  // spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentKb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::strtod(line.c_str() + std::strlen("VmRSS:"), nullptr);
    }
  }
  return 0;
}

/// Callers that share one event loop.
class CallerGroup {
 public:
  /// Starts `count` callers, one every `spacing`.
  void Start(const std::string& target,
             int count,
             uint64_t tokens,
             Duration spacing) {
    for (int i = 0; i < count; ++i) {
      BenchRequest request;
      request.targets = {target};
      request.prompt = "Plot " + std::to_string(kSeed + m_next++) + ".";
      request.max_tokens = tokens;
      m_callers.push_back(
          std::make_unique<BenchCaller>(&m_loop, &m_client, request));
      m_loop.Schedule(spacing * i,
                      [caller = m_callers.back().get()] { caller->Start(); });
    }
  }

  void RunFor(Duration time) {
    const TimePoint end = m_loop.Now() + time;
    while (m_loop.Now() < end) {
      m_loop.RunOnce(std::min<Duration>(end - m_loop.Now(), 10ms));
    }
  }

  /// Runs until every caller has received `tokens` or has finished.
  void RunUntilTokens(uint64_t tokens) {
    RunUntil([tokens](const BenchCaller& caller) {
      return caller.is_finished() || caller.tokens() >= tokens;
    });
  }
  void RunUntilFinished() {
    RunUntil([](const BenchCaller& caller) { return caller.is_finished(); });
  }

  uint64_t Tokens() const {
    uint64_t sum = 0;
    for (const auto& caller : m_callers) {
      sum += caller->tokens();
    }
    return sum;
  }
  int IncompleteCount() const {
    int count = 0;
    for (const auto& caller : m_callers) {
      count += caller->is_complete() ? 0 : 1;
    }
    return count;
  }
  std::vector<Duration> FirstTokens() const {
    std::vector<Duration> out;
    for (const auto& caller : m_callers) {
      out.push_back(caller->first_token());
    }
    return out;
  }
  std::vector<Duration> Gaps() const {
    std::vector<Duration> out;
    for (const auto& caller : m_callers) {
      out.insert(out.end(), caller->gaps().begin(), caller->gaps().end());
    }
    return out;
  }

 private:
  void RunUntil(const std::function<bool(const BenchCaller&)>& condition) {
    RunUntilAll(&m_loop, m_callers, condition, kHangTimeout);
  }

  EventLoop m_loop;
  HttpClient m_client{&m_loop};
  std::vector<std::unique_ptr<BenchCaller>> m_callers;
  int m_next = 0;
};

void Print(const std::string& name,
           double value,
           const std::string& unit,
           std::optional<double> target = std::nullopt,
           std::optional<double> baseline = std::nullopt) {
  PrintFigure(name, value, unit, target, baseline, kSeed);
}

void PrintTimes(const std::string& name,
                const std::vector<Duration>& daemon,
                const std::vector<Duration>& direct,
                std::optional<double> target_p95) {
  for (const int percent : {50, 95, 99}) {
    const double daemon_ms = QuantileMs(daemon, percent / 100.0);
    const double direct_ms = QuantileMs(direct, percent / 100.0);
    const std::string suffix = "_p" + std::to_string(percent);
    Print(name + suffix, daemon_ms, "ms", std::nullopt, direct_ms);
    Print(name + "_added" + suffix, daemon_ms - direct_ms, "ms",
          percent == 95 ? target_p95 : std::nullopt, 0.0);
  }
}

/// @param interval_ms step interval of the engine. The first token waits for
/// the next step, so short steps show the time that the daemon adds to a single
/// stream. With long steps the tokens of many streams arrive in bursts.
void MeasureFirstToken(const std::string& name, double interval_ms) {
  Deployment deployment({.engine_settings = EngineIni(interval_ms)});
  deployment.WaitForAllMembers();
  std::vector<Duration> daemon;
  std::vector<Duration> direct;
  // Both kinds alternate, so that they run under the same load of the machine.
  for (int round = 0; round < 10; ++round) {
    for (const bool through_daemon : {round % 2 == 0, round % 2 != 0}) {
      CallerGroup group;
      group.Start(
          through_daemon ? deployment.caller_url(0) : deployment.engine_url(0),
          40, 2, 11ms);
      group.RunUntilFinished();
      auto& samples = through_daemon ? daemon : direct;
      const auto times = group.FirstTokens();
      samples.insert(samples.end(), times.begin(), times.end());
    }
  }
  PrintTimes(name, daemon, direct, kTargetFirstTokenMs);
}

void MeasureGaps() {
  Deployment deployment({.engine_settings = EngineIni(30)});
  deployment.WaitForAllMembers();
  CallerGroup daemon;
  CallerGroup direct;
  direct.Start(deployment.engine_url(0), 20, 150, 7ms);
  direct.RunUntilFinished();
  daemon.Start(deployment.caller_url(0), 20, 150, 7ms);
  daemon.RunUntilFinished();
  PrintTimes("token_gap", daemon.Gaps(), direct.Gaps(), std::nullopt);
  Print("latency_answers_not_whole", daemon.IncompleteCount(), "count", 0.0,
        direct.IncompleteCount());
}

struct CpuResult {
  double us_per_token = 0;
  double peer_bytes_per_token = 0;
  double core_share = 0;
  int incomplete = 0;
};

CpuResult MeasureCpu(Deployment* deployment, int streams) {
  CallerGroup group;
  // The streams last for the start of all streams, the window and a margin.
  group.Start(deployment->caller_url(0), streams,
              static_cast<uint64_t>(kTokensPerS * 9), 500ms / streams);
  group.RunUntilTokens(10);
  const pid_t pid = deployment->daemon(0).pid();
  const double peer_before =
      deployment->Metric(0, "bramleybank_peer_sent_bytes");
  const double cpu_before = CpuSeconds(pid);
  const uint64_t tokens_before = group.Tokens();
  const TimePoint start = SteadyNow();
  group.RunFor(kCpuWindow);
  const auto tokens = static_cast<double>(group.Tokens() - tokens_before);
  const double cpu = CpuSeconds(pid) - cpu_before;
  const double seconds =
      std::chrono::duration<double>(SteadyNow() - start).count();
  const double peer =
      deployment->Metric(0, "bramleybank_peer_sent_bytes") - peer_before;
  group.RunUntilFinished();
  return {cpu * 1e6 / tokens, peer / tokens, cpu / seconds,
          group.IncompleteCount()};
}

const std::vector<int> kStreamCounts = {20, 160, 640};

std::vector<CpuResult> MeasureCpuForStreamCounts(
    const std::string& daemon_settings) {
  Deployment deployment({.engines_per_domain = 2,
                         .engine_settings = EngineIni(30),
                         .daemon_settings = daemon_settings});
  deployment.WaitForAllMembers();
  std::vector<CpuResult> results;
  for (const int streams : kStreamCounts) {
    results.push_back(MeasureCpu(&deployment, streams));
  }
  return results;
}

void PrintStreamCpu() {
  const auto copied = MeasureCpuForStreamCounts("");
  const auto uncopied = MeasureCpuForStreamCounts("[streams]\ncopy = false\n");
  for (size_t i = 0; i < kStreamCounts.size(); ++i) {
    const std::string suffix = "_streams_" + std::to_string(kStreamCounts[i]);
    // us per token equals ms per thousand tokens.
    Print("cpu_per_1000_tokens" + suffix, copied[i].us_per_token, "ms",
          kTargetCpuPerTokenUs, uncopied[i].us_per_token);
    Print("cpu_per_1000_tokens_no_copy" + suffix, uncopied[i].us_per_token,
          "ms", kTargetCpuPerTokenUs);
    Print("cpu_share" + suffix, copied[i].core_share * 100, "% of a core",
          std::nullopt, uncopied[i].core_share * 100);
    Print("peer_bytes_per_token" + suffix, copied[i].peer_bytes_per_token,
          "bytes", std::nullopt, uncopied[i].peer_bytes_per_token);
    Print("answers_not_whole" + suffix, copied[i].incomplete, "count", 0.0,
          uncopied[i].incomplete);
  }
}

void MeasureMemory() {
  // A long token interval, so that 2,000 streams do not saturate the daemon.
  Deployment deployment(
      {.engines_per_domain = 2, .engine_settings = EngineIni(150)});
  deployment.WaitForAllMembers();
  const pid_t pid = deployment.daemon(0).pid();
  CallerGroup group;
  const double idle_kb = ResidentKb(pid);
  Print("memory_idle", idle_kb / 1024, "MB", kTargetMemoryMb);
  int open = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const int streams : {160, 640, 2000}) {
    group.Start(deployment.caller_url(0), streams - open, 300, 1ms);
    open = streams;
    group.RunUntilTokens(10);
    const double kb = ResidentKb(pid) - idle_kb;
    sum_xx += static_cast<double>(streams) * streams;
    sum_xy += kb * streams;
    const std::string suffix = "_streams_" + std::to_string(streams);
    Print("memory_per_stream" + suffix, kb / streams, "KB", kTargetStreamKb);
    Print("open_streams" + suffix,
          deployment.Metric(0, "bramleybank_open_streams"), "count", streams);
  }
  // Least squares fit through the idle point.
  Print("memory_per_stream_slope", sum_xy / sum_xx, "KB", kTargetStreamKb);
}

void MeasureIdle(int daemons) {
  Deployment deployment({.daemons_per_domain = daemons / 3});
  deployment.WaitForAllMembers();
  const auto sent = [&](const std::string& series) {
    double sum = 0;
    for (int i = 0; i < daemons; ++i) {
      sum += deployment.Metric(i, series);
    }
    return sum;
  };
  const auto cpu = [&] {
    double sum = 0;
    for (int i = 0; i < daemons; ++i) {
      sum += CpuSeconds(deployment.daemon(i).pid());
    }
    return sum;
  };
  const double member = sent("bramleybank_member_sent_bytes");
  const double peer = sent("bramleybank_peer_sent_bytes");
  const TimePoint start = SteadyNow();
  const double cpu_before = cpu();
  usleep(static_cast<useconds_t>(kIdleWindow.count()));
  const double cpu_used = cpu() - cpu_before;
  const double window =
      std::chrono::duration<double>(SteadyNow() - start).count();
  const double member_sent = sent("bramleybank_member_sent_bytes") - member;
  const double peer_sent = sent("bramleybank_peer_sent_bytes") - peer;
  const double daemon_seconds = daemons * window;
  const std::string suffix = "_daemons_" + std::to_string(daemons);
  Print("idle_cpu" + suffix, cpu_used * 100 / daemon_seconds, "% of a core",
        kTargetIdlePercent);
  Print("control_sent" + suffix,
        (member_sent + peer_sent) / daemon_seconds / 1000, "KB/s",
        kTargetControlKbPerS);
  Print("member_sent" + suffix, member_sent / daemon_seconds / 1000, "KB/s");
  Print("memory" + suffix, ResidentKb(deployment.daemon(0).pid()) / 1024, "MB",
        kTargetMemoryMb);
}

}  // namespace
}  // namespace bramleybank

// The arguments name the parts to run (latency, cpu, memory, idle); default:
// all.
int main(int argc, char** argv) {
  using namespace bramleybank;
  ExitOnFixtureFailure();
  const auto runs = [&](std::string_view part) {
    return argc == 1 || std::find(argv + 1, argv + argc, part) != argv + argc;
  };
  if (runs("latency")) {
    MeasureFirstToken("first_token", 30);
    MeasureFirstToken("first_token_steps_1ms", 1);
    MeasureGaps();
  }
  if (runs("cpu")) {
    PrintStreamCpu();
  }
  if (runs("memory")) {
    MeasureMemory();
  }
  if (runs("idle")) {
    for (const int daemons : {3, 9, 30}) {
      MeasureIdle(daemons);
    }
  }
  return 0;
}
