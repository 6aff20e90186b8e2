// Command-line options shared by the tools.
#ifndef BRAMLEYBANK_TOOLS_TOOL_OPTIONS_H_
#define BRAMLEYBANK_TOOLS_TOOL_OPTIONS_H_

#include <string>
#include <string_view>
#include <vector>

namespace bramleybank {

struct SettingError;

/// Parsed command line.
struct ToolOptions {
  /// Path of the settings file.
  std::string config;
  bool check_config = false;

  friend bool operator==(const ToolOptions&, const ToolOptions&) = default;
};

/// Parses `--config=FILE --check-config --help --version`. The process exits
/// after --help and --version, and with code 2 on invalid options.
/// @param purpose one sentence that --help prints first.
ToolOptions ParseToolOptions(int argc, char** argv, std::string_view purpose);

/// Prints the errors, if any. Exits the process with code 2 when there are
/// errors, and with code 0 when --check-config is set and there are none.
void ExitOnSettingErrors(const ToolOptions& options,
                         const std::vector<SettingError>& errors);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_TOOL_OPTIONS_H_
