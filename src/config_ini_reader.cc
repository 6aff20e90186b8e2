// Reads settings from INI files, which inih parses.
#include "config_ini_reader.h"

#include <arpa/inet.h>
#include <ini.h>

#include <charconv>
#include <cstdlib>
#include <sstream>

namespace bramleybank {
namespace {

std::string FormatRange(std::string_view kind, double min, double max) {
  std::ostringstream text;
  text << kind << " from " << min << " to " << max;
  return text.str();
}

}  // namespace

std::string FormatSettingError(const SettingError& error) {
  std::string text = error.file + ": [" + error.section + "] " + error.key;
  if (!error.value.empty()) {
    text += " = \"" + error.value + "\"";
  }
  return text + ": allowed: " + error.allowed;
}

IniReader::IniReader(std::string file) : m_file(std::move(file)) {
  const auto store = [](void* user, const char* section, const char* key,
                        const char* value) -> int {
    auto* self = static_cast<IniReader*>(user);
    const Name name{section, key};
    if (!self->m_values.emplace(name, value).second) {
      self->AddValueError(section, key, value, "each key once");
    }
    return 1;
  };
  const int line = ini_parse(m_file.c_str(), store, this);
  if (line < 0) {
    AddValueError("", "", "", "a readable file");
  } else if (line > 0) {
    AddValueError("", "line " + std::to_string(line), "",
                  "\"[section]\", \"key = value\" or a comment");
  }
}

std::optional<std::string> IniReader::Find(std::string_view section,
                                           std::string_view key) {
  const Name name{section, key};
  m_known.insert(name);
  const auto it = m_values.find(name);
  if (it == m_values.end()) {
    return std::nullopt;
  }
  return it->second;
}

void IniReader::AddValueError(std::string_view section,
                              std::string_view key,
                              std::string_view value,
                              std::string_view allowed) {
  m_errors.push_back({.file = m_file,
                      .section = std::string(section),
                      .key = std::string(key),
                      .value = std::string(value),
                      .allowed = std::string(allowed)});
}

std::string IniReader::String(std::string_view section,
                              std::string_view key,
                              std::string_view default_value) {
  return Find(section, key).value_or(std::string(default_value));
}

std::string IniReader::RequiredString(std::string_view section,
                                      std::string_view key) {
  auto value = Find(section, key);
  if (!value || value->empty()) {
    AddValueError(section, key, "", "a value; the key is required");
    return {};
  }
  return *std::move(value);
}

std::string IniReader::Ip(std::string_view section,
                          std::string_view key,
                          std::string_view default_value) {
  std::string value = String(section, key, default_value);
  in_addr address{};
  if (inet_pton(AF_INET, value.c_str(), &address) != 1) {
    AddValueError(section, key, value, "an IPv4 address");
  }
  return value;
}

int64_t IniReader::Int(std::string_view section,
                       std::string_view key,
                       int64_t default_value,
                       int64_t min,
                       int64_t max) {
  const auto text = Find(section, key);
  if (!text) {
    return default_value;
  }
  int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto [stop, fault] = std::from_chars(text->data(), end, value);
  if (fault != std::errc() || stop != end || value < min || value > max) {
    AddValueError(section, key, *text,
                  "a whole number from " + std::to_string(min) + " to " +
                      std::to_string(max));
    return default_value;
  }
  return value;
}

double IniReader::Double(std::string_view section,
                         std::string_view key,
                         double default_value,
                         double min,
                         double max) {
  const auto text = Find(section, key);
  if (!text) {
    return default_value;
  }
  char* stop = nullptr;
  const double value = std::strtod(text->c_str(), &stop);
  const bool is_parsed = !text->empty() && *stop == '\0';
  if (!is_parsed || !(value >= min && value <= max)) {
    AddValueError(section, key, *text, FormatRange("a number", min, max));
    return default_value;
  }
  return value;
}

bool IniReader::Bool(std::string_view section,
                     std::string_view key,
                     bool default_value) {
  const auto text = Find(section, key);
  if (!text) {
    return default_value;
  }
  if (*text != "true" && *text != "false") {
    AddValueError(section, key, *text, "true or false");
    return default_value;
  }
  return *text == "true";
}

void IniReader::AddError(std::string_view section,
                         std::string_view key,
                         std::string_view allowed) {
  const auto it = m_values.find({std::string(section), std::string(key)});
  AddValueError(section, key, it == m_values.end() ? "" : it->second, allowed);
}

std::vector<SettingError> IniReader::Finish() {
  for (const auto& [name, value] : m_values) {
    if (!m_known.contains(name)) {
      AddValueError(name.first, name.second, value, "no such key");
    }
  }
  return m_errors;
}

}  // namespace bramleybank
