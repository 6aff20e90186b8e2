// Counters, gauges and latency summaries, printed in the text format that
// monitoring systems scrape.
#ifndef BRAMLEYBANK_SRC_METRIC_REGISTRY_H_
#define BRAMLEYBANK_SRC_METRIC_REGISTRY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bramleybank {

/// All metrics of one process. Names carry the unit, as in
/// `bramleybank_first_token_seconds`.
class MetricRegistry {
 public:
  MetricRegistry();
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry&) = delete;
  MetricRegistry& operator=(const MetricRegistry&) = delete;

  /// Adds to a counter. A label is one `key` and `value`; both may be empty.
  void Count(std::string_view name,
             std::string_view label_key = {},
             std::string_view label_value = {},
             uint64_t amount = 1);

  /// @returns a counter to be incremented directly on hot paths; it stays
  /// valid as long as the registry.
  uint64_t* Counter(std::string_view name,
                    std::string_view label_key = {},
                    std::string_view label_value = {});

  void SetGauge(std::string_view name, double value);

  /// Adds a sample to a summary with count, sum and quantiles 0.5, 0.95, 0.99.
  void Observe(std::string_view name, double value);

  /// @returns a counter's value; 0 when it was never counted.
  uint64_t CounterValue(std::string_view name,
                        std::string_view label_key = {},
                        std::string_view label_value = {}) const;

  /// @returns all metrics as text, sorted by name.
  std::string Render() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_METRIC_REGISTRY_H_
