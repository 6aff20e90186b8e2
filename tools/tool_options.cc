// Command-line options shared by the tools.
#include "tool_options.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>

#include "bramleybank/version.h"
#include "config_ini_reader.h"

namespace bramleybank {
namespace {

constexpr int kExitUsage = 2;

void PrintHelp(std::string_view program, std::string_view purpose) {
  std::cout << purpose << "\n\nUsage: " << program
            << " --config=FILE [--check-config]\n"
               "  --config=FILE   settings (INI)\n"
               "  --check-config  check the settings and exit\n"
               "  --help          print this text and exit\n"
               "  --version       print the version and exit\n";
}

}  // namespace

ToolOptions ParseToolOptions(int argc, char** argv, std::string_view purpose) {
  static constexpr std::array<option, 5> kOptions = {
      {{"config", required_argument, nullptr, 'c'},
       {"check-config", no_argument, nullptr, 'k'},
       {"help", no_argument, nullptr, 'h'},
       {"version", no_argument, nullptr, 'v'},
       {nullptr, 0, nullptr, 0}}};
  ToolOptions options;
  int opt = 0;
  while ((opt = getopt_long(argc, argv, "c:h", kOptions.data(), nullptr)) !=
         -1) {
    switch (opt) {
      case 'c':
        options.config = optarg;
        break;
      case 'k':
        options.check_config = true;
        break;
      case 'h':
        PrintHelp(argv[0], purpose);
        std::exit(0);
      case 'v':
        std::cout << kVersion << "\n";
        std::exit(0);
      default:
        std::exit(kExitUsage);
    }
  }
  if (options.config.empty() || optind != argc) {
    std::cerr << argv[0] << ": expected --config=FILE; see --help\n";
    std::exit(kExitUsage);
  }
  return options;
}

void ExitOnSettingErrors(const ToolOptions& options,
                         const std::vector<SettingError>& errors) {
  for (const SettingError& error : errors) {
    std::cerr << FormatSettingError(error) << "\n";
  }
  if (!errors.empty()) {
    std::exit(kExitUsage);
  }
  if (options.check_config) {
    std::cout << "settings are valid\n";
    std::exit(0);
  }
}

}  // namespace bramleybank
