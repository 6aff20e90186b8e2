// Applies the JSON body of POST /control to the faults.
#include "standin_platform_faults.h"

#include <nlohmann/json.hpp>
#include <string>

namespace bramleybank {

void ApplyPlatformControl(const nlohmann::json& control,
                          PlatformFaults* faults) {
  if (control.value("clear", false)) {
    *faults = PlatformFaults();
  }
  if (control.contains("down")) {
    const auto down = control.at("down").get<std::string>();
    faults->outage = down == "silent"   ? OutageMode::kSilent
                     : down == "refuse" ? OutageMode::kRefuse
                                        : OutageMode::kNone;
  }
  faults->delay_ms = control.value("delay_ms", faults->delay_ms);
  faults->lose_answers = control.value("lose_answers", faults->lose_answers);
  faults->lose_by_close = control.value("lose_by_close", faults->lose_by_close);
  faults->hold_writes = control.value("hold_writes", faults->hold_writes);
  faults->hold_ms = control.value("hold_ms", faults->hold_ms);
}

}  // namespace bramleybank
