// JSON encoding of decisions and reports.
#include "rollout_records.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "bramleybank/limits.h"
#include "json_parse.h"

namespace bramleybank {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kMaxVersion = std::numeric_limits<uint64_t>::max();
// Sums over all gateways must not overflow.
constexpr uint64_t kMaxTally = 1'000'000'000'000;
constexpr uint64_t kMaxStarted = Duration(kMaxStoreTime).count();

Json TallyJson(const VersionTally& tally) {
  return Json::array({tally.good, tally.bad});
}

VersionTally ParseTally(const Json& json) {
  const auto count = [](const Json& number) {
    return static_cast<int64_t>(WholeNumber(number, kMaxTally));
  };
  return {.good = count(json.at(0)), .bad = count(json.at(1))};
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
    const Json json = ParseJson(text);
    const auto phase = ParseRolloutPhase(json.at("phase").get<std::string>());
    if (!phase) {
      return std::nullopt;
    }
    return RolloutDecision{
        .order_id = WholeNumber(json.at("order"), kMaxVersion),
        .phase = *phase,
        .driver = json.at("driver").get<std::string>(),
        .started = Duration(static_cast<int64_t>(
            WholeNumber(json.at("started_us"), kMaxStarted))),
        .published = json.at("published").get<bool>()};
  } catch (const std::exception&) {
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
    const Json json = ParseJson(text);
    RolloutReport report{.order_id = WholeNumber(json.at("order"), kMaxVersion),
                         .evidence = {}};
    for (const auto& [route, tally] : json.at("routes").items()) {
      report.evidence[route] = {.old_version = ParseTally(tally.at("old")),
                                .new_version = ParseTally(tally.at("new"))};
    }
    return report;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace bramleybank
