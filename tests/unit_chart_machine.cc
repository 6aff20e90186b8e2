// Guards against invalid charts, such as one with a state that cannot be left,
// and against an embedded chart that differs from its file in charts/.
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

TEST_CASE("the embedded charts equal the files in charts/") {
  CheckEmbedded("call", kCallChart);
  CheckEmbedded("stream", kStreamChart);
}

TEST_CASE("an invalid chart is rejected with its error") {
  const std::string end = "<final id=\"z\"/>";
  const std::string to_z = "<transition event=\"e\" target=\"z\"/>";
  const std::string a = "<state id=\"a\">" + to_z + "</state>";
  const std::pair<std::string, std::string> cases[] = {
      {"<scxml", "not an SCXML"},
      {Scxml("<state id=\"b\">" + to_z + "</state>" + end), "unknown initial"},
      {Scxml("<state id=\"a\"><transition event=\"e\" target=\"q\"/></state>" +
             end),
       "unknown target q"},
      {Scxml(a + end + "<final id=\"y\"/>"), "y: cannot be reached"},
      {Scxml("<state id=\"a\">" + to_z + to_z + "</state>" + end),
       "more than one transition"},
      {Scxml("<state id=\"a\"><transition event=\"e\" target=\"b\"/></state>"
             "<state id=\"b\"><transition event=\"e\" target=\"b\"/></state>"),
       "b: not final and without a transition to another state"},
      {Scxml(a + "<final id=\"z\">" + to_z + "</final>"), "z: final, but has"},
      {Scxml(a + a + end), "used twice"},
      {Scxml(a + end + "<parallel id=\"p\"/>"), "is not supported"},
      {Scxml("<state id=\"a\"><transition target=\"z\"/></state>" + end),
       "needs the attributes event and target"}};
  for (const auto& [text, error_text] : cases) {
    CAPTURE(text);
    Reason error;
    CHECK_FALSE(ParseChart(text, &error));
    CHECK(error.detail.find(error_text) != std::string::npos);
  }
}

TEST_CASE("a machine follows transitions and ignores unknown events") {
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
