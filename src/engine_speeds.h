// How fast engines read prompts, learned from first events.
#ifndef BRAMLEYBANK_SRC_ENGINE_SPEEDS_H_
#define BRAMLEYBANK_SRC_ENGINE_SPEEDS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "engine_load.h"
#include "hooks.h"

namespace bramleybank {

/// Answers a load on engines of different speeds, which neither the
/// configuration nor the entries of the engines state. A prompt that was read
/// alone shows the speed of its engine; gateways share these samples.
class EngineSpeeds {
 public:
  explicit EngineSpeeds(ClockHook clock);

  /// This gateway has seen an engine read a prompt alone.
  /// @param time from the request to the first event.
  void OnPromptRead(EngineKey engine, uint64_t tokens, Duration time);
  /// Another gateway has seen or learned a speed.
  /// @param is_estimate whether it is the average of several samples, which
  /// replaces an older one.
  void OnReported(const EngineSpeed& speed, bool is_estimate);

  /// @returns tokens per second; 0 when unknown.
  double Find(EngineKey engine) const;
  /// @returns the average of all known engines; 0 when none is known.
  double Average() const;
  /// @returns the samples of this gateway since the last call.
  std::vector<EngineSpeed> TakeSamples();
  /// @returns the known speeds, the latest ones first.
  std::vector<EngineSpeed> Latest(size_t max_count) const;

 private:
  struct Known {
    double tokens_per_second = 0;
    TimePoint updated_at;
  };

  void Learn(EngineKey engine, double tokens_per_second, double weight);
  void EvictOldest();

  const ClockHook m_clock;
  std::unordered_map<EngineKey, Known> m_known;
  // Sum over m_known.
  double m_sum = 0;
  std::vector<EngineSpeed> m_samples;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENGINE_SPEEDS_H_
