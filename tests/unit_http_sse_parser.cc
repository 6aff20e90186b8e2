// Guards against events that are lost, merged or made up when the input is
// split at arbitrary positions.
#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "http_sse_parser.h"

namespace bramleybank {
namespace {

constexpr size_t kMaxEventBytes = 1000;

std::vector<SseEvent> Parse(const std::vector<std::string>& parts) {
  std::vector<SseEvent> events;
  SseParser parser(kMaxEventBytes,
                   [&](const SseEvent& event) { events.push_back(event); });
  for (const std::string& part : parts) {
    CHECK(parser.Feed(part));
  }
  return events;
}

TEST_CASE("events do not depend on how the bytes are split") {
  const std::string text = ": comment\n\n" + FormatSseEvent("1-a", {}, "one") +
                           FormatSseEvent({}, "error", "two") +
                           "data: x\r\ndata: y\r\n\r\n";
  const std::vector<SseEvent> expected = {{.id = "1-a", .data = "one"},
                                          {.event = "error", .data = "two"},
                                          {.data = "x\ny"}};
  CHECK(Parse({text}) == expected);
  std::mt19937 random(1);
  for (int round = 0; round < 200; ++round) {
    std::vector<std::string> parts;
    for (size_t at = 0; at < text.size();) {
      const size_t length = 1 + (random() % 7);
      parts.push_back(text.substr(at, length));
      at += length;
    }
    CHECK(Parse(parts) == expected);
  }
}

TEST_CASE("an incomplete event is not reported") {
  CHECK(Parse({"data: one\n\ndata: two\n"}).size() == 1);
}

TEST_CASE("an event above the limit stops the parser") {
  int events = 0;
  SseParser parser(kMaxEventBytes, [&](const SseEvent&) { ++events; });
  bool ok = true;
  for (int i = 0; i < 100 && ok; ++i) {
    ok = parser.Feed(std::string(100, 'x'));
  }
  CHECK_FALSE(ok);
  CHECK_FALSE(parser.Feed("\n\ndata: a\n\n"));
  CHECK(events == 0);
}

}  // namespace
}  // namespace bramleybank
