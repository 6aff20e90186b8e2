// Settings of the load tool, from an INI file and the command line.
#ifndef BRAMLEYBANK_TOOLS_LOAD_GEN_SETTINGS_H_
#define BRAMLEYBANK_TOOLS_LOAD_GEN_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// Sections [targets] and [load]. Shares are from 0 to 1.
struct LoadSettings {
  /// "ip:port" of each daemon.
  std::vector<std::string> targets;
  /// Requests per second; arrivals are random and do not wait for answers.
  double rate = 10;
  /// The load ends when `duration` or `requests` is reached; 0 means no limit.
  Duration duration{0};
  uint64_t requests = 0;
  uint64_t seed = 1;
  std::string model = "writer";
  /// Adapter assumed for answers that name none, such as those of an engine.
  std::string adapter;
  /// The load of customer k is proportional to 1 / k^skew.
  int customers = 10;
  double customer_skew = 1.2;
  /// Share of generations with `long_tokens` instead of `short_tokens`.
  double long_share = 0.07;
  uint64_t short_tokens = 64;
  uint64_t long_tokens = 1024;
  uint64_t prompt_bytes = 600;
  /// Number of different prompt prefixes; a prefix is 3/4 of the prompt.
  int prompt_groups = 16;
  double chat_share = 0.3;
  /// Share of plain-service calls among all requests, and of lookups among
  /// those; the others are non-idempotent.
  double service_share = 0;
  double lookup_share = 0.5;
  std::string service = "desk";
  std::string booking_path = "/bookings";
  std::string lookup_path = "/status";
  /// Time after a lost connection within which the request is retried.
  Duration reconnect_limit{30000000};
  /// A connection that delivers no byte for this long is treated as lost; 0
  /// means never.
  Duration stall_timeout{10000000};
  Duration connect_timeout{800000};
  /// Time to wait for open answers after the last request.
  Duration drain_limit{120000000};
  /// Sends one generation of `short_tokens` and prints each resume.
  bool once = false;
  std::string prompt;
};

/// Parses the command line and the file that it names. `--help`, `--version`,
/// `--check-config` and errors end the process.
LoadSettings ReadLoadSettings(int argc, char** argv);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_LOAD_GEN_SETTINGS_H_
