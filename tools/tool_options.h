// Command-line options that all tools share.
#ifndef BRAMLEYBANK_TOOLS_TOOL_OPTIONS_H_
#define BRAMLEYBANK_TOOLS_TOOL_OPTIONS_H_

#include <string>
#include <string_view>
#include <vector>

namespace bramleybank {

struct SettingError;

/// What the command line asks for.
struct ToolOptions {
  std::string config;
  bool check_config = false;

  friend bool operator==(const ToolOptions&, const ToolOptions&) = default;
};

/// Parses `--config=FILE --check-config --help --version`. Help, version and
/// wrong options end the process.
/// @param purpose one sentence for --help.
ToolOptions ParseToolOptions(int argc, char** argv, std::string_view purpose);

/// Prints the errors, if any. Ends the process when there are errors (exit
/// code 2) or when only a check was asked for (exit code 0).
void ExitOnSettingErrors(const ToolOptions& options,
                         const std::vector<SettingError>& errors);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_TOOL_OPTIONS_H_
