// Faults of one pair of the proxy.
#include "fault_proxy_faults.h"

#include <nlohmann/json.hpp>

namespace bramleybank {

std::string ApplyProxyFaults(const nlohmann::json& control,
                             ProxyFaults* faults) {
  if (!control.is_object()) {
    return "expected a JSON object";
  }
  ProxyFaults next = *faults;
  const auto set = [&](const char* key, auto* field) {
    *field = control.value(key, *field);
  };
  const auto set_ms = [&](const char* key, Duration* field) {
    const double ms = static_cast<double>(field->count()) / 1000;
    *field = Duration(static_cast<int64_t>(control.value(key, ms) * 1000));
  };
  try {
    if (control.value("clear", false)) {
      next = ProxyFaults();
    }
    set_ms("delay_ms", &next.delay);
    set_ms("jitter_ms", &next.jitter);
    set("bytes_per_s", &next.bytes_per_s);
    set("cut_to_target", &next.blocked[kToTarget]);
    set("cut_to_client", &next.blocked[kToClient]);
    set("half_open", &next.half_open);
    set("reset_new", &next.reset_new);
    set("refuse", &next.refuse);
    set("truncate_after", &next.truncate_after_bytes);
    set("drop_answer", &next.drop_answer);
    set("udp_loss", &next.udp_loss);
  } catch (const nlohmann::json::exception& exception) {
    return exception.what();
  }
  if (next.delay.count() < 0 || next.jitter.count() < 0 ||
      next.bytes_per_s < 0 || next.udp_loss < 0 || next.udp_loss > 1) {
    return "a value is out of range";
  }
  *faults = next;
  return {};
}

}  // namespace bramleybank
