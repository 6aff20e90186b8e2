// Runs a gateway with the adapter of the users' platform.
#include "bramleybankd_gateway.h"

#include <csignal>
#include <cstdio>
#include <vector>

#include "bramleybank/version.h"
#include "event_loop.h"
#include "gateway.h"
#include "gateway_codec.h"
#include "gateway_rows.h"
#include "gateway_settings.h"
#include "log_event.h"
#include "request_headers.h"
#include "store_client.h"
#include "store_rows.h"

namespace bramleybank {
namespace {

/// Reloads the settings file. If it has errors, they are logged and the current
/// settings stay in force.
void ReloadSettings(const std::string& file, Gateway* gateway) {
  std::vector<SettingError> errors;
  const GatewaySettings settings = ReadGatewaySettings(file, &errors);
  for (const SettingError& error : errors) {
    LogLine(LogEventId::kSettingRefused)
        .Field("fault", FormatSettingError(error));
  }
  if (errors.empty()) {
    gateway->Reload(settings);
    LogLine(LogEventId::kReloaded).Field("file", file);
  }
}

}  // namespace

int ServeGateway(const std::string& file,
                 const GatewaySettings& settings,
                 int start_failure_code) {
  EventLoop loop;
  platform::StoreClient store(&loop, settings.store_url);
  Gateway gateway(&loop, settings, &store, platform::MakeGatewayCodec(),
                  platform::MakeGatewayRows());
  if (!gateway.Start()) {
    std::fprintf(stderr, "bramleybankd: %s\n",
                 gateway.last_reason().detail.c_str());
    return start_failure_code;
  }
  LogLine(LogEventId::kStarted)
      .Field("version", kVersion)
      .Field("node", settings.name)
      .Field("caller", settings.caller_address)
      .Field("failure_domain", settings.place.failure_domain);
  const auto stop = [&gateway] { gateway.Drain(); };
  loop.RunOnSignal(SIGTERM, stop);
  loop.RunOnSignal(SIGINT, stop);
  loop.RunOnSignal(SIGHUP, [&] { ReloadSettings(file, &gateway); });
  loop.Run();
  const LogLine line(LogEventId::kStopped);
  return 0;
}

}  // namespace bramleybank
