// Tests of the log output with a reader that does not read.
#include "log_output.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace bramleybank {
namespace {

std::string ReadAll(int fd) {
  std::string text;
  std::array<char, 65536> block{};
  for (ssize_t count = read(fd, block.data(), block.size()); count > 0;
       count = read(fd, block.data(), block.size())) {
    text.append(block.data(), static_cast<size_t>(count));
  }
  return text;
}

// Guards against a process that blocks while it writes its log, and against
// dropped lines that are not reported.
TEST_CASE("lines that nobody reads are dropped and counted") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  constexpr size_t kMaxPending = 1000;
  constexpr int kLines = 20000;
  LogOutput output(ends[1], kMaxPending);
  for (int i = 0; i < kLines; ++i) {
    output.Append("line " + std::to_string(i));
  }
  CHECK(output.dropped() > 0);
  std::string text = ReadAll(ends[0]);
  output.Append("last");
  text += ReadAll(ends[0]);
  CHECK(text.starts_with("line 0\nline 1\n"));
  CHECK(text.ends_with("log_lines_dropped=" + std::to_string(output.dropped()) +
                       "\nlast\n"));
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace bramleybank
