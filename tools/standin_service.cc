// Stand-in of a plain service with non-idempotent routes. For tests and demos
// only.
#include <csignal>
#include <cstdio>

#include "event_loop.h"
#include "log_event.h"
#include "standin_main.h"
#include "standin_service_server.h"

int main(int argc, char** argv) {
  using namespace bramleybank;
  const StandinCommandLine line = ReadStandinCommandLine(argc, argv);
  if (line.exit_code >= 0) {
    return line.exit_code;
  }
  IniReader reader(line.config_file);
  const ServiceSettings settings = ReadServiceSettings(&reader);
  if (!ReportSettingErrors(reader.Finish())) {
    return 1;
  }
  if (line.check_only) {
    return 0;
  }
  StartLogging(argv[0]);
  EventLoop loop;
  ServiceServer server(&loop, settings);
  if (!server.Start()) {
    std::fprintf(stderr, "%s\n", server.last_reason().detail.c_str());
    return 1;
  }
  loop.RunOnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.RunOnSignal(SIGINT, [&loop] { loop.Stop(); });
  LogLine(LogEventId::kStarted)
      .Field("ip", settings.ip)
      .Field("port", settings.port);
  loop.Run();
  return 0;
}
