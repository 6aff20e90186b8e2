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

/// Parses and validates a chart. These are errors: text outside the supported
/// SCXML subset, a missing or duplicate state id, an unknown initial or target
/// state, an unreachable state, two transitions of a state for one event, a
/// non-final state without a transition to another state, and a final state
/// with a transition.
/// @param error set to the first error when parsing fails.
std::optional<Chart> ParseChart(std::string_view scxml, Reason* error);

/// Parses a chart that is embedded in the program. Asserts that it is valid.
std::shared_ptr<const Chart> LoadEmbeddedChart(std::string_view scxml);

/// One running instance of a chart and its current state.
class ChartMachine {
 public:
  /// @param chart shared by all instances; must not be null.
  explicit ChartMachine(std::shared_ptr<const Chart> chart);

  /// Follows the transition of the current state for `event`.
  /// @returns false without a change of state when there is none.
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
