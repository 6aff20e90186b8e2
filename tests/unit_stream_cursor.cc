// Guards against event ids that lose a field, and against other text that is
// accepted as an event id.
#include <doctest/doctest.h>

#include "bramleybank/limits.h"
#include "stream_cursor.h"

namespace bramleybank {
namespace {

const StreamCursor kCursor{.generation = 0x0123456789abcdefULL,
                           .request_hash = 0xdeadbeefU,
                           .owner = "127.0.0.1:7103",
                           .copy_holder = "127.0.0.2:7103",
                           .engine = "127.0.0.9:9000",
                           .attempt = 3,
                           .position = 512};

TEST_CASE("a formatted cursor parses to the same cursor") {
  CHECK(ParseStreamCursor(FormatStreamCursor(kCursor)) == kCursor);
}

TEST_CASE("a formatted cursor without a copy parses to the same cursor") {
  StreamCursor cursor = kCursor;
  cursor.copy_holder.clear();
  CHECK(ParseStreamCursor(FormatStreamCursor(cursor)) == cursor);
}

TEST_CASE("text that is not a cursor is refused") {
  const std::string good = FormatStreamCursor(kCursor);
  for (const std::string& bad :
       {std::string(), std::string("7"), good + "-1", good + "x",
        "2" + good.substr(1), good.substr(0, good.rfind('-')),
        std::string(300, '1')}) {
    CAPTURE(bad);
    CHECK_FALSE(ParseStreamCursor(bad));
  }
}

// Guards against attempt numbers that overflow while they are counted up.
TEST_CASE("an attempt number that no stream reaches is refused") {
  StreamCursor cursor = kCursor;
  cursor.attempt = kMaxCursorAttempt;
  CHECK(ParseStreamCursor(FormatStreamCursor(cursor)).has_value());
  ++cursor.attempt;
  CHECK_FALSE(ParseStreamCursor(FormatStreamCursor(cursor)).has_value());
}

}  // namespace
}  // namespace bramleybank
