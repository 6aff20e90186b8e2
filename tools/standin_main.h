// Command line of the stand-ins: --config, --check-config, --version, --help.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_MAIN_H_
#define BRAMLEYBANK_TOOLS_STANDIN_MAIN_H_

#include <getopt.h>

#include <cstdio>
#include <string>
#include <vector>

#include "bramleybank/version.h"
#include "config_ini_reader.h"

namespace bramleybank {

/// What the command line asks for.
struct StandinCommandLine {
  /// Set when the program has nothing more to do: its exit code.
  int exit_code = -1;
  std::string config_file;
  bool check_only = false;
};

/// Reads the command line; prints help, version and faults itself.
inline StandinCommandLine ReadStandinCommandLine(int argc, char** argv) {
  static constexpr option kOptions[] = {
      {"config", required_argument, nullptr, 'c'},
      {"check-config", no_argument, nullptr, 'k'},
      {"version", no_argument, nullptr, 'v'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  StandinCommandLine line;
  int found = 0;
  while ((found = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    switch (found) {
      case 'c':
        line.config_file = optarg;
        break;
      case 'k':
        line.check_only = true;
        break;
      case 'v':
        std::printf("%s %s\n", argv[0], kVersion);
        line.exit_code = 0;
        return line;
      case 'h':
        std::printf(
            "usage: %s --config=FILE [--check-config] [--version] [--help]\n",
            argv[0]);
        line.exit_code = 0;
        return line;
      default:
        line.exit_code = 2;
        return line;
    }
  }
  if (line.config_file.empty()) {
    std::fprintf(stderr, "%s: --config=FILE is required\n", argv[0]);
    line.exit_code = 2;
  }
  return line;
}

/// Prints every fault. @returns whether there was none.
inline bool ReportSettingErrors(const std::vector<SettingError>& errors) {
  for (const SettingError& error : errors) {
    std::fprintf(stderr, "%s\n", FormatSettingError(error).c_str());
  }
  return errors.empty();
}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_MAIN_H_
