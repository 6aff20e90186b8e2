// Faults that the platform stand-in is told to show.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_FAULTS_H_
#define BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_FAULTS_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace bramleybank {

enum class OutageMode {
  kNone,
  /// Connections are accepted and requests never answered.
  kSilent,
  /// Connections are refused (with a control port) or closed at once.
  kRefuse,
};

/// Current faults; all are off by default.
struct PlatformFaults {
  OutageMode outage = OutageMode::kNone;
  int64_t delay_ms = 0;
  /// Answers of this many writes are lost after the write took effect.
  int64_t lose_answers = 0;
  /// Lost answers end in a closed connection instead of silence.
  bool lose_by_close = false;
  /// This many writes take effect only hold_ms after their connection closed.
  int64_t hold_writes = 0;
  int64_t hold_ms = 0;

  friend bool operator==(const PlatformFaults&,
                         const PlatformFaults&) = default;
};

/// Changes the faults that `control` names; `"clear": true` resets all first.
/// @throws nlohmann::json::exception for a field of a wrong type.
void ApplyPlatformControl(const nlohmann::json& control,
                          PlatformFaults* faults);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_PLATFORM_FAULTS_H_
