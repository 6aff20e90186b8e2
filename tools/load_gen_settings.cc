// Settings of the load tool.
#include "load_gen_settings.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>

#include "bramleybank/version.h"
#include "config_ini_reader.h"
#include "tool_options.h"

namespace bramleybank {
namespace {

constexpr int kExitUsage = 2;
constexpr double kMaxSeconds = 30 * 86400.0;
constexpr int64_t kMaxCount = std::numeric_limits<int64_t>::max();

constexpr char kHelp[] =
    "Open-loop load tool of bramleybank; checks every answer.\n\n"
    "Usage: load_gen --config=FILE [options]\n"
    "       load_gen --once --targets=LIST [--max-tokens=N] [--prompt=TEXT]\n"
    "  --config=FILE     settings (INI); options below take precedence\n"
    "  --check-config    check the settings and exit\n"
    "  --targets=LIST    addresses ip:port, separated by commas\n"
    "  --rate=X          requests per second\n"
    "  --duration=X      seconds\n"
    "  --requests=N      number of requests\n"
    "  --seed=N          seed of arrivals, sizes and keys\n"
    "  --model=NAME      model to request\n"
    "  --once            send one streamed generation, print each resume\n"
    "  --max-tokens=N    tokens of short generations and of --once\n"
    "  --prompt=TEXT     prompt of --once\n"
    "  --help            print this text and exit\n"
    "  --version         print the version and exit\n";

constexpr std::array<option, 14> kOptions = {
    {{"config", required_argument, nullptr, 'c'},
     {"check-config", no_argument, nullptr, 'k'},
     {"targets", required_argument, nullptr, 't'},
     {"rate", required_argument, nullptr, 'r'},
     {"duration", required_argument, nullptr, 'd'},
     {"requests", required_argument, nullptr, 'n'},
     {"seed", required_argument, nullptr, 's'},
     {"model", required_argument, nullptr, 'm'},
     {"once", no_argument, nullptr, 'o'},
     {"max-tokens", required_argument, nullptr, 'x'},
     {"prompt", required_argument, nullptr, 'p'},
     {"help", no_argument, nullptr, 'h'},
     {"version", no_argument, nullptr, 'v'},
     {nullptr, 0, nullptr, 0}}};

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) {
    const size_t first = part.find_first_not_of(' ');
    if (first != std::string::npos) {
      parts.push_back(
          part.substr(first, part.find_last_not_of(' ') - first + 1));
    }
  }
  return parts;
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

Duration ReadSeconds(IniReader* ini, const char* key, Duration fallback) {
  return FromSeconds(ini->Double("load", key,
                                 static_cast<double>(fallback.count()) / 1e6, 0,
                                 kMaxSeconds));
}

uint64_t ReadCount(IniReader* ini,
                   const char* key,
                   uint64_t fallback,
                   int64_t min) {
  return static_cast<uint64_t>(
      ini->Int("load", key, static_cast<int64_t>(fallback), min, kMaxCount));
}

double ReadShare(IniReader* ini, const char* key, double fallback) {
  return ini->Double("load", key, fallback, 0, 1);
}

void ReadFile(IniReader* ini, LoadSettings* out) {
  out->targets = SplitList(ini->RequiredString("targets", "addresses"));
  out->rate = ini->Double("load", "rate", out->rate, 0.001, 1e6);
  out->duration = ReadSeconds(ini, "duration_s", out->duration);
  out->requests = ReadCount(ini, "requests", out->requests, 0);
  out->seed = ReadCount(ini, "seed", out->seed, 0);
  out->model = ini->String("load", "model", out->model);
  out->adapter = ini->String("load", "adapter", out->adapter);
  out->customers = static_cast<int>(
      ini->Int("load", "customers", out->customers, 1, 1000000));
  out->customer_skew =
      ini->Double("load", "customer_skew", out->customer_skew, 0, 10);
  out->long_share = ReadShare(ini, "long_share", out->long_share);
  out->short_tokens = ReadCount(ini, "short_tokens", out->short_tokens, 1);
  out->long_tokens = ReadCount(ini, "long_tokens", out->long_tokens, 1);
  out->prompt_bytes = static_cast<uint64_t>(
      ini->Int("load", "prompt_bytes", static_cast<int64_t>(out->prompt_bytes),
               1, 900000));
  out->prompt_groups = static_cast<int>(
      ini->Int("load", "prompt_groups", out->prompt_groups, 1, 1000000));
  out->chat_share = ReadShare(ini, "chat_share", out->chat_share);
  out->service_share = ReadShare(ini, "service_share", out->service_share);
  out->lookup_share = ReadShare(ini, "lookup_share", out->lookup_share);
  out->service = ini->String("load", "service", out->service);
  out->booking_path = ini->String("load", "booking_path", out->booking_path);
  out->lookup_path = ini->String("load", "lookup_path", out->lookup_path);
  out->reconnect_limit =
      ReadSeconds(ini, "reconnect_limit_s", out->reconnect_limit);
  out->stall_timeout = ReadSeconds(ini, "stall_timeout_s", out->stall_timeout);
  out->connect_timeout =
      ReadSeconds(ini, "connect_timeout_s", out->connect_timeout);
  out->drain_limit = ReadSeconds(ini, "drain_limit_s", out->drain_limit);
}

[[noreturn]] void ExitUsage(const std::string& message) {
  std::cerr << "load_gen: " << message << "; see --help\n";
  std::exit(kExitUsage);
}

double ParseNumber(const char* name, const std::string& text, double min) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(value >= min) || value > 1e15) {
    ExitUsage("--" + std::string(name) + " expects a number of at least " +
              std::to_string(min));
  }
  return value;
}

void ApplyOption(int opt, const std::string& text, LoadSettings* out) {
  switch (opt) {
    case 't':
      out->targets = SplitList(text);
      break;
    case 'r':
      out->rate = ParseNumber("rate", text, 0.001);
      break;
    case 'd':
      out->duration = FromSeconds(ParseNumber("duration", text, 0));
      break;
    case 'n':
      out->requests = static_cast<uint64_t>(ParseNumber("requests", text, 0));
      break;
    case 's':
      out->seed = static_cast<uint64_t>(ParseNumber("seed", text, 0));
      break;
    case 'm':
      out->model = text;
      break;
    case 'o':
      out->once = true;
      break;
    case 'x':
      out->short_tokens =
          static_cast<uint64_t>(ParseNumber("max-tokens", text, 1));
      break;
    case 'p':
      out->prompt = text;
      break;
    default:
      ExitUsage("unknown option");
  }
}

}  // namespace

LoadSettings ReadLoadSettings(int argc, char** argv) {
  ToolOptions options;
  std::vector<std::pair<int, std::string>> overrides;
  int opt = 0;
  while ((opt = getopt_long(argc, argv, "c:h", kOptions.data(), nullptr)) !=
         -1) {
    if (opt == 'h') {
      std::cout << kHelp;
      std::exit(0);
    }
    if (opt == 'v') {
      std::cout << kVersion << "\n";
      std::exit(0);
    }
    if (opt == 'c') {
      options.config = optarg;
    } else if (opt == 'k') {
      options.check_config = true;
    } else {
      overrides.emplace_back(opt, optarg != nullptr ? optarg : "");
    }
  }
  LoadSettings out;
  std::vector<SettingError> errors;
  if (!options.config.empty()) {
    IniReader ini(options.config);
    ReadFile(&ini, &out);
    errors = ini.Finish();
  }
  ExitOnSettingErrors(options, errors);
  for (const auto& [option, text] : overrides) {
    ApplyOption(option, text, &out);
  }
  if (optind != argc || out.targets.empty()) {
    ExitUsage("expected --targets or --config");
  }
  if (!out.once && out.duration.count() == 0 && out.requests == 0) {
    ExitUsage("expected a duration or a number of requests");
  }
  return out;
}

}  // namespace bramleybank
