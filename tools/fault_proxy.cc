// Proxy between any two processes that injects faults into TCP and UDP.
// POST /control `{"pair": "<name>" (all without it), and the fields of
// ProxyPairServer::Control()}`; GET /stats.
#include <cerrno>
#include <csignal>
#include <cstring>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "config_ini_reader.h"
#include "event_loop.h"
#include "fault_proxy_config.h"
#include "fault_proxy_pair.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "log_event.h"
#include "tool_options.h"

namespace bramleybank {
namespace {

using nlohmann::json;
using Pairs = std::vector<std::unique_ptr<ProxyPairServer>>;

/// @returns what is wrong, or an empty text.
std::string Control(const json& message, const Pairs& pairs) {
  std::string error = "no such pair";
  const bool named = message.is_object() && message.contains("pair");
  for (const auto& pair : pairs) {
    if (named && message["pair"] != pair->name()) {
      continue;
    }
    error = pair->Control(message);
    if (!error.empty()) {
      return error;
    }
  }
  return error;
}

void Handle(const HttpRequest& request,
            HttpResponder* responder,
            const Pairs& pairs) {
  json answer = json::object();
  int status = 200;
  if (request.method == "POST" && request.path == "/control") {
    const std::string error =
        Control(json::parse(request.body, nullptr, false), pairs);
    if (!error.empty()) {
      status = 400;
      answer["error"] = error;
    }
  } else if (request.method == "GET" && request.path == "/stats") {
    for (const auto& pair : pairs) {
      answer[pair->name()] = pair->Stats();
    }
  } else {
    status = 404;
  }
  responder->Respond(status, {{"Content-Type", "application/json"}},
                     answer.dump() + "\n");
}

int RefuseStart(const std::string& detail) {
  LogLine(LogEventId::kSettingRefused).Field("detail", detail);
  return 1;
}

int Run(const ProxySettings& settings) {
  EventLoop loop;
  std::mt19937_64 random(settings.seed);
  Pairs pairs;
  for (const ProxyPair& pair : settings.pairs) {
    pairs.push_back(std::make_unique<ProxyPairServer>(
        &loop, pair, [&random] { return random(); }));
    if (!pairs.back()->Start()) {
      return RefuseStart(pair.name + ": " + std::strerror(errno));
    }
  }
  HttpServer server(&loop, HttpServerOptions());
  if (!server.Start(settings.ip, settings.port,
                    [&](const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
                      Handle(request, responder.get(), pairs);
                    })) {
    return RefuseStart(server.last_reason().detail);
  }
  LogLine(LogEventId::kStarted).Field("program", "fault_proxy");
  loop.RunOnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.RunOnSignal(SIGINT, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace bramleybank

int main(int argc, char** argv) {
  using namespace bramleybank;
  const ToolOptions options = ParseToolOptions(
      argc, argv, "Fault-injecting TCP and UDP proxy of bramleybank.");
  std::vector<SettingError> errors;
  const ProxySettings settings = ReadProxySettings(options.config, &errors);
  ExitOnSettingErrors(options, errors);
  StartLogging(argv[0]);
  return Run(settings);
}
