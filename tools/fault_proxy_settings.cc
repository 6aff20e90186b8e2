// Settings of the fault-injecting proxy.
#include "fault_proxy_settings.h"

#include <arpa/inet.h>

#include <cstdlib>
#include <limits>
#include <sstream>

#include "config_ini_reader.h"

namespace bramleybank {
namespace {

ProxyAddress ReadAddress(IniReader* ini,
                         const std::string& section,
                         const char* key) {
  const std::string text = ini->RequiredString(section, key);
  const size_t colon = text.find(':');
  ProxyAddress address{.ip = text.substr(0, colon)};
  in_addr parsed{};
  char* end = nullptr;
  const std::string port =
      colon == std::string::npos ? "" : text.substr(colon + 1);
  const unsigned long number = std::strtoul(port.c_str(), &end, 10);
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1 || port.empty() ||
      *end != '\0' || number == 0 || number > 65535) {
    ini->AddError(section, key, "ip:port");
  }
  address.port = static_cast<uint16_t>(number);
  return address;
}

}  // namespace

ProxySettings ReadProxySettings(const std::string& file,
                                std::vector<SettingError>* errors) {
  IniReader ini(file);
  ProxySettings out;
  out.control_ip = ini.Ip("control", "ip", out.control_ip);
  out.control_port = static_cast<uint16_t>(
      ini.Int("control", "port", out.control_port, 0, 65535));
  out.seed = static_cast<uint64_t>(
      ini.Int("control", "seed", 1, 0, std::numeric_limits<int64_t>::max()));
  std::istringstream names(ini.RequiredString("pairs", "names"));
  for (std::string name; std::getline(names, name, ',');) {
    out.pairs.push_back({.name = name,
                         .listen = ReadAddress(&ini, name, "listen"),
                         .target = ReadAddress(&ini, name, "target")});
  }
  *errors = ini.Finish();
  return out;
}

}  // namespace bramleybank
