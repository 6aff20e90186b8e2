// Validates and applies configuration changes.
#include "config_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "json_parse.h"

namespace bramleybank {
namespace {

using nlohmann::json;
using Index = std::unordered_map<std::string, size_t>;

const std::string& NameOf(const EndpointConfig& endpoint) {
  return endpoint.address;
}
const std::string& NameOf(const ServiceConfig& service) {
  return service.name;
}
const std::string& NameOf(const CustomerConfig& customer) {
  return customer.name;
}

template <typename T>
Index IndexOf(const std::vector<T>& list) {
  Index index;
  index.reserve(list.size());
  for (size_t i = 0; i < list.size(); ++i) {
    index.emplace(NameOf(list[i]), i);
  }
  return index;
}

template <typename T>
void ApplyToList(ConfigAction action,
                 const T& subject,
                 std::vector<T>* list,
                 Index* index) {
  const std::string& name = NameOf(subject);
  if (action == ConfigAction::kAdd) {
    index->emplace(name, list->size());
    list->push_back(subject);
    return;
  }
  const auto it = index->find(name);
  const size_t at = it->second;
  if (action == ConfigAction::kReplace) {
    (*list)[at] = subject;
    return;
  }
  // The last element moves into the position of the removed one. The order of
  // the lists has no meaning, and it is the same on every daemon because all
  // of them apply the same changes.
  index->erase(it);
  if (at + 1 != list->size()) {
    (*list)[at] = std::move(list->back());
    (*index)[NameOf((*list)[at])] = at;
  }
  list->pop_back();
}

}  // namespace

std::string FormatConfigAnswer(const ConfigAnswer& answer) {
  json value = {{"number", answer.number}, {"changes", json::array()}};
  for (const ConfigChange& change : answer.changes) {
    value["changes"].push_back(FormatConfigChange(change));
  }
  if (answer.snapshot) {
    value["snapshot"] = FormatConfigSnapshot(*answer.snapshot);
  }
  return value.dump();
}

std::optional<ConfigAnswer> ParseConfigAnswer(std::string_view text,
                                              Reason* error) {
  try {
    const json value = ParseJson(text);
    ConfigAnswer answer;
    answer.number = value.at("number").get<uint64_t>();
    for (const json& entry : value.at("changes")) {
      auto change = ParseConfigChange(entry.get<std::string>(), error);
      if (!change) {
        return std::nullopt;
      }
      answer.changes.push_back(std::move(*change));
    }
    if (value.contains("snapshot")) {
      auto snapshot =
          ParseConfigSnapshot(value.at("snapshot").get<std::string>(), error);
      if (!snapshot) {
        return std::nullopt;
      }
      answer.snapshot =
          std::make_shared<const ConfigSnapshot>(std::move(*snapshot));
    }
    return answer;
  } catch (const std::exception& fault) {
    *error = {ResultCode::kPeerBadMessage, fault.what()};
    return std::nullopt;
  }
}

bool ConfigLog::Load(ConfigSnapshot snapshot) {
  if (m_has_config && snapshot.number <= m_current.number) {
    m_last_reason = {ResultCode::kConfigurationBehind,
                     "configuration " + std::to_string(snapshot.number) +
                         " is not newer than " +
                         std::to_string(m_current.number)};
    return false;
  }
  m_current = std::move(snapshot);
  m_has_config = true;
  m_endpoints = IndexOf(m_current.endpoints);
  m_services = IndexOf(m_current.services);
  m_customers = IndexOf(m_current.customers);
  m_changes.clear();
  m_snapshot.reset();
  return true;
}

ConfigApplyResult ConfigLog::Apply(const ConfigChange& change) {
  if (!m_has_config || change.number > m_current.number + 1) {
    return ConfigApplyResult::kGap;
  }
  if (change.number <= m_current.number) {
    return ConfigApplyResult::kAlreadyApplied;
  }
  if (std::optional<Reason> fault = Validate(change)) {
    m_last_reason = {fault->code, "change " + std::to_string(change.number) +
                                      ": " + fault->detail};
    return ConfigApplyResult::kRefused;
  }
  ApplyToCurrent(change);
  m_current.number = change.number;
  m_changes.push_back(change);
  if (m_changes.size() > kMaxKeptConfigChanges) {
    m_changes.pop_front();
  }
  m_snapshot.reset();
  return ConfigApplyResult::kApplied;
}

std::optional<Reason> ConfigLog::Validate(const ConfigChange& change) const {
  if (std::optional<Reason> fault = CheckConfigChange(change)) {
    return fault;
  }
  const Index* const indexes[] = {&m_endpoints, &m_services, &m_customers};
  const Index& index = *indexes[change.subject.index()];
  const std::string& name = ConfigSubjectName(change.subject);
  const auto it = index.find(name);
  const auto refuse = [&](const char* why) {
    return Reason{ResultCode::kBadConfiguration, name + why};
  };
  if (change.action == ConfigAction::kAdd) {
    return it == index.end() ? std::nullopt
                             : std::optional(refuse(" already exists"));
  }
  if (it == index.end()) {
    return refuse(" does not exist");
  }
  if (change.action == ConfigAction::kMarkLeaving &&
      m_current.endpoints[it->second].leaving) {
    return refuse(" is already leaving");
  }
  return std::nullopt;
}

void ConfigLog::ApplyToCurrent(const ConfigChange& change) {
  if (change.action == ConfigAction::kMarkLeaving) {
    const size_t at = m_endpoints.at(ConfigSubjectName(change.subject));
    m_current.endpoints[at].leaving = true;
    return;
  }
  if (const auto* endpoint = std::get_if<EndpointConfig>(&change.subject)) {
    ApplyToList(change.action, *endpoint, &m_current.endpoints, &m_endpoints);
  } else if (const auto* service =
                 std::get_if<ServiceConfig>(&change.subject)) {
    ApplyToList(change.action, *service, &m_current.services, &m_services);
  } else {
    ApplyToList(change.action, std::get<CustomerConfig>(change.subject),
                &m_current.customers, &m_customers);
  }
}

std::shared_ptr<const ConfigSnapshot> ConfigLog::Snapshot() {
  if (!m_snapshot) {
    m_snapshot = std::make_shared<const ConfigSnapshot>(m_current);
  }
  return m_snapshot;
}

ConfigAnswer ConfigLog::AnswerAfter(uint64_t after) {
  ConfigAnswer answer{
      .number = m_current.number, .changes = {}, .snapshot = nullptr};
  if (!m_has_config || after >= m_current.number) {
    // A daemon without a configuration needs a snapshot even when the current
    // number is 0.
    if (m_has_config && after == 0) {
      answer.snapshot = Snapshot();
    }
    return answer;
  }
  const uint64_t change_count = m_current.number - after;
  if (after == 0 || change_count > m_changes.size()) {
    answer.snapshot = Snapshot();
    return answer;
  }
  answer.changes.assign(
      m_changes.end() - static_cast<std::ptrdiff_t>(change_count),
      m_changes.end());
  return answer;
}

std::optional<uint64_t> ConfigLog::FindChange(std::string_view id) const {
  const auto it = std::ranges::find(m_changes, id, &ConfigChange::id);
  return it == m_changes.end() ? std::nullopt : std::optional(it->number);
}

}  // namespace bramleybank
