// Configuration changes sent by bramleyctl.
#include "bramleyctl_change.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>

#include "bramleyctl_client.h"
#include "bramleyctl_options.h"
#include "bramleyctl_report.h"
#include "json_parse.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr Duration kPollInterval = std::chrono::milliseconds(200);
// Must exceed the total time of a daemon's attempts to write to the platform.
constexpr Duration kChangeTimeout = std::chrono::seconds(20);

std::string HexId(uint64_t value) {
  std::ostringstream text;
  text << "ctl-" << std::hex << value;
  return text.str();
}

/// Derives an id from the content. The dump sorts the keys, so that layout and
/// key order do not affect the id.
std::string IdFromContent(json change) {
  change.erase("number");
  const std::string text = change.dump();
  return HexId(XXH3_64bits(text.data(), text.size()));
}

CtlExit PrintFailure(const CtlOptions& options,
                     CtlExit code,
                     const std::string& id,
                     const std::string& text) {
  if (options.json) {
    std::cout << json{{"result",
                       code == kCtlOutcomeUnknown ? "unknown" : "refused"},
                      {"id", id},
                      {"reason", text}}
                     .dump()
              << "\n";
  } else if (code == kCtlOutcomeUnknown) {
    std::cout << "It is unknown whether the change was accepted: " << text
              << ".\nRepeat it with --id=" << id << "; that is safe.\n";
  } else {
    std::cout << "The change was refused as a whole: " << text
              << ".\nNothing was changed.\n";
  }
  return code;
}

/// @returns the configuration number in force on the first target that answers,
/// or nullopt if it is not known.
std::optional<uint64_t> FetchConfigNumber(CtlClient* client) {
  const CtlAnswer answer = client->Send({.path = "/status"});
  const json status = TryParseJson(answer.body);
  if (answer.status != 200 || !status.is_object()) {
    return std::nullopt;
  }
  return status.value("config_number", uint64_t{0});
}

std::optional<json> FetchConfirmations(CtlClient* client, uint64_t number) {
  const CtlAnswer answer = client->Send(
      {.path = "/config/confirmations?number=" + std::to_string(number)});
  json value = TryParseJson(answer.body);
  if (answer.status != 200 || !value.is_object()) {
    return std::nullopt;
  }
  return value;
}

bool IsInForce(const std::optional<json>& confirmations) {
  return confirmations && confirmations->value("in_force", false);
}

std::optional<json> WaitUntilInForce(CtlClient* client,
                                     uint64_t number,
                                     Duration wait) {
  const TimePoint end = SteadyNow() + wait;
  std::optional<json> last = FetchConfirmations(client, number);
  while (!IsInForce(last) && SteadyNow() < end) {
    client->Sleep(kPollInterval);
    last = FetchConfirmations(client, number);
  }
  return last;
}

CtlExit PrintAccepted(const CtlOptions& options,
                      const std::string& id,
                      uint64_t number,
                      bool repeated,
                      const std::optional<json>& confirmations) {
  const bool in_force = IsInForce(confirmations);
  if (options.json) {
    std::cout << json{{"result", in_force ? "in_force" : "accepted"},
                      {"id", id},
                      {"number", number},
                      {"repeated", repeated},
                      {"confirmations", confirmations.value_or(json())}}
                     .dump()
              << "\n";
  } else if (repeated) {
    std::cout << "The change with id " << id
              << " was already accepted as number " << number
              << "; nothing was changed. To apply it again, give another "
                 "--id.\n";
  } else {
    std::cout << "The change was accepted as number " << number << ", id " << id
              << ".\n";
  }
  if (!options.json) {
    std::cout << (confirmations ? DescribeConfirmations(*confirmations)
                                : "No target reported where it is in force.\n");
  }
  return in_force ? kCtlOk : kCtlNotInForce;
}

CtlExit SendChange(CtlClient* client, const CtlOptions& options, json change) {
  const std::string id = change.at("id").get<std::string>();
  const std::optional<uint64_t> previous_number = FetchConfigNumber(client);
  const CtlAnswer answer = client->Send({.method = "POST",
                                         .path = "/config/changes",
                                         .body = change.dump(),
                                         .timeout = kChangeTimeout});
  if (answer.status == 0) {
    if (answer.maybe_received) {
      return PrintFailure(options, kCtlOutcomeUnknown, id, "no answer");
    }
    std::cerr << "No target answered; nothing was sent.\n";
    return kCtlNoAnswer;
  }
  const json value = TryParseJson(answer.body);
  if (answer.status == 200 && value.is_object() && value.contains("number")) {
    const auto number = value["number"].get<uint64_t>();
    const bool repeated = previous_number && number <= *previous_number;
    return PrintAccepted(options, id, number, repeated,
                         WaitUntilInForce(client, number, options.wait));
  }
  // A refusal by one target does not rule out that another target, which did
  // not answer, accepted the change.
  const bool refused =
      !answer.maybe_received && RefusalOutcome(answer.body) == "not_run";
  return PrintFailure(options, refused ? kCtlRefused : kCtlOutcomeUnknown, id,
                      DescribeRefusal(answer.body));
}

}  // namespace

CtlExit RunChange(CtlClient* client, const CtlOptions& options) {
  const std::string& path = options.arguments.at(0);
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "bramleyctl: cannot read " << path << "\n";
    return kCtlUsage;
  }
  json change = TryParseJson(text.str());
  if (!change.is_object()) {
    return PrintFailure(options, kCtlRefused, options.id,
                        path + " does not hold a JSON object");
  }
  if (!options.id.empty()) {
    change["id"] = options.id;
  } else if (!change.contains("id")) {
    change["id"] = IdFromContent(change);
  } else if (!change["id"].is_string()) {
    return PrintFailure(options, kCtlRefused, "", "\"id\" is not a string");
  }
  return SendChange(client, options, std::move(change));
}

CtlExit RunDrainEndpoint(CtlClient* client, const CtlOptions& options) {
  std::random_device device;
  const uint64_t random = (uint64_t{device()} << 32U) | device();
  return SendChange(client, options,
                    {{"id", options.id.empty() ? HexId(random) : options.id},
                     {"action", "mark_leaving"},
                     {"endpoint", {{"address", options.arguments.at(0)}}}});
}

CtlExit RunConfirmations(CtlClient* client, const CtlOptions& options) {
  const std::string& number = options.arguments.at(0);
  if (number.empty() || !std::ranges::all_of(number, [](char c) {
        return c >= '0' && c <= '9';
      })) {
    std::cerr << "bramleyctl: \"" << number << "\" is not a whole number\n";
    return kCtlUsage;
  }
  const CtlAnswer answer =
      client->Send({.path = "/config/confirmations?number=" + number});
  if (answer.status == 0) {
    return kCtlNoAnswer;
  }
  if (answer.status != 200) {
    std::cout << (options.json
                      ? answer.body
                      : "Refused: " + DescribeRefusal(answer.body) + ".")
              << "\n";
    return kCtlRefused;
  }
  const json value = ParseJson(answer.body);
  std::cout << (options.json ? value.dump() + "\n"
                             : DescribeConfirmations(value));
  return IsInForce(value) ? kCtlOk : kCtlNotInForce;
}

}  // namespace bramleybank
