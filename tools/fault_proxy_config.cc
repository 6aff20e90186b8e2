// Settings and faults of the proxy.
#include "fault_proxy_config.h"

#include <arpa/inet.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config_ini_reader.h"

namespace bramleybank {
namespace {

sockaddr_in ReadAddress(IniReader* ini,
                        const std::string& section,
                        const std::string& prefix) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::string ip = ini->Ip(section, prefix + "ip", "127.0.0.1");
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  // A default of 0 is out of range, so that a missing port is found below.
  const int64_t port = ini->Int(section, prefix + "port", 0, 1, 65535);
  if (port == 0) {
    ini->AddError(section, prefix + "port", "a port");
  }
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

}  // namespace

ProxySettings ReadProxySettings(const std::string& file,
                                std::vector<SettingError>* errors) {
  IniReader ini(file);
  ProxySettings out;
  out.ip = ini.Ip("control", "ip", "127.0.0.1");
  out.port = static_cast<uint16_t>(ini.Int("control", "port", 9900, 0, 65535));
  out.seed = static_cast<uint64_t>(
      ini.Int("control", "seed", 1, 0, std::numeric_limits<int64_t>::max()));
  std::istringstream names(ini.RequiredString("pairs", "names"));
  for (std::string name; std::getline(names, name, ',');) {
    out.pairs.push_back({.name = name,
                         .listen = ReadAddress(&ini, name, ""),
                         .target = ReadAddress(&ini, name, "target_")});
  }
  *errors = ini.Finish();
  return out;
}

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
    set("cut_to_target", &next.cut[kToTarget]);
    set("cut_to_client", &next.cut[kToClient]);
    set("half_open", &next.half_open);
    set("reset_new", &next.reset_new);
    set("refuse", &next.refuse);
    set("truncate_after", &next.truncate_after);
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
