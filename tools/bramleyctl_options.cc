// Reads the command line and settings of bramleyctl.
#include "bramleyctl_options.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string_view>

#include "bramleybank/version.h"
#include "bramleyctl_exit.h"
#include "config_ini_reader.h"
#include "member_message.h"

namespace bramleybank {
namespace {

constexpr int kMaxWaitSeconds = 3600;

constexpr char kHelp[] =
    "Command-line tool for operators of bramleybank.\n\n"
    "Usage: bramleyctl [options] COMMAND [arguments]\n"
    "Commands:\n"
    "  status                  configuration in force, members, open streams\n"
    "  members                 every member with its state\n"
    "  confirmations NUMBER    where a configuration number is in force\n"
    "  change FILE.json        send one configuration change, wait for it\n"
    "  drain-endpoint ADDRESS  mark an endpoint as leaving, wait for it\n"
    "  call SERVICE KEY        outcome of a non-idempotent call\n"
    "  explain CODE            meaning of a result code or log event\n"
    "  metrics [PREFIX]        metrics of one daemon\n"
    "Options:\n"
    "  --target=IP:PORT    operator port of a daemon; may be repeated, the\n"
    "                      first that answers is used\n"
    "  --config=FILE       settings (INI): [operator] targets = list\n"
    "  --check-config      check the settings and exit\n"
    "  --json              print JSON\n"
    "  --wait=SECONDS      longest wait for a change, 0 to 3600 (15)\n"
    "  --id=ID             id of a change; an id is applied only once\n"
    "  --customer=NAME     customer that sent the call\n"
    "  --caller=IP:PORT    caller port of a daemon, for call\n"
    "  --help              print this text\n"
    "  --version           print the version\n"
    "Exit codes: 0 done, 2 usage, 3 invalid settings, 4 no target answered,\n"
    "5 refused, 6 unknown whether accepted (repeat the command), 7 accepted\n"
    "but not in force on every live member yet, 8 unknown code.\n";

constexpr std::array<option, 11> kOptions = {
    {{"target", required_argument, nullptr, 't'},
     {"config", required_argument, nullptr, 'c'},
     {"check-config", no_argument, nullptr, 'k'},
     {"json", no_argument, nullptr, 'j'},
     {"wait", required_argument, nullptr, 'w'},
     {"id", required_argument, nullptr, 'i'},
     {"customer", required_argument, nullptr, 'u'},
     {"caller", required_argument, nullptr, 'a'},
     {"help", no_argument, nullptr, 'h'},
     {"version", no_argument, nullptr, 'v'},
     {nullptr, 0, nullptr, 0}}};

[[noreturn]] void ExitUsage(const std::string& message) {
  std::cerr << "bramleyctl: " << message << "; see --help\n";
  std::exit(kCtlUsage);
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    const size_t first = part.find_first_not_of(' ');
    if (first != std::string::npos) {
      parts.push_back(
          part.substr(first, part.find_last_not_of(' ') - first + 1));
    }
  }
  return parts;
}

std::string AddressOption(const char* name, const std::string& text) {
  if (!IsPeerAddress(text)) {
    ExitUsage(std::string("--") + name + "=" + text +
              ": expected an IPv4 address and port");
  }
  return text;
}

std::chrono::seconds WaitOption(std::string_view text) {
  int value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0 ||
      value > kMaxWaitSeconds) {
    ExitUsage("--wait expects a whole number from 0 to 3600");
  }
  return std::chrono::seconds(value);
}

std::vector<std::string> ReadTargets(const std::string& file) {
  IniReader ini(file);
  std::vector<std::string> targets =
      SplitList(ini.RequiredString("operator", "targets"));
  for (const std::string& target : targets) {
    if (!IsPeerAddress(target)) {
      ini.AddError("operator", "targets",
                   "IPv4 addresses with ports, separated by commas");
      break;
    }
  }
  const std::vector<SettingError> errors = ini.Finish();
  for (const SettingError& error : errors) {
    std::cerr << FormatSettingError(error) << "\n";
  }
  if (!errors.empty()) {
    std::exit(kCtlSettings);
  }
  return targets;
}

void CheckCommand(const CtlOptions& options) {
  struct CommandSpec {
    std::string_view command;
    size_t min_arguments;
    size_t max_arguments;
    bool needs_target;
  };
  static constexpr std::array<CommandSpec, 8> kCommandSpecs{
      {{"status", 0, 0, true},
       {"members", 0, 0, true},
       {"confirmations", 1, 1, true},
       {"change", 1, 1, true},
       {"drain-endpoint", 1, 1, true},
       {"call", 2, 2, false},
       {"explain", 1, 1, false},
       {"metrics", 0, 1, true}}};
  for (const CommandSpec& spec : kCommandSpecs) {
    if (spec.command != options.command) {
      continue;
    }
    if (options.arguments.size() < spec.min_arguments ||
        options.arguments.size() > spec.max_arguments) {
      ExitUsage(options.command + ": wrong number of arguments");
    }
    if (spec.needs_target && options.targets.empty()) {
      ExitUsage(options.command + ": expected --target or --config");
    }
    if (options.command == "call" && options.caller.empty()) {
      ExitUsage("call: expected --caller");
    }
    return;
  }
  ExitUsage(options.command.empty() ? "expected a command"
                                    : "unknown command " + options.command);
}

}  // namespace

CtlOptions ReadCtlOptions(int argc, char** argv) {
  CtlOptions options;
  std::string config;
  bool check_only = false;
  int opt = 0;
  while ((opt = getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1) {
    switch (opt) {
      case 't':
        options.targets.push_back(AddressOption("target", optarg));
        break;
      case 'c':
        config = optarg;
        break;
      case 'k':
        check_only = true;
        break;
      case 'j':
        options.json = true;
        break;
      case 'w':
        options.wait = WaitOption(optarg);
        break;
      case 'i':
        options.id = optarg;
        break;
      case 'u':
        options.customer = optarg;
        break;
      case 'a':
        options.caller = AddressOption("caller", optarg);
        break;
      case 'h':
        std::cout << kHelp;
        std::exit(kCtlOk);
      case 'v':
        std::cout << kVersion << "\n";
        std::exit(kCtlOk);
      default:
        std::exit(kCtlUsage);
    }
  }
  if (check_only && config.empty()) {
    ExitUsage("--check-config needs --config");
  }
  if (!config.empty()) {
    for (std::string& target : ReadTargets(config)) {
      options.targets.push_back(std::move(target));
    }
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    std::exit(kCtlOk);
  }
  if (optind < argc) {
    options.command = argv[optind];
    options.arguments.assign(argv + optind + 1, argv + argc);
  }
  CheckCommand(options);
  return options;
}

}  // namespace bramleybank
