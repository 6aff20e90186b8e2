// JSON that comes from other processes: parsed with a bound on its nesting, and
// written whatever bytes its strings have.
#ifndef BRAMLEYBANK_SRC_JSON_PARSE_H_
#define BRAMLEYBANK_SRC_JSON_PARSE_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace bramleybank {

/// Parses text from outside. All such text must be parsed here: the library
/// copies and writes nested values by recursion.
/// @throws std::exception when `text` is malformed or nested deeper than
/// kMaxJsonDepth.
nlohmann::json ParseJson(std::string_view text);

/// @returns a discarded value when ParseJson() would throw.
nlohmann::json TryParseJson(std::string_view text);

/// @returns a whole number from 0 to `max`.
/// @throws std::exception when `value` is anything else.
uint64_t WholeNumber(const nlohmann::json& value, uint64_t max);

/// @returns the text of `value`. Bytes that are not UTF-8 are replaced, for
/// which json::dump() would throw.
std::string DumpJson(const nlohmann::json& value);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_JSON_PARSE_H_
