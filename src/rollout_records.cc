// JSON encoding of decisions and reports.
#include "rollout_records.h"

#include <nlohmann/json.hpp>

namespace bramleybank {
namespace {

using Json = nlohmann::json;

Json TallyJson(const VersionTally& tally) {
  return Json::array({tally.good, tally.bad});
}

VersionTally ParseTally(const Json& json) {
  return {.good = json.at(0).get<int64_t>(), .bad = json.at(1).get<int64_t>()};
}

}  // namespace

std::string EncodeDecision(const RolloutDecision& decision) {
  return Json{{"order", decision.order_id},
              {"phase", NameOf(decision.phase)},
              {"driver", decision.driver},
              {"started_us", decision.started.count()},
              {"published", decision.published}}
      .dump();
}

std::optional<RolloutDecision> DecodeDecision(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    const auto phase = ParseRolloutPhase(json.at("phase").get<std::string>());
    if (!phase) {
      return std::nullopt;
    }
    return RolloutDecision{
        .order_id = json.at("order").get<uint64_t>(),
        .phase = *phase,
        .driver = json.at("driver").get<std::string>(),
        .started = Duration(json.at("started_us").get<int64_t>()),
        .published = json.at("published").get<bool>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeReport(const RolloutReport& report) {
  Json routes = Json::object();
  for (const auto& [route, tally] : report.evidence) {
    routes[route] = {{"old", TallyJson(tally.old_version)},
                     {"new", TallyJson(tally.new_version)}};
  }
  return Json{{"order", report.order_id}, {"routes", routes}}.dump();
}

std::optional<RolloutReport> DecodeReport(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    RolloutReport report{.order_id = json.at("order").get<uint64_t>(),
                         .evidence = {}};
    for (const auto& [route, tally] : json.at("routes").items()) {
      report.evidence[route] = {.old_version = ParseTally(tally.at("old")),
                                .new_version = ParseTally(tally.at("new"))};
    }
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace bramleybank
