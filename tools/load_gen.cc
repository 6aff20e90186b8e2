// Open-loop load tool: simulates callers that reconnect after a lost
// connection, checks every answer, and prints statistics as JSON lines.
#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <random>
#include <string>
#include <utility>

#include "event_loop.h"
#include "http_client.h"
#include "load_gen_generation.h"
#include "load_gen_plan.h"
#include "load_gen_retry.h"
#include "load_gen_runner.h"
#include "load_gen_settings.h"
#include "load_gen_stats.h"
#include "log_event.h"

namespace bramleybank {
namespace {

constexpr int kExitFaulty = 1;
constexpr int kExitIncomplete = 3;

double CpuTimeSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

PlannedRequest MakeSingleRequest(const LoadSettings& settings) {
  PlannedRequest request;
  request.customer = "customer-1";
  // The key is random, so that a manual run does not get the answer of an
  // earlier run.
  std::random_device device;
  request.key = "once-" + std::to_string(device());
  request.prompt =
      settings.prompt.empty() ? "Write a report on plot 12." : settings.prompt;
  request.max_tokens = settings.short_tokens;
  return request;
}

void PrintResumes(LoadContext* context) {
  context->on_text = [](std::string_view text) {
    std::cout << text << std::flush;
  };
  context->on_resume = [](Duration latency, uint64_t position,
                          const std::string& address) {
    std::cout << "\nresumed at token " << position << " from " << address
              << ", latency "
              << std::chrono::duration_cast<std::chrono::milliseconds>(latency)
                     .count()
              << " ms\n";
  };
}

void PrintRunTotals(const LoadStats& stats, Duration wall) {
  const double seconds = static_cast<double>(wall.count()) / 1e6;
  const auto tokens = static_cast<double>(stats.Counter("tokens"));
  const double cpu = CpuTimeSeconds();
  LoadStats::PrintLine(std::cout, "wall_time", seconds, "s");
  LoadStats::PrintLine(std::cout, "cpu_time", cpu, "s");
  if (tokens > 0 && seconds > 0) {
    LoadStats::PrintLine(std::cout, "token_rate", tokens / seconds, "tokens/s");
    LoadStats::PrintLine(std::cout, "cpu_per_token", cpu * 1e6 / tokens, "us");
  }
}

int Run(const LoadSettings& settings) {
  EventLoop loop;
  HttpClient client(&loop);
  TargetRing targets(settings.targets);
  LoadStats stats;
  std::mt19937_64 random(settings.seed + 1);
  LoadContext context;
  context.loop = &loop;
  context.client = &client;
  context.settings = &settings;
  context.targets = &targets;
  context.stats = &stats;
  context.random = [&random] { return random(); };
  const TimePoint start = loop.Now();
  LoadRunner runner(&context, [&] { loop.Stop(); });
  loop.RunOnSignal(SIGINT, [&] { runner.StopSending(); });
  loop.RunOnSignal(SIGTERM, [&] { runner.StopSending(); });
  // The run starts inside the loop, because it may end immediately and then
  // stops the loop.
  loop.Post([&] {
    if (settings.once) {
      PrintResumes(&context);
      runner.StartSingle(MakeSingleRequest(settings));
    } else {
      runner.Start();
    }
  });
  loop.Run();
  if (settings.once) {
    std::cout << "\n";
  }
  stats.Print(std::cout);
  PrintRunTotals(stats, loop.Now() - start);
  if (stats.Counter("answers_faulty") > 0) {
    return kExitFaulty;
  }
  const bool incomplete = stats.Counter("answers_incomplete") > 0 ||
                          stats.Counter("unfinished") > 0;
  return settings.once && incomplete ? kExitIncomplete : 0;
}

}  // namespace
}  // namespace bramleybank

int main(int argc, char** argv) {
  const bramleybank::LoadSettings settings =
      bramleybank::ReadLoadSettings(argc, argv);
  bramleybank::StartLogging(argv[0]);
  return bramleybank::Run(settings);
}
