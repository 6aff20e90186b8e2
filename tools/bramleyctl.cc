// Command-line tool for operators.
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "bramleyctl_change.h"
#include "bramleyctl_client.h"
#include "bramleyctl_exit.h"
#include "bramleyctl_options.h"
#include "bramleyctl_report.h"
#include "json_parse.h"
#include "log_event.h"

namespace bramleybank {
namespace {

using nlohmann::json;

/// @returns whether the status is 200. Otherwise prints the refusal, if there
/// is an answer, and sets `exit_code`.
bool CheckAnswer(const CtlAnswer& answer,
                 const CtlOptions& options,
                 CtlExit* exit_code) {
  if (answer.status == 0) {
    *exit_code = kCtlNoAnswer;
    return false;
  }
  if (answer.status != 200) {
    std::cout << (options.json
                      ? answer.body
                      : "Refused: " + DescribeRefusal(answer.body) + ".")
              << "\n";
    *exit_code = kCtlRefused;
    return false;
  }
  return true;
}

CtlExit RunStatus(CtlClient* client, const CtlOptions& options) {
  const CtlAnswer answer = client->Send({.path = "/status"});
  CtlExit exit_code = kCtlOk;
  if (!CheckAnswer(answer, options, &exit_code)) {
    return exit_code;
  }
  const json status = ParseJson(answer.body);
  const bool members = options.command == "members";
  if (options.json) {
    std::cout << (members ? status.at("membership").at("members") : status)
              << "\n";
  } else {
    std::cout << (members ? DescribeMembers(status) : DescribeStatus(status));
  }
  return kCtlOk;
}

CtlExit RunCall(const CtlOptions& options) {
  CtlClient client({options.caller});
  CtlRequest request{.path =
                         "/v1/calls/" + PercentEncode(options.arguments.at(1)) +
                         "?service=" + PercentEncode(options.arguments.at(0))};
  if (!options.customer.empty()) {
    request.headers = {{"X-Customer", options.customer}};
  }
  const CtlAnswer answer = client.Send(request);
  CtlExit exit_code = kCtlOk;
  if (!CheckAnswer(answer, options, &exit_code)) {
    return exit_code;
  }
  const json call = ParseJson(answer.body);
  std::cout << (options.json ? call.dump() + "\n" : DescribeCall(call));
  return kCtlOk;
}

CtlExit RunExplain(const CtlOptions& options) {
  const auto meaning = ExplainCode(options.arguments.at(0));
  if (!meaning) {
    std::cerr << "bramleyctl: no result code or log event \""
              << options.arguments.at(0) << "\"\n";
    return kCtlUnknownCode;
  }
  if (options.json) {
    std::cout << json{{"number", meaning->number},
                      {"name", meaning->name},
                      {"kind", meaning->kind},
                      {"meaning", meaning->meaning}}
              << "\n";
  } else {
    std::cout << meaning->number << " " << meaning->name << " ("
              << meaning->kind << "): " << meaning->meaning << "\n";
  }
  return kCtlOk;
}

CtlExit RunMetrics(CtlClient* client, const CtlOptions& options) {
  const CtlAnswer answer = client->Send({.path = "/metrics"});
  CtlExit exit_code = kCtlOk;
  if (!CheckAnswer(answer, options, &exit_code)) {
    return exit_code;
  }
  const auto series = SelectMetrics(
      answer.body, options.arguments.empty() ? "" : options.arguments.at(0));
  if (options.json) {
    std::cout << json(series) << "\n";
    return kCtlOk;
  }
  for (const auto& [name, value] : series) {
    std::cout << name << " " << value << "\n";
  }
  return kCtlOk;
}

CtlExit RunCommand(const CtlOptions& options) {
  CtlClient client(options.targets);
  if (options.command == "change") {
    return RunChange(&client, options);
  }
  if (options.command == "drain-endpoint") {
    return RunDrainEndpoint(&client, options);
  }
  if (options.command == "confirmations") {
    return RunConfirmations(&client, options);
  }
  if (options.command == "call") {
    return RunCall(options);
  }
  if (options.command == "explain") {
    return RunExplain(options);
  }
  if (options.command == "metrics") {
    return RunMetrics(&client, options);
  }
  return RunStatus(&client, options);
}

}  // namespace
}  // namespace bramleybank

int main(int argc, char** argv) {
  using namespace bramleybank;
  const CtlOptions options = ReadCtlOptions(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging(argv[0]);
  try {
    return RunCommand(options);
  } catch (const nlohmann::json::exception& error) {
    std::cerr << "bramleyctl: the answer has an unexpected format: "
              << error.what() << "\n";
    return options.command == "change" || options.command == "drain-endpoint"
               ? kCtlOutcomeUnknown
               : kCtlNoAnswer;
  }
}
