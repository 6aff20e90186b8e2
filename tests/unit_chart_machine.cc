// Guards against charts that a run could get stuck in, and against an embedded
// chart that differs from the file.
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "chart_call_p.h"
#include "chart_machine.h"
#include "chart_stream_p.h"

namespace bramleybank {
namespace {

std::string Scxml(const std::string& states) {
  return "<scxml initial=\"a\">" + states + "</scxml>";
}

void CheckEmbedded(const std::string& name, const char* embedded) {
  CAPTURE(name);
  std::ifstream file(std::string(SOURCE_DIR) + "/charts/" + name + ".scxml");
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(text.str() == embedded);
  Reason error;
  CHECK(ParseChart(embedded, &error));
}

TEST_CASE("the embedded charts are those in charts/") {
  CheckEmbedded("call", kCallChart);
  CheckEmbedded("stream", kStreamChart);
}

TEST_CASE("faulty charts are refused with their fault") {
  const std::string end = "<final id=\"z\"/>";
  const std::string to_z = "<transition event=\"e\" target=\"z\"/>";
  const std::string a = "<state id=\"a\">" + to_z + "</state>";
  const std::pair<std::string, std::string> cases[] = {
      {"<scxml", "no SCXML"},
      {Scxml("<state id=\"b\">" + to_z + "</state>" + end), "unknown initial"},
      {Scxml("<state id=\"a\"><transition event=\"e\" target=\"q\"/></state>" +
             end),
       "unknown target q"},
      {Scxml(a + end + "<final id=\"y\"/>"), "y: cannot be reached"},
      {Scxml("<state id=\"a\">" + to_z + to_z + "</state>" + end),
       "two transitions"},
      {Scxml("<state id=\"a\"><transition event=\"e\" target=\"b\"/></state>"
             "<state id=\"b\"><transition event=\"e\" target=\"b\"/></state>"),
       "b: not final and without a way out"},
      {Scxml(a + "<final id=\"z\">" + to_z + "</final>"), "z: final with"},
      {Scxml(a + a + end), "used twice"},
      {Scxml(a + end + "<parallel id=\"p\"/>"), "not supported"},
      {Scxml("<state id=\"a\"><transition target=\"z\"/></state>" + end),
       "needs event and target"}};
  for (const auto& [text, error_text] : cases) {
    CAPTURE(text);
    Reason error;
    CHECK_FALSE(ParseChart(text, &error));
    CHECK(error.detail.find(error_text) != std::string::npos);
  }
}

TEST_CASE("a run follows transitions and stays on unknown events") {
  Reason error;
  const auto chart = ParseChart(
      Scxml("<state id=\"a\"><transition event=\"e\" target=\"z\"/></state>"
            "<final id=\"z\"/>"),
      &error);
  REQUIRE(chart);
  ChartMachine machine(std::make_shared<const Chart>(*chart));
  CHECK_FALSE(machine.Fire("other"));
  CHECK(machine.state() == "a");
  CHECK(machine.Fire("e"));
  CHECK(machine.is_final());
}

}  // namespace
}  // namespace bramleybank
