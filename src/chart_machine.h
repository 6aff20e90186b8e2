// Interpreter of state charts in a small subset of SCXML: flat states,
// transitions by event, an initial state and final states.
#ifndef BRAMLEYBANK_SRC_CHART_MACHINE_H_
#define BRAMLEYBANK_SRC_CHART_MACHINE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bramleybank/result_code.h"

namespace bramleybank {

/// One state of a chart.
struct ChartState {
  bool is_final = false;
  /// Target state by event.
  std::map<std::string, std::string, std::less<>> transitions;

  friend bool operator==(const ChartState&, const ChartState&) = default;
};

/// A chart that has passed all checks.
struct Chart {
  std::string initial;
  std::map<std::string, ChartState, std::less<>> states;

  friend bool operator==(const Chart&, const Chart&) = default;
};

/// Reads a chart. Refused are: text that is not SCXML of the subset, a state
/// without id or with the id of another, an unknown initial or target state, a
/// state that cannot be reached, two transitions of a state for one event, a
/// non-final state without a way out, and a final state with one.
/// @param error set to the first fault when the chart is refused.
std::optional<Chart> ParseChart(std::string_view scxml, Reason* error);

/// Parses a chart that is part of the program; a faulty one ends the program.
std::shared_ptr<const Chart> LoadEmbeddedChart(std::string_view scxml);

/// The current state of one run of a chart.
class ChartMachine {
 public:
  /// @param chart shared by all runs; must not be null.
  explicit ChartMachine(std::shared_ptr<const Chart> chart);

  /// Follows the transition for `event`.
  /// @returns false, and stays, when the state has none.
  bool Fire(std::string_view event);

  const std::string& state() const { return m_state->first; }
  bool is_final() const { return m_state->second.is_final; }
  bool is_in(std::string_view state) const { return m_state->first == state; }

 private:
  std::shared_ptr<const Chart> m_chart;
  // Always a state of m_chart.
  decltype(Chart::states)::const_iterator m_state;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CHART_MACHINE_H_
