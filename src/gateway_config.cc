// Lookup of routes, customers and services.
#include "gateway_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace bramleybank {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

}  // namespace

GatewayConfig::GatewayConfig(GatewayConfigValues values)
    : m_values(std::move(values)) {
  for (const GatewayRoute& route : m_values.routes) {
    m_hosts[LowerCase(route.host)].emplace(route.prefix, &route);
  }
  for (const GatewayCustomer& customer : m_values.customers) {
    for (const std::string& key : customer.keys) {
      m_keys.emplace(key, &customer);
    }
  }
  for (const GatewayService& service : m_values.services) {
    m_services.emplace(service.name, &service);
  }
  std::map<std::string, std::set<int>> priorities;
  for (const GatewayRoute& route : m_values.routes) {
    for (const ServiceShare& share : route.services) {
      priorities[share.service].insert(route.priority);
    }
  }
  for (auto& [service, values] : priorities) {
    for (const GatewayCustomer& customer : m_values.customers) {
      values.insert(customer.priority.value_or(*values.begin()));
    }
    if (values.size() > 1) {
      m_services_with_priorities.insert(service);
    }
  }
}

const GatewayRoute* GatewayConfig::FindRoute(std::string_view host,
                                             std::string_view path) const {
  const std::string lower = LowerCase(host.substr(0, host.rfind(':')));
  const auto table = m_hosts.find(lower);
  if (table == m_hosts.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the parts of the path that end with a
  // slash can match.
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto route = table->second.find(path.substr(0, slash + 1));
    if (route != table->second.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const GatewayCustomer* GatewayConfig::FindCustomer(std::string_view key) const {
  const auto it = m_keys.find(key);
  return it == m_keys.end() ? nullptr : it->second;
}

const GatewayService* GatewayConfig::FindService(std::string_view name) const {
  const auto it = m_services.find(name);
  return it == m_services.end() ? nullptr : it->second;
}

std::set<std::string, std::less<>> GatewayConfig::ServiceNames() const {
  std::set<std::string, std::less<>> names;
  for (const auto& [name, service] : m_services) {
    names.insert(name);
  }
  for (const GatewayRoute& route : m_values.routes) {
    for (const ServiceShare& share : route.services) {
      names.insert(share.service);
    }
  }
  return names;
}

bool GatewayConfig::HasPriorities(std::string_view service) const {
  return m_services_with_priorities.contains(service);
}

}  // namespace bramleybank
