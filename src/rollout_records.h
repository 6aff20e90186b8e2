// Encoding of the rows through which gateways coordinate a rollout.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_RECORDS_H_
#define BRAMLEYBANK_SRC_ROLLOUT_RECORDS_H_

#include <optional>
#include <string>

#include "rollout_order.h"

namespace bramleybank {

/// Table that holds the decisions and reports.
inline constexpr char kRolloutTable[] = "rollouts";

/// One gateway's evidence for one order.
struct RolloutReport {
  RolloutOrderRef order;
  RolloutEvidence evidence;

  friend bool operator==(const RolloutReport&, const RolloutReport&) = default;
};

std::string EncodeDecision(const RolloutDecision& decision);
/// @returns nothing when the text is not a decision.
std::optional<RolloutDecision> DecodeDecision(const std::string& text);

std::string EncodeReport(const RolloutReport& report);
/// @returns nothing when the text is not a report.
std::optional<RolloutReport> DecodeReport(const std::string& text);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_RECORDS_H_
