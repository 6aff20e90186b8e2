// Counters, gauges and summaries, rendered in the text format that monitoring
// systems scrape.
#ifndef BRAMLEYBANK_SRC_METRIC_REGISTRY_H_
#define BRAMLEYBANK_SRC_METRIC_REGISTRY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bramleybank {

/// All metrics of one process. Metric names include the unit, as in
/// `bramleybank_first_token_seconds`.
class MetricRegistry {
 public:
  MetricRegistry();
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry&) = delete;
  MetricRegistry& operator=(const MetricRegistry&) = delete;

  /// Adds `amount` to a counter, which may have one label. Without a label both
  /// label arguments are empty.
  void Count(std::string_view name,
             std::string_view label_key = {},
             std::string_view label_value = {},
             uint64_t amount = 1);

  /// @returns a pointer to a counter, to increment it directly on hot paths. It
  /// stays valid as long as the registry exists.
  uint64_t* Counter(std::string_view name,
                    std::string_view label_key = {},
                    std::string_view label_value = {});

  void SetGauge(std::string_view name, double value);

  /// Adds a sample to a summary, which reports count, sum and the quantiles
  /// 0.5, 0.95 and 0.99.
  void Observe(std::string_view name, double value);

  /// @returns the value of a counter, or 0 if it does not exist.
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
