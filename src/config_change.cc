// JSON form and validation of configuration changes.
#include "config_change.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "bramleybank/limits.h"
#include "json_parse.h"
#include "member_message.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxRoutes = 256;
constexpr size_t kLogKeyDigits = 20;

constexpr std::array<std::pair<ConfigAction, std::string_view>, 4> kActions{{
    {ConfigAction::kAdd, "add"},
    {ConfigAction::kReplace, "replace"},
    {ConfigAction::kRemove, "remove"},
    {ConfigAction::kMarkLeaving, "mark_leaving"},
}};

bool NeedsNameOnly(ConfigAction action) {
  return action == ConfigAction::kRemove ||
         action == ConfigAction::kMarkLeaving;
}

ConfigAction ParseAction(const std::string& text) {
  for (const auto& [action, name] : kActions) {
    if (name == text) {
      return action;
    }
  }
  throw std::invalid_argument("action \"" + text + "\" is unknown");
}

/// Parses one element with the snapshot parser, so that changes and snapshots
/// accept the same fields.
template <typename T>
T ParseElement(const json& element,
               const char* list,
               std::vector<T> ConfigSnapshot::*member) {
  const json wrapped = {{"number", 0}, {list, json::array({element})}};
  Reason error;
  std::optional<ConfigSnapshot> snapshot =
      ParseConfigSnapshot(wrapped.dump(), &error);
  if (!snapshot) {
    throw std::invalid_argument(error.detail);
  }
  return std::move((*snapshot.*member).front());
}

ConfigSubject ParseSubject(const json& value, bool name_only) {
  if (value.contains("endpoint")) {
    const json& endpoint = value.at("endpoint");
    if (name_only) {
      return EndpointConfig{
          .address = endpoint.at("address").get<std::string>(),
          .group = {},
          .version = {},
          .adapter = {},
          .region = {},
          .failure_domain = {}};
    }
    return ParseElement(endpoint, "endpoints", &ConfigSnapshot::endpoints);
  }
  if (value.contains("service")) {
    const json& service = value.at("service");
    if (name_only) {
      return ServiceConfig{.name = service.at("name").get<std::string>(),
                           .non_idempotent_routes = {}};
    }
    return ParseElement(service, "services", &ConfigSnapshot::services);
  }
  if (value.contains("customer")) {
    const json& customer = value.at("customer");
    if (name_only) {
      return CustomerConfig{.name = customer.at("name").get<std::string>()};
    }
    return ParseElement(customer, "customers", &ConfigSnapshot::customers);
  }
  throw std::invalid_argument(
      "a change must contain \"endpoint\", \"service\" or \"customer\"");
}

json FormatElement(const ConfigSnapshot& snapshot, const char* list) {
  return ParseJson(FormatConfigSnapshot(snapshot)).at(list).at(0);
}

std::pair<std::string, json> FormatSubject(const ConfigChange& change) {
  const bool name_only = NeedsNameOnly(change.action);
  const std::string& name = ConfigSubjectName(change.subject);
  ConfigSnapshot snapshot;
  if (const auto* endpoint = std::get_if<EndpointConfig>(&change.subject)) {
    snapshot.endpoints = {*endpoint};
    return {"endpoint", name_only ? json{{"address", name}}
                                  : FormatElement(snapshot, "endpoints")};
  }
  if (const auto* service = std::get_if<ServiceConfig>(&change.subject)) {
    snapshot.services = {*service};
    return {"service", name_only ? json{{"name", name}}
                                 : FormatElement(snapshot, "services")};
  }
  snapshot.customers = {std::get<CustomerConfig>(change.subject)};
  return {"customer", name_only ? json{{"name", name}}
                                : FormatElement(snapshot, "customers")};
}

std::optional<std::string> ValidateSubject(const EndpointConfig& endpoint,
                                           bool name_only) {
  if (!IsPeerAddress(endpoint.address)) {
    return "endpoint \"" + endpoint.address +
           "\" is not an IPv4 address and port";
  }
  const auto too_long = [](const std::string& text) {
    return text.size() > kMaxNameBytes;
  };
  if (too_long(endpoint.group) || too_long(endpoint.version) ||
      too_long(endpoint.adapter) ||
      endpoint.region.size() > kMaxRegionNameBytes ||
      endpoint.failure_domain.size() > kMaxRegionNameBytes) {
    return "endpoint " + endpoint.address +
           ": a name exceeds the maximum length";
  }
  if (!name_only && (endpoint.group.empty() || endpoint.region.empty() ||
                     endpoint.failure_domain.empty())) {
    return "endpoint " + endpoint.address +
           ": group, region or failure domain is empty";
  }
  return std::nullopt;
}

std::optional<std::string> ValidateSubject(const ServiceConfig& service,
                                           bool /*name_only*/) {
  if (service.name.empty() || service.name.size() > kMaxNameBytes) {
    return "the service name is empty or too long";
  }
  const auto is_bad = [](const std::string& route) {
    const size_t slash = route.find(" /");
    return slash == 0 || slash == std::string::npos ||
           route.size() > kMaxUrlBytes;
  };
  const auto bad = std::ranges::find_if(service.non_idempotent_routes, is_bad);
  if (bad != service.non_idempotent_routes.end() ||
      service.non_idempotent_routes.size() > kMaxRoutes) {
    return "service " + service.name +
           ": a route is not \"METHOD /path\", or there are too many";
  }
  return std::nullopt;
}

std::optional<std::string> ValidateSubject(const CustomerConfig& customer,
                                           bool /*name_only*/) {
  if (customer.name.empty() || customer.name.size() > kMaxCustomerNameBytes) {
    return "the customer name is empty or too long";
  }
  // The negated comparisons also reject NaN.
  if (!(customer.requests_per_s >= 0) || customer.tokens_in_flight < 0 ||
      !(customer.weight > 0)) {
    return "customer " + customer.name +
           ": a limit is negative, or the weight is not greater than 0";
  }
  return std::nullopt;
}

}  // namespace

std::optional<ConfigChange> ParseConfigChange(std::string_view text,
                                              Reason* error) {
  try {
    const json value = ParseJson(text);
    ConfigChange change;
    change.number = value.value("number", uint64_t{0});
    change.id = value.at("id").get<std::string>();
    change.action = ParseAction(value.at("action").get<std::string>());
    change.subject = ParseSubject(value, NeedsNameOnly(change.action));
    if (std::optional<Reason> fault = CheckConfigChange(change)) {
      *error = std::move(*fault);
      return std::nullopt;
    }
    return change;
  } catch (const std::exception& fault) {
    *error = {ResultCode::kBadConfiguration, fault.what()};
    return std::nullopt;
  }
}

std::string FormatConfigChange(const ConfigChange& change) {
  const auto* action =
      std::ranges::find(kActions, change.action,
                        &std::pair<ConfigAction, std::string_view>::first);
  json value = {{"number", change.number},
                {"id", change.id},
                {"action", std::string(action->second)}};
  auto [key, subject] = FormatSubject(change);
  value[key] = std::move(subject);
  return value.dump();
}

const std::string& ConfigSubjectName(const ConfigSubject& subject) {
  if (const auto* endpoint = std::get_if<EndpointConfig>(&subject)) {
    return endpoint->address;
  }
  if (const auto* service = std::get_if<ServiceConfig>(&subject)) {
    return service->name;
  }
  return std::get<CustomerConfig>(subject).name;
}

std::optional<Reason> CheckConfigChange(const ConfigChange& change) {
  std::optional<std::string> fault;
  if (change.id.empty() || change.id.size() > kMaxNameBytes) {
    fault = "the change id is empty or too long";
  } else if (change.action == ConfigAction::kMarkLeaving &&
             !std::holds_alternative<EndpointConfig>(change.subject)) {
    fault = "only an endpoint can be marked as leaving";
  } else {
    const bool name_only = NeedsNameOnly(change.action);
    fault = std::visit(
        [&](const auto& subject) {
          return ValidateSubject(subject, name_only);
        },
        change.subject);
  }
  if (!fault) {
    return std::nullopt;
  }
  return Reason{ResultCode::kBadConfiguration, *fault};
}

std::string ConfigLogKey(uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kConfigLogPrefix) +
         std::string(kLogKeyDigits - digits.size(), '0') + digits;
}

std::optional<uint64_t> ParseConfigLogKey(std::string_view key) {
  if (!key.starts_with(kConfigLogPrefix) ||
      key.size() != kConfigLogPrefix.size() + kLogKeyDigits) {
    return std::nullopt;
  }
  uint64_t number = 0;
  const char* end = key.data() + key.size();
  const auto [rest, error] =
      std::from_chars(key.data() + kConfigLogPrefix.size(), end, number);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace bramleybank
