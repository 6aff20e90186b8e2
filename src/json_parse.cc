// The nesting is bounded through the library's parser callback, which is called
// at each bracket before the parser stores the value.
#include "json_parse.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

using nlohmann::json;

/// @param depth of the values around this one.
bool CheckDepth(int depth, json::parse_event_t event, json& /*value*/) {
  const bool opens = event == json::parse_event_t::object_start ||
                     event == json::parse_event_t::array_start;
  if (opens && static_cast<size_t>(depth) >= kMaxJsonDepth) {
    throw std::length_error("JSON is nested deeper than " +
                            std::to_string(kMaxJsonDepth) + " levels");
  }
  return true;
}

}  // namespace

json ParseJson(std::string_view text) {
  return json::parse(text, &CheckDepth);
}

json TryParseJson(std::string_view text) {
  try {
    return ParseJson(text);
  } catch (const std::exception&) {
    return json(json::value_t::discarded);
  }
}

uint64_t WholeNumber(const json& value, uint64_t max) {
  if (!value.is_number_unsigned() || value.get<uint64_t>() > max) {
    throw std::out_of_range("not a whole number from 0 to " +
                            std::to_string(max));
  }
  return value.get<uint64_t>();
}

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace bramleybank
