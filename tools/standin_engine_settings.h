// Settings of the engine stand-in.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_ENGINE_SETTINGS_H_
#define BRAMLEYBANK_TOOLS_STANDIN_ENGINE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hooks.h"

namespace bramleybank {

struct SettingError;

}  // namespace bramleybank

namespace bramleybank::standin {

/// Sections [listen] and [engine] of the INI file.
struct EngineSettings {
  std::string ip = "127.0.0.1";
  /// 0 binds a free port.
  uint16_t port = 9000;
  std::string model = "writer";
  std::string version = "v1";
  std::string adapter;
  int slots = 32;
  /// Time between tokens of one stream up to `batch_knee` running streams.
  Duration token_interval{30000};
  int batch_knee = 16;
  /// Above the knee the interval grows by this fraction of `token_interval` for
  /// each further `batch_knee` streams.
  double batch_slope = 0.5;
  double prefill_tokens_per_s = 8000;
  /// How long a stream continues without a reader, and how long it is kept
  /// after its end.
  Duration hold_time{10000000};
  Duration load_report_lag{500000};
  int64_t cache_tokens = 65536;
  Duration cache_event_lag{500000};
  /// Every n-th cache event is dropped; 0 drops none.
  int cache_event_gap_every = 0;
  bool checks_fencing = true;
  /// 0 takes a random seed from the operating system.
  uint64_t seed = 0;
};

/// @param errors set to all errors in the file.
EngineSettings ReadEngineSettings(const std::string& file,
                                  std::vector<SettingError>* errors);

}  // namespace bramleybank::standin

#endif  // BRAMLEYBANK_TOOLS_STANDIN_ENGINE_SETTINGS_H_
