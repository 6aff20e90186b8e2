// Faults that the service stand-in is told to show.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_SERVICE_FAULTS_H_
#define BRAMLEYBANK_TOOLS_STANDIN_SERVICE_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace bramleybank {

enum class ClosePoint {
  kNone,
  /// The request is read, nothing runs, and the connection closes.
  kBeforeRun,
  /// The request runs and the connection closes without an answer.
  kAfterRun,
};

/// Current faults; all are off by default.
struct ServiceFaults {
  int64_t delay_before_run_ms = 0;
  int64_t delay_before_answer_ms = 0;
  ClosePoint close_point = ClosePoint::kNone;
  /// The connection closes in the middle of the answer.
  bool truncate = false;
  /// Connections are refused; needs a control port.
  bool refuse = false;
  /// Length to which answers are padded.
  size_t answer_bytes = 0;

  friend bool operator==(const ServiceFaults&, const ServiceFaults&) = default;
};

/// Changes the faults that `control` names; `"clear": true` resets all first.
/// @throws nlohmann::json::exception for a field of a wrong type.
void ApplyServiceControl(const nlohmann::json& control, ServiceFaults* faults);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_SERVICE_FAULTS_H_
