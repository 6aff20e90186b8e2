// Faults injected into the service stand-in.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_SERVICE_FAULTS_H_
#define BRAMLEYBANK_TOOLS_STANDIN_SERVICE_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace bramleybank {

/// Point at which the service closes the connection of a request.
enum class ClosePoint {
  kNone,
  /// The connection closes after the request is read and before it runs.
  kBeforeRun,
  /// The request runs, and the connection closes without an answer.
  kAfterRun,
};

/// Active faults; all are off by default.
struct ServiceFaults {
  int64_t delay_before_run_ms = 0;
  int64_t delay_before_answer_ms = 0;
  ClosePoint close_point = ClosePoint::kNone;
  /// The connection closes in the middle of the answer.
  bool truncate = false;
  /// Connections are refused; requires a control port.
  bool refuse = false;
  /// Length in bytes to which answers are padded.
  size_t answer_bytes = 0;

  friend bool operator==(const ServiceFaults&, const ServiceFaults&) = default;
};

/// Changes the faults that `control` contains; `"clear": true` resets all
/// first.
/// @throws nlohmann::json::exception when a field has the wrong type.
void ApplyServiceControl(const nlohmann::json& control, ServiceFaults* faults);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_SERVICE_FAULTS_H_
