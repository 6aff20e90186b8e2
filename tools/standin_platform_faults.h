// Faults injected into the platform stand-in.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_FAULTS_H_
#define BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_FAULTS_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace bramleybank {

enum class OutageMode {
  kNone,
  /// Connections are accepted, but requests are never answered.
  kSilent,
  /// Connections are refused if there is a control port; otherwise each request
  /// closes its connection without an answer.
  kRefuse,
};

/// Active faults; all are off by default.
struct PlatformFaults {
  OutageMode outage = OutageMode::kNone;
  int64_t delay_ms = 0;
  /// Number of writes that take effect but whose answer is lost.
  int64_t lose_answers = 0;
  /// The connection of a lost answer is closed instead of left open.
  bool lose_by_close = false;
  /// Number of writes that take effect only hold_ms after their connection
  /// closes.
  int64_t hold_writes = 0;
  int64_t hold_ms = 0;

  friend bool operator==(const PlatformFaults&,
                         const PlatformFaults&) = default;
};

/// Changes the faults that `control` contains; `"clear": true` resets all
/// first.
/// @throws nlohmann::json::exception when a field has the wrong type.
void ApplyPlatformControl(const nlohmann::json& control,
                          PlatformFaults* faults);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_FAULTS_H_
