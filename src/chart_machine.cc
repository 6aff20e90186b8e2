// Parses, validates and interprets state charts.
#include "chart_machine.h"

#include <cassert>
#include <pugixml.hpp>
#include <set>
#include <utility>
#include <vector>

namespace bramleybank {
namespace {

std::string StateError(std::string_view id,
                       std::string_view text,
                       std::string_view name = {}) {
  std::string error_text = "state ";
  return error_text.append(id).append(": ").append(text).append(name);
}

/// @returns the error text; empty when there is none.
std::string ReadTransitions(const pugi::xml_node& node,
                            const std::string& id,
                            ChartState* state) {
  for (const pugi::xml_node& child : node.children()) {
    if (child.type() != pugi::node_element) {
      continue;
    }
    const std::string event = child.attribute("event").value();
    const std::string target = child.attribute("target").value();
    if (std::string_view(child.name()) != "transition") {
      return StateError(id, "unsupported element ", child.name());
    }
    if (event.empty() || target.empty()) {
      return StateError(id,
                        "a transition needs the attributes event and target");
    }
    if (!state->transitions.emplace(event, target).second) {
      return StateError(id, "more than one transition for event ", event);
    }
  }
  return {};
}

std::string ReadStates(const pugi::xml_node& root, Chart* chart) {
  for (const pugi::xml_node& node : root.children()) {
    if (node.type() != pugi::node_element) {
      continue;
    }
    const std::string_view kind = node.name();
    if (kind != "state" && kind != "final") {
      return "element " + std::string(kind) + " is not supported";
    }
    const std::string id = node.attribute("id").value();
    ChartState state{.is_final = kind == "final", .transitions = {}};
    std::string error_text = ReadTransitions(node, id, &state);
    if (!error_text.empty()) {
      return error_text;
    }
    if (id.empty() || !chart->states.emplace(id, std::move(state)).second) {
      return "state \"" + id + "\": the id is empty or used twice";
    }
  }
  return {};
}

std::string CheckTransitions(const Chart& chart) {
  for (const auto& [id, state] : chart.states) {
    for (const auto& [event, target] : state.transitions) {
      if (!chart.states.contains(target)) {
        return StateError(id, "unknown target ", target);
      }
    }
    // A transition to the state itself does not count as an exit.
    bool has_exit = false;
    for (const auto& [event, target] : state.transitions) {
      has_exit = has_exit || target != id;
    }
    if (!state.is_final && !has_exit) {
      return StateError(id,
                        "not final and without a transition to another state");
    }
    if (state.is_final && !state.transitions.empty()) {
      return StateError(id, "final, but has a transition");
    }
  }
  return {};
}

std::string CheckReachable(const Chart& chart) {
  std::set<std::string_view> seen = {chart.initial};
  std::vector<std::string_view> pending = {chart.initial};
  while (!pending.empty()) {
    const auto state = chart.states.find(pending.back());
    pending.pop_back();
    for (const auto& [event, target] : state->second.transitions) {
      if (seen.insert(target).second) {
        pending.push_back(target);
      }
    }
  }
  for (const auto& [id, state] : chart.states) {
    if (!seen.contains(id)) {
      return StateError(id, "cannot be reached");
    }
  }
  return {};
}

std::string ReadChart(std::string_view scxml, Chart* chart) {
  pugi::xml_document document;
  const auto parsed = document.load_buffer(scxml.data(), scxml.size());
  const pugi::xml_node root = document.child("scxml");
  if (!parsed || !root) {
    return std::string("not an SCXML document: ") + parsed.description();
  }
  chart->initial = root.attribute("initial").value();
  std::string error_text = ReadStates(root, chart);
  if (error_text.empty() && !chart->states.contains(chart->initial)) {
    error_text = "unknown initial state \"" + chart->initial + "\"";
  }
  if (error_text.empty()) {
    error_text = CheckTransitions(*chart);
  }
  return error_text.empty() ? CheckReachable(*chart) : error_text;
}

}  // namespace

std::optional<Chart> ParseChart(std::string_view scxml, Reason* error) {
  assert(error != nullptr);
  Chart chart;
  std::string error_text = ReadChart(scxml, &chart);
  if (!error_text.empty()) {
    *error = {ResultCode::kBadConfiguration, std::move(error_text)};
    return std::nullopt;
  }
  return chart;
}

std::shared_ptr<const Chart> LoadEmbeddedChart(std::string_view scxml) {
  Reason error;
  auto chart = ParseChart(scxml, &error);
  assert(chart);
  return std::make_shared<const Chart>(*std::move(chart));
}

ChartMachine::ChartMachine(std::shared_ptr<const Chart> chart)
    : m_chart(std::move(chart)) {
  assert(m_chart != nullptr);
  m_state = m_chart->states.find(m_chart->initial);
  assert(m_state != m_chart->states.end());
}

bool ChartMachine::Fire(std::string_view event) {
  const auto it = m_state->second.transitions.find(event);
  if (it == m_state->second.transitions.end()) {
    return false;
  }
  m_state = m_chart->states.find(it->second);
  return true;
}

}  // namespace bramleybank
