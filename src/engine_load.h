// The work that gateways have at an engine.
#ifndef BRAMLEYBANK_SRC_ENGINE_LOAD_H_
#define BRAMLEYBANK_SRC_ENGINE_LOAD_H_

#include <cstdint>
#include <vector>

namespace bramleybank {

struct EndpointEntry;

/// Identifies one start of an engine in messages between gateways. Two engines
/// with the same key only add up their loads.
using EngineKey = uint32_t;

/// @returns a hash of the engine's id and start time.
EngineKey KeyOf(const EndpointEntry& endpoint);

/// Work of one or more gateways at one engine.
struct EngineLoad {
  /// Requests that were sent and have not ended.
  uint32_t runs = 0;
  /// Those of them whose prompt is being read.
  uint32_t prefills = 0;
  /// Tokens of these prompts that are left to read.
  uint64_t prefill_tokens = 0;
  /// Tokens of memory that the runs, and copies of runs, need until they end.
  uint64_t memory_tokens = 0;

  EngineLoad& operator+=(const EngineLoad& other) {
    runs += other.runs;
    prefills += other.prefills;
    prefill_tokens += other.prefill_tokens;
    memory_tokens += other.memory_tokens;
    return *this;
  }
  friend bool operator==(const EngineLoad&, const EngineLoad&) = default;
};

/// One engine in a report.
struct EngineLoadEntry {
  EngineKey engine = 0;
  EngineLoad load;

  friend bool operator==(const EngineLoadEntry&,
                         const EngineLoadEntry&) = default;
};

/// How fast an engine reads prompts.
struct EngineSpeed {
  EngineKey engine = 0;
  /// Above 0.
  double tokens_per_second = 0;

  friend bool operator==(const EngineSpeed&, const EngineSpeed&) = default;
};

/// What one gateway tells another about engines.
struct LoadReport {
  std::vector<EngineLoadEntry> entries;
  std::vector<EngineSpeed> speeds;
  /// Engines that have been lost since the last report: they did not accept a
  /// connection, ended it without an answer, or are gone from their address.
  std::vector<EngineKey> losses;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENGINE_LOAD_H_
