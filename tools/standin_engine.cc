// Engine stand-in: implements the engine interface of the design page, models
// a batching engine and injects faults on request. For tests and demos only.
#include <csignal>
#include <string>
#include <vector>

#include "config_ini_reader.h"
#include "event_loop.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "log_event.h"
#include "standin_engine_core.h"
#include "standin_engine_http.h"
#include "standin_engine_settings.h"
#include "tool_options.h"

int main(int argc, char** argv) {
  using namespace bramleybank;
  using namespace bramleybank::standin;
  const ToolOptions options = ParseToolOptions(
      argc, argv, "Engine stand-in for tests and demos of bramleybank.");
  std::vector<SettingError> errors;
  const EngineSettings settings = ReadEngineSettings(options.config, &errors);
  ExitOnSettingErrors(options, errors);
  StartLogging(argv[0]);

  EventLoop loop;
  EngineCore core(&loop, settings);
  EngineHttp http(&core);
  HttpServer server(&loop, HttpServerOptions());
  const auto port =
      server.Start(settings.ip, settings.port,
                   [&](const HttpRequest& request,
                       const std::shared_ptr<HttpResponder>& responder) {
                     http.Handle(request, responder);
                   });
  if (!port) {
    LogLine(LogEventId::kSettingRefused)
        .Field("detail", server.last_reason().detail);
    return 1;
  }
  LogLine(LogEventId::kStarted)
      .Field("program", "standin_engine")
      .Field("ip", settings.ip)
      .Field("port", *port);
  loop.RunOnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.RunOnSignal(SIGINT, [&] { loop.Stop(); });
  loop.Run();
  LogLine(LogEventId::kStopped).Field("program", "standin_engine");
  return 0;
}
