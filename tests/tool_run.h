// Runs a program of the build folder until it exits and captures its output.
#ifndef BRAMLEYBANK_TESTS_TOOL_RUN_H_
#define BRAMLEYBANK_TESTS_TOOL_RUN_H_

#include <doctest/doctest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <string>

namespace bramleybank::testing {

struct ToolRun {
  int exit_code = -1;
  /// Standard output and standard error.
  std::string output;
};

/// Runs `program` through the shell.
/// @param arguments command line arguments with shell quoting.
inline ToolRun RunTool(const std::string& program,
                       const std::string& arguments) {
  const std::string line =
      std::string(PROGRAM_DIR) + "/" + program + " " + arguments + " 2>&1";
  std::FILE* pipe = popen(line.c_str(), "r");
  REQUIRE(pipe != nullptr);
  ToolRun run;
  std::array<char, 4096> bytes{};
  for (size_t n = 0; (n = fread(bytes.data(), 1, bytes.size(), pipe)) > 0;) {
    run.output.append(bytes.data(), n);
  }
  const int status = pclose(pipe);
  run.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return run;
}

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_TOOL_RUN_H_
