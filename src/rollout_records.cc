// JSON encoding of decisions and reports.
#include "rollout_records.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <vector>

#include "bramleybank/limits.h"
#include "json_parse.h"

namespace bramleybank {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kMaxVersion = std::numeric_limits<uint64_t>::max();
// Sums over all gateways must not overflow.
constexpr uint64_t kMaxTally = 1'000'000'000'000;
constexpr uint64_t kMaxStarted = Duration(kMaxStoreTime).count();
constexpr uint64_t kMaxOrderDuration = Duration(kMaxConfiguredTime).count();

Json TallyJson(const VersionTally& tally) {
  return Json::array({tally.good, tally.bad});
}

VersionTally ParseTally(const Json& json) {
  const auto count = [](const Json& number) {
    return static_cast<int64_t>(WholeNumber(number, kMaxTally));
  };
  return {.good = count(json.at(0)), .bad = count(json.at(1))};
}

/// Adds `ref` to a row. Earlier releases read the number only.
void PutOrder(const RolloutOrderRef& ref, Json* row) {
  (*row)["order"] = ref.id.number;
  (*row)["era"] = ref.id.era;
  (*row)["to"] = ref.version;
  (*row)["duration_us"] = ref.duration.count();
}

RolloutOrderRef ParseOrder(const Json& row) {
  RolloutOrderRef ref{.id = WholeNumber(row.at("order"), kMaxVersion)};
  if (row.contains("to")) {
    ref.id.era = WholeNumber(row.at("era"), kMaxVersion);
    ref.version = row.at("to").get<std::string>();
    ref.duration = Duration(static_cast<int64_t>(
        WholeNumber(row.at("duration_us"), kMaxOrderDuration)));
  }
  return ref;
}

std::vector<StoreVersion> ParseEarlierIds(const Json& row) {
  std::vector<StoreVersion> ids;
  if (row.contains("earlier")) {
    for (const Json& id : row.at("earlier")) {
      ids.emplace_back(WholeNumber(id.at(1), kMaxVersion),
                       WholeNumber(id.at(0), kMaxVersion));
    }
  }
  return ids;
}

}  // namespace

std::string EncodeDecision(const RolloutDecision& decision) {
  Json row{{"phase", NameOf(decision.phase)},
           {"driver", decision.driver},
           {"started_us", decision.started.count()},
           {"published", decision.published}};
  PutOrder(decision.order, &row);
  for (const StoreVersion& id : decision.earlier_ids) {
    row["earlier"].push_back(Json::array({id.era, id.number}));
  }
  return row.dump();
}

std::optional<RolloutDecision> DecodeDecision(const std::string& text) {
  try {
    const Json json = ParseJson(text);
    const auto phase = ParseRolloutPhase(json.at("phase").get<std::string>());
    if (!phase) {
      return std::nullopt;
    }
    return RolloutDecision{.order = ParseOrder(json),
                           .earlier_ids = ParseEarlierIds(json),
                           .phase = *phase,
                           .driver = json.at("driver").get<std::string>(),
                           .started = Duration(static_cast<int64_t>(WholeNumber(
                               json.at("started_us"), kMaxStarted))),
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
  Json row{{"routes", routes}};
  PutOrder(report.order, &row);
  return row.dump();
}

std::optional<RolloutReport> DecodeReport(const std::string& text) {
  try {
    const Json json = ParseJson(text);
    RolloutReport report{.order = ParseOrder(json), .evidence = {}};
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
