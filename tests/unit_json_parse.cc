// Guards against values nested so deep that copying or writing them overflows
// the stack, and against exceptions from texts that are not UTF-8.
#include "json_parse.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

std::string Repeat(const std::string& text, size_t count) {
  std::string repeated;
  for (size_t i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

std::string NestedArrays(size_t depth) {
  return Repeat("[", depth) + Repeat("]", depth);
}

std::string NestedObjects(size_t depth) {
  return Repeat("{\"a\":", depth) + "1" + Repeat("}", depth);
}

TEST_CASE("JSON is parsed up to the depth limit and refused beyond it") {
  for (const auto& nested : {NestedArrays, NestedObjects}) {
    const std::string deepest = nested(kMaxJsonDepth);
    CHECK(ParseJson(deepest).dump() == deepest);
    for (const size_t depth : {kMaxJsonDepth + 1, size_t{200'000}}) {
      CHECK(TryParseJson(nested(depth)).is_discarded());
      CHECK_THROWS_AS(ParseJson(nested(depth)), std::exception);
    }
  }
  CHECK(TryParseJson(std::string(1'000'000, '[')).is_discarded());
  // Brackets in texts are no nesting, and values side by side add none.
  const std::string flat =
      "[\"" + std::string(1000, '[') + "\"" + Repeat(",[]", 1000) + "]";
  CHECK(ParseJson(flat).size() == 1001);
}

TEST_CASE("malformed JSON is refused") {
  for (const std::string text :
       {"", "{", "[1e400]", "\"\xff\"", "[1] x", "nul"}) {
    CAPTURE(text);
    CHECK(TryParseJson(text).is_discarded());
    CHECK_THROWS_AS(ParseJson(text), std::exception);
  }
}

TEST_CASE("only whole numbers up to the limit are taken") {
  const auto read = [](const std::string& text) {
    return WholeNumber(ParseJson(text), 17);
  };
  CHECK(read("0") == 0);
  CHECK(read("17") == 17);
  for (const std::string text :
       {"18", "-1", "1.5", "1e300", "\"1\"", "null", "18446744073709551616"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(read(text), std::exception);
  }
}

TEST_CASE("a text that is not UTF-8 is written with replacements") {
  CHECK(TryParseJson(DumpJson({{"id", "r\xff"}})).at("id") == "r\xEF\xBF\xBD");
}

}  // namespace
}  // namespace bramleybank
