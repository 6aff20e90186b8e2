// Proxy between any two processes that injects faults into TCP and UDP.
// Settings: `[control] ip=, port=`, `[pairs] names=a,b`, and for each
// name a section `[<name>] ip=, port=, target_ip=, target_port=`.
// POST /control takes `{"pair": "<name>", ...}` with the fields of
// ProxyPairServer::Control(); without "pair" it changes all pairs. GET /stats
// returns the counters of each pair.
#include <arpa/inet.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "config_ini_reader.h"
#include "event_loop.h"
#include "fault_proxy_pair.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "json_parse.h"
#include "log_event.h"
#include "tool_options.h"

namespace bramleybank {
namespace {

using nlohmann::json;
using Pairs = std::vector<std::unique_ptr<ProxyPairServer>>;

sockaddr_in ReadAddress(IniReader* ini,
                        const std::string& section,
                        const std::string& prefix) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::string ip = ini->Ip(section, prefix + "ip", "127.0.0.1");
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const int64_t port = ini->Int(section, prefix + "port", 0, 1, 65535);
  if (port == 0) {
    ini->AddError(section, prefix + "port", "a port");
  }
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

void HandleRequest(const HttpRequest& request,
                   HttpResponder* responder,
                   const Pairs& pairs) {
  json answer = json::object();
  int status = 404;
  if (request.method == "POST" && request.path == "/control") {
    const json message = TryParseJson(request.body);
    const bool is_named = message.is_object() && message.contains("pair");
    std::string error = "no such pair";
    for (const auto& pair : pairs) {
      if (!is_named || message["pair"] == pair->name()) {
        error = pair->Control(message);
      }
    }
    answer["error"] = error;
    status = error.empty() ? 200 : 400;
  } else if (request.method == "GET" && request.path == "/stats") {
    for (const auto& pair : pairs) {
      answer[pair->name()] = pair->Stats();
    }
    status = 200;
  }
  responder->Respond(status, {}, answer.dump() + "\n");
}

}  // namespace
}  // namespace bramleybank

int main(int argc, char** argv) {
  using namespace bramleybank;
  const ToolOptions options = ParseToolOptions(
      argc, argv, "Fault-injecting TCP and UDP proxy of bramleybank.");
  IniReader ini(options.config);
  const std::string ip = ini.Ip("control", "ip", "127.0.0.1");
  const int64_t port = ini.Int("control", "port", 9900, 0, 65535);
  std::vector<ProxyPair> pair_specs;
  std::istringstream names(ini.RequiredString("pairs", "names"));
  for (std::string name; std::getline(names, name, ',');) {
    pair_specs.push_back({.name = name,
                          .listen = ReadAddress(&ini, name, ""),
                          .target = ReadAddress(&ini, name, "target_")});
  }
  ExitOnSettingErrors(options, ini.Finish());
  StartLogging(argv[0]);

  EventLoop loop;
  std::mt19937_64 random;
  Pairs pairs;
  std::string start_error;
  for (const ProxyPair& pair : pair_specs) {
    pairs.push_back(std::make_unique<ProxyPairServer>(
        &loop, pair, [&random] { return random(); }));
    if (!pairs.back()->Start()) {
      start_error = "cannot bind the address of " + pair.name;
    }
  }
  HttpServer server(&loop, HttpServerOptions());
  const auto handle = [&](const HttpRequest& request, const auto& responder) {
    HandleRequest(request, responder.get(), pairs);
  };
  if (!server.Start(ip, static_cast<uint16_t>(port), handle)) {
    start_error = server.last_reason().detail;
  }
  if (!start_error.empty()) {
    LogLine(LogEventId::kSettingRefused).Field("detail", start_error);
    return 1;
  }
  LogLine(LogEventId::kStarted).Field("program", "fault_proxy");
  loop.RunOnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
