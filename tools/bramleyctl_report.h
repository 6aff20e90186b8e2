// Formats answers of the daemons as short sentences.
#ifndef BRAMLEYBANK_TOOLS_BRAMLEYCTL_REPORT_H_
#define BRAMLEYBANK_TOOLS_BRAMLEYCTL_REPORT_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bramleybank {

/// Each function takes the JSON that a daemon sent, and throws
/// nlohmann::json::exception if a field is missing.
std::string DescribeStatus(const nlohmann::json& status);
std::string DescribeMembers(const nlohmann::json& status);
std::string DescribeConfirmations(const nlohmann::json& confirmations);
std::string DescribeCall(const nlohmann::json& call);

/// @param body of an answer with an error status.
/// @returns code, name and message if the body is a refusal of this system.
std::string DescribeRefusal(const std::string& body);

/// @returns "not_run" or "unknown"; empty if the body is not a refusal.
std::string RefusalOutcome(const std::string& body);

/// What `explain` prints about a number or name.
struct CodeMeaning {
  int number = 0;
  std::string name;
  std::string meaning;
  /// "result code" or "log event".
  std::string kind;

  friend bool operator==(const CodeMeaning&, const CodeMeaning&) = default;
};

/// @param code number or name of a result code or log event.
std::optional<CodeMeaning> ExplainCode(std::string_view code);

/// @returns the series whose name starts with `prefix`, from the text of
/// /metrics.
std::map<std::string, double> SelectMetrics(const std::string& text,
                                            std::string_view prefix);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_BRAMLEYCTL_REPORT_H_
