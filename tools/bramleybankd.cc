// Main program of the daemon that runs on every entry VM.
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "bramleybank/version.h"
#include "bramleybankd_gateway.h"
#include "daemon.h"
#include "daemon_settings.h"
#include "event_loop.h"
#include "gateway_settings.h"
#include "held_signals.h"
#include "log_event.h"

namespace bramleybank {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitStartFailed = 4;

constexpr char kHelp[] =
    "Usage: bramleybankd --config=FILE [--check-config]\n"
    "  --config=FILE    settings (INI); docs/settings.md lists them\n"
    "  --check-config   check the settings, print all errors and exit\n"
    "  --help           print this text\n"
    "  --version        print the version\n"
    "Exit codes: 0 stopped or settings valid, 2 usage, 3 invalid settings,\n"
    "4 a port could not be opened.\n";

struct Options {
  std::string config;
  bool check_only = false;
};

int Serve(const DaemonSettings& settings) {
  // Only a gateway reloads its settings.
  ReleaseSignals({SIGHUP});
  EventLoop loop;
  Daemon daemon(&loop, settings);
  if (!daemon.Start()) {
    std::fprintf(stderr, "bramleybankd: %s\n",
                 daemon.last_reason().detail.c_str());
    return kExitStartFailed;
  }
  LogLine(LogEventId::kStarted)
      .Field("version", kVersion)
      .Field("ip", settings.ip)
      .Field("caller_port", settings.caller_port)
      .Field("failure_domain", settings.failure_domain);
  const auto stop = [&daemon] { daemon.Drain(); };
  loop.RunOnSignal(SIGTERM, stop);
  loop.RunOnSignal(SIGINT, stop);
  loop.Run();
  const LogLine line(LogEventId::kStopped);
  return 0;
}

bool PrintErrors(const std::vector<SettingError>& errors) {
  for (const SettingError& error : errors) {
    std::fprintf(stderr, "%s\n", FormatSettingError(error).c_str());
  }
  return !errors.empty();
}

/// Reads the settings with `read` and, unless only a check was requested,
/// passes them to `serve`.
template <typename Settings, typename Serve>
int CheckAndServe(const Options& options,
                  Settings (*read)(const std::string&,
                                   std::vector<SettingError>*),
                  const Serve& serve) {
  std::vector<SettingError> errors;
  const Settings settings = read(options.config, &errors);
  if (PrintErrors(errors)) {
    return kExitSettings;
  }
  if (options.check_only) {
    std::puts("settings are valid");
    return 0;
  }
  return serve(settings);
}

int Main(const Options& options) {
  if (IsGatewaySettingsFile(options.config)) {
    const auto serve = [&options](const GatewaySettings& settings) {
      return ServeGateway(options.config, settings, kExitStartFailed);
    };
    return CheckAndServe<GatewaySettings>(options, &ReadGatewaySettings, serve);
  }
  return CheckAndServe<DaemonSettings>(options, &ReadDaemonSettings, &Serve);
}

}  // namespace
}  // namespace bramleybank

int main(int argc, char** argv) {
  using namespace bramleybank;
  const option long_options[] = {{"config", required_argument, nullptr, 'c'},
                                 {"check-config", no_argument, nullptr, 'k'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {"version", no_argument, nullptr, 'v'},
                                 {nullptr, 0, nullptr, 0}};
  Options options;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", long_options, nullptr)) != -1) {
    switch (choice) {
      case 'c':
        options.config = optarg;
        break;
      case 'k':
        options.check_only = true;
        break;
      case 'h':
        std::fputs(kHelp, stdout);
        return 0;
      case 'v':
        std::puts(kVersion);
        return 0;
      default:
        std::fputs(kHelp, stderr);
        return kExitUsage;
    }
  }
  if (options.config.empty()) {
    std::fputs(kHelp, stderr);
    return kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  HoldSignals({SIGTERM, SIGINT, SIGHUP});
  StartLogging(argv[0]);
  return Main(options);
}
