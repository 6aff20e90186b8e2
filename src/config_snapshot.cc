// JSON form of the configuration.
#include "config_snapshot.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "json_parse.h"

namespace bramleybank {
namespace {

using nlohmann::json;

EndpointConfig ParseEndpoint(const json& value) {
  EndpointConfig endpoint;
  endpoint.address = value.at("address").get<std::string>();
  const auto kind = value.at("kind").get<std::string>();
  if (kind != "engine" && kind != "service") {
    throw std::invalid_argument("endpoint " + endpoint.address + ": kind \"" +
                                kind + "\" is neither engine nor service");
  }
  endpoint.kind =
      kind == "engine" ? EndpointKind::kEngine : EndpointKind::kService;
  endpoint.group = value.at("group").get<std::string>();
  endpoint.version = value.value("version", "");
  endpoint.adapter = value.value("adapter", "");
  endpoint.region = value.at("region").get<std::string>();
  endpoint.failure_domain = value.at("failure_domain").get<std::string>();
  endpoint.leaving = value.value("leaving", false);
  endpoint.checks_fencing = value.value("checks_fencing", true);
  return endpoint;
}

json FormatEndpoint(const EndpointConfig& endpoint) {
  const bool is_engine = endpoint.kind == EndpointKind::kEngine;
  return {{"address", endpoint.address},
          {"kind", is_engine ? "engine" : "service"},
          {"group", endpoint.group},
          {"version", endpoint.version},
          {"adapter", endpoint.adapter},
          {"region", endpoint.region},
          {"failure_domain", endpoint.failure_domain},
          {"leaving", endpoint.leaving},
          {"checks_fencing", endpoint.checks_fencing}};
}

ServiceConfig ParseService(const json& value) {
  return {.name = value.at("name").get<std::string>(),
          .non_idempotent_routes =
              value.value("non_idempotent_routes", std::vector<std::string>{})};
}

CustomerConfig ParseCustomer(const json& value) {
  CustomerConfig customer;
  customer.name = value.at("name").get<std::string>();
  customer.requests_per_s = value.value("requests_per_s", 0.0);
  customer.tokens_in_flight =
      value.value("tokens_in_flight", static_cast<int64_t>(0));
  customer.weight = value.value("weight", 1.0);
  if (customer.requests_per_s < 0 || customer.tokens_in_flight < 0 ||
      customer.weight <= 0) {
    throw std::invalid_argument("customer " + customer.name +
                                ": a limit is negative or the weight is not "
                                "above 0");
  }
  return customer;
}

void CheckUnique(const ConfigSnapshot& snapshot) {
  std::set<std::string> seen;
  for (const EndpointConfig& endpoint : snapshot.endpoints) {
    if (!seen.insert(endpoint.address).second) {
      throw std::invalid_argument("endpoint " + endpoint.address +
                                  " is listed twice");
    }
  }
}

ConfigSnapshot FromJson(const json& value) {
  ConfigSnapshot snapshot;
  snapshot.number = value.at("number").get<uint64_t>();
  for (const json& entry : value.value("endpoints", json::array())) {
    snapshot.endpoints.push_back(ParseEndpoint(entry));
  }
  for (const json& entry : value.value("services", json::array())) {
    snapshot.services.push_back(ParseService(entry));
  }
  for (const json& entry : value.value("customers", json::array())) {
    snapshot.customers.push_back(ParseCustomer(entry));
  }
  CheckUnique(snapshot);
  return snapshot;
}

}  // namespace

std::optional<ConfigSnapshot> ParseConfigSnapshot(std::string_view text,
                                                  Reason* error) {
  try {
    return FromJson(ParseJson(text));
  } catch (const std::exception& fault) {
    *error = {ResultCode::kBadConfiguration, fault.what()};
    return std::nullopt;
  }
}

std::string FormatConfigSnapshot(const ConfigSnapshot& snapshot) {
  json value = {{"number", snapshot.number},
                {"endpoints", json::array()},
                {"services", json::array()},
                {"customers", json::array()}};
  for (const EndpointConfig& endpoint : snapshot.endpoints) {
    value["endpoints"].push_back(FormatEndpoint(endpoint));
  }
  for (const ServiceConfig& service : snapshot.services) {
    value["services"].push_back(
        {{"name", service.name},
         {"non_idempotent_routes", service.non_idempotent_routes}});
  }
  for (const CustomerConfig& customer : snapshot.customers) {
    value["customers"].push_back(
        {{"name", customer.name},
         {"requests_per_s", customer.requests_per_s},
         {"tokens_in_flight", customer.tokens_in_flight},
         {"weight", customer.weight}});
  }
  return value.dump();
}

const ServiceConfig* FindService(const ConfigSnapshot& snapshot,
                                 std::string_view name) {
  const auto it =
      std::ranges::find(snapshot.services, name, &ServiceConfig::name);
  return it == snapshot.services.end() ? nullptr : &*it;
}

bool IsNonIdempotent(const ServiceConfig& service,
                     std::string_view method,
                     std::string_view path) {
  return std::ranges::any_of(service.non_idempotent_routes,
                             [&](std::string_view route) {
                               const size_t space = route.find(' ');
                               return space != std::string_view::npos &&
                                      route.substr(0, space) == method &&
                                      path.starts_with(route.substr(space + 1));
                             });
}

}  // namespace bramleybank
