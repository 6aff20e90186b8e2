// Main function shared by all stand-ins except that of the engine.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_MAIN_H_
#define BRAMLEYBANK_TOOLS_STANDIN_MAIN_H_

#include <csignal>
#include <cstdio>

#include "config_ini_reader.h"
#include "event_loop.h"
#include "log_event.h"
#include "tool_options.h"

namespace bramleybank {

/// Runs a stand-in until SIGTERM or SIGINT.
/// @tparam Server is constructed from the loop and the settings, and has
/// Start() and last_reason().
/// @param read_settings reads all settings from an IniReader.
/// @returns the exit code of the process.
template <typename Server, typename ReadSettings>
int RunStandin(int argc,
               char** argv,
               const char* purpose,
               ReadSettings read_settings) {
  const ToolOptions options = ParseToolOptions(argc, argv, purpose);
  IniReader reader(options.config);
  const auto settings = read_settings(&reader);
  ExitOnSettingErrors(options, reader.Finish());
  StartLogging(argv[0]);
  EventLoop loop;
  Server server(&loop, settings);
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

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_MAIN_H_
