// Applies the JSON body of POST /control to the faults.
#include "standin_service_faults.h"

#include <nlohmann/json.hpp>
#include <string>

namespace bramleybank {

void ApplyServiceControl(const nlohmann::json& control, ServiceFaults* faults) {
  if (control.value("clear", false)) {
    *faults = ServiceFaults();
  }
  if (control.contains("close")) {
    const auto close = control.at("close").get<std::string>();
    faults->close_point = close == "before_run"  ? ClosePoint::kBeforeRun
                          : close == "after_run" ? ClosePoint::kAfterRun
                                                 : ClosePoint::kNone;
  }
  faults->delay_before_run_ms =
      control.value("delay_before_run_ms", faults->delay_before_run_ms);
  faults->delay_before_answer_ms =
      control.value("delay_before_answer_ms", faults->delay_before_answer_ms);
  faults->truncate = control.value("truncate", faults->truncate);
  faults->refuse = control.value("refuse", faults->refuse);
  faults->answer_bytes = control.value("answer_bytes", faults->answer_bytes);
}

}  // namespace bramleybank
