// Formats answers of the daemons as text.
#include "bramleyctl_report.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

#include "bramleybank/result_code.h"
#include "json_parse.h"
#include "log_event.h"

namespace bramleybank {
namespace {

using nlohmann::json;

std::string Text(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string Join(const json& list) {
  std::string text;
  for (const json& entry : list) {
    text += (text.empty() ? "" : ", ") + Text(entry);
  }
  return text;
}

/// Names members as "peer (failure domain, configuration n)".
std::string JoinMembers(const json& members) {
  std::string text;
  for (const json& member : members) {
    text += (text.empty() ? "" : ", ") + Text(member.at("peer")) + " (" +
            Text(member.at("failure_domain")) + ", configuration " +
            Text(member.at("config_number")) + ")";
  }
  return text;
}

bool Matches(std::string_view code, int number, std::string_view name) {
  return code == name || code == std::to_string(number);
}

}  // namespace

std::string DescribeStatus(const json& status) {
  const json& membership = status.at("membership");
  const json& config = membership.at("configuration");
  const std::string reason = Text(status.at("not_ready_reason"));
  std::ostringstream out;
  out << "Daemon " << Text(status.at("peer")) << ", version "
      << Text(status.at("version")) << ", region " << Text(status.at("region"))
      << ", failure domain " << Text(status.at("failure_domain")) << ".\n"
      << (reason.empty() ? "It is ready.\n" : "Not ready: " + reason + ".\n")
      << "Configuration here: " << status.at("config_number")
      << ". Highest known: " << config.at("number") << ".\n";
  if (config.at("in_force_everywhere").get<bool>()) {
    out << "It is in force on all live members.\n";
  } else {
    out << "Not in force yet on: " << Join(config.at("waiting_for")) << ".\n";
  }
  out << "Live members: " << membership.at("live") << " of "
      << membership.at("members").size() << " known.\n";
  if (!config.at("unreachable").empty()) {
    out << "Unreachable: " << Join(config.at("unreachable")) << ".\n";
  }
  for (const json& notice : membership.at("notices")) {
    out << "Notice: " << Text(notice.at("kind")) << " "
        << Text(notice.at("key")) << ".\n";
  }
  out << "Open streams on this daemon: " << status.at("open_streams") << ".\n";
  return out.str();
}

std::string DescribeMembers(const json& status) {
  std::ostringstream out;
  for (const json& member : status.at("membership").at("members")) {
    out << Text(member.at("peer")) << "  " << Text(member.at("state")) << "  "
        << Text(member.at("region")) << "  "
        << Text(member.at("failure_domain")) << "  configuration "
        << member.at("config_number") << "\n";
  }
  return out.str();
}

std::string DescribeConfirmations(const json& confirmations) {
  std::ostringstream out;
  out << "Configuration " << confirmations.at("number")
      << (confirmations.at("in_force").get<bool>()
              ? " is in force on all live members.\n"
              : " is not in force on all live members yet.\n");
  if (!confirmations.at("waiting").empty()) {
    out << "Waiting for: " << JoinMembers(confirmations.at("waiting")) << ".\n";
  }
  if (!confirmations.at("unreachable").empty()) {
    out << "Unreachable: " << JoinMembers(confirmations.at("unreachable"))
        << ".\n";
  }
  return out.str();
}

std::string DescribeCall(const json& call) {
  const std::string outcome = Text(call.at("outcome"));
  if (outcome == "done") {
    return "The call ran once. The service answered with status " +
           Text(call.at("status")) + ".\n";
  }
  if (outcome == "not_run") {
    return "The call did not run. The same key can be used again.\n";
  }
  return "The outcome is unknown: the call may be running or may have run. It "
         "will not be run again. Ask the service.\n";
}

std::string DescribeRefusal(const std::string& body) {
  const json value = TryParseJson(body);
  if (!value.is_object() || !value.contains("error")) {
    return "the answer is not a refusal of this system: " + body;
  }
  const json& error = value["error"];
  return Text(error.value("code", json(0))) + " " +
         Text(error.value("name", json(""))) + ": " +
         Text(error.value("message", json("")));
}

std::string RefusalOutcome(const std::string& body) {
  const json value = TryParseJson(body);
  if (!value.is_object() || !value.contains("error")) {
    return {};
  }
  return Text(value["error"].value("outcome", json("")));
}

std::optional<CodeMeaning> ExplainCode(std::string_view code) {
  for (const ResultCodeInfo& info : AllResultCodes()) {
    const int number = static_cast<int>(info.code);
    if (Matches(code, number, info.name)) {
      return CodeMeaning{number, std::string(info.name),
                         std::string(info.meaning), "result code"};
    }
  }
  for (const LogEventInfo& info : AllLogEvents()) {
    const int number = static_cast<int>(info.id);
    if (Matches(code, number, info.name)) {
      return CodeMeaning{number, std::string(info.name),
                         std::string(info.meaning), "log event"};
    }
  }
  return std::nullopt;
}

std::map<std::string, double> SelectMetrics(const std::string& text,
                                            std::string_view prefix) {
  std::map<std::string, double> series;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const size_t space = line.rfind(' ');
    if (line.starts_with('#') || !line.starts_with(prefix) ||
        space == std::string::npos) {
      continue;
    }
    series[line.substr(0, space)] =
        std::strtod(line.c_str() + space + 1, nullptr);
  }
  return series;
}

}  // namespace bramleybank
