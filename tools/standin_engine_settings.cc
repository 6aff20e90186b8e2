// Reads the settings of the engine stand-in.
#include "standin_engine_settings.h"

#include <limits>

#include "config_ini_reader.h"

namespace bramleybank::standin {
namespace {

constexpr double kMaxMilliseconds = 3600000;

Duration ReadMilliseconds(IniReader* ini, const char* key, Duration fallback) {
  const double ms =
      ini->Double("engine", key, static_cast<double>(fallback.count()) / 1000,
                  0, kMaxMilliseconds);
  return Duration(static_cast<int64_t>(ms * 1000));
}

}  // namespace

EngineSettings ReadEngineSettings(const std::string& file,
                                  std::vector<SettingError>* errors) {
  IniReader ini(file);
  EngineSettings out;
  out.ip = ini.Ip("listen", "ip", out.ip);
  out.port =
      static_cast<uint16_t>(ini.Int("listen", "port", out.port, 0, 65535));
  out.model = ini.String("engine", "model", out.model);
  out.version = ini.String("engine", "version", out.version);
  out.adapter = ini.String("engine", "adapter", out.adapter);
  out.slots = static_cast<int>(ini.Int("engine", "slots", out.slots, 1, 65536));
  out.token_interval =
      ReadMilliseconds(&ini, "token_interval_ms", out.token_interval);
  out.batch_knee = static_cast<int>(
      ini.Int("engine", "batch_knee", out.batch_knee, 1, 65536));
  out.batch_slope =
      ini.Double("engine", "batch_slope", out.batch_slope, 0, 1000);
  out.prefill_tokens_per_s = ini.Double("engine", "prefill_tokens_per_s",
                                        out.prefill_tokens_per_s, 1, 1e9);
  out.hold_time = ReadMilliseconds(&ini, "hold_time_ms", out.hold_time);
  out.load_report_lag =
      ReadMilliseconds(&ini, "load_report_lag_ms", out.load_report_lag);
  out.cache_tokens =
      ini.Int("engine", "cache_tokens", out.cache_tokens, 0, 1LL << 40U);
  out.cache_event_lag =
      ReadMilliseconds(&ini, "cache_event_lag_ms", out.cache_event_lag);
  out.cache_event_gap_every = static_cast<int>(ini.Int(
      "engine", "cache_event_gap_every", out.cache_event_gap_every, 0, 65536));
  out.checks_fencing = ini.Bool("engine", "checks_fencing", out.checks_fencing);
  out.seed = static_cast<uint64_t>(
      ini.Int("engine", "seed", 0, 0, std::numeric_limits<int64_t>::max()));
  *errors = ini.Finish();
  return out;
}

}  // namespace bramleybank::standin
