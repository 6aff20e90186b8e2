// What an engine reports about its load and its running generations.
#ifndef BRAMLEYBANK_SRC_ENGINE_REPORT_H_
#define BRAMLEYBANK_SRC_ENGINE_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleybank {

/// One generation that has begun.
struct EngineRun {
  std::string request_id;
  /// Events made so far, also those of the runs that it continues.
  int64_t events = 0;

  friend bool operator==(const EngineRun&, const EngineRun&) = default;
};

/// State of an engine some hundred milliseconds before it was sent.
struct EngineReport {
  /// Requests that wait for a slot; empty when not given.
  std::optional<int64_t> queued;
  /// Requests that have a slot; empty when not given. Those whose prompt is
  /// still being read are not among the runs.
  std::optional<int64_t> running;
  /// Unix time of the engine's start in milliseconds; 0 when not given.
  int64_t start_time_ms = 0;
  /// Empty when the engine does not list its runs.
  std::optional<std::vector<EngineRun>> runs;

  friend bool operator==(const EngineReport&, const EngineReport&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENGINE_REPORT_H_
