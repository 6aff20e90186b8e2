// Guards against documentation pages that differ from the tables in the code.
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "bramleybank/result_code.h"
#include "log_event.h"

namespace bramleybank {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(SOURCE_DIR) + "/docs/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

size_t CountRows(const std::string& page) {
  size_t rows = 0;
  std::istringstream lines(page);
  std::string line;
  while (std::getline(lines, line)) {
    rows += line.starts_with("| ") ? 1 : 0;
  }
  // The heading of the table is not counted.
  return rows - 1;
}

std::string_view SeverityName(LogSeverity severity) {
  switch (severity) {
    case LogSeverity::kInfo:
      return "info";
    case LogSeverity::kWarning:
      return "warning";
    case LogSeverity::kError:
      return "error";
  }
  return "";
}

TEST_CASE("docs/result-codes.md lists every result code as in the code") {
  const std::string page = ReadPage("result-codes.md");
  for (const ResultCodeInfo& info : AllResultCodes()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(info.code) << " | `" << info.name << "` | "
        << info.http_status << " | " << info.meaning << " |\n";
    CHECK_MESSAGE(page.find(row.str()) != std::string::npos, row.str());
  }
  CHECK(CountRows(page) == AllResultCodes().size());
}

TEST_CASE("docs/log-events.md lists every log event as in the code") {
  const std::string page = ReadPage("log-events.md");
  for (const LogEventInfo& info : AllLogEvents()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(info.id) << " | `" << info.name << "` | "
        << SeverityName(info.severity) << " | " << info.meaning << " |\n";
    CHECK_MESSAGE(page.find(row.str()) != std::string::npos, row.str());
  }
  CHECK(CountRows(page) == AllLogEvents().size());
}

TEST_CASE("numbers of codes and events are unique and ascending") {
  int last = 0;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    CHECK(static_cast<int>(info.code) > last);
    last = static_cast<int>(info.code);
  }
  last = 0;
  for (const LogEventInfo& info : AllLogEvents()) {
    CHECK(static_cast<int>(info.id) > last);
    last = static_cast<int>(info.id);
  }
}

}  // namespace
}  // namespace bramleybank
