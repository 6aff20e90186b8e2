// Metrics built on Boost.Accumulators. Quantiles are estimated by the P-square
// algorithm, which stores a few markers instead of all samples.
#include "metric_registry.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <set>
#include <sstream>

namespace bramleybank {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using SummaryAccumulator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

SummaryAccumulator MakeSummary() {
  return SummaryAccumulator(acc::extended_p_square_probabilities = kQuantiles);
}

std::string SeriesName(std::string_view name,
                       std::string_view label_key,
                       std::string_view label_value) {
  std::string series(name);
  if (!label_key.empty()) {
    series.append("{").append(label_key).append("=\"");
    series.append(label_value).append("\"}");
  }
  return series;
}

std::string_view BaseName(std::string_view series) {
  return series.substr(0, series.find('{'));
}

}  // namespace

struct MetricRegistry::Impl {
  std::map<std::string, uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, SummaryAccumulator, std::less<>> summaries;
};

MetricRegistry::MetricRegistry() : m_impl(std::make_unique<Impl>()) {}

MetricRegistry::~MetricRegistry() = default;

void MetricRegistry::Count(std::string_view name,
                           std::string_view label_key,
                           std::string_view label_value,
                           uint64_t amount) {
  *Counter(name, label_key, label_value) += amount;
}

uint64_t* MetricRegistry::Counter(std::string_view name,
                                  std::string_view label_key,
                                  std::string_view label_value) {
  // Map nodes do not move, so the pointer stays valid.
  return &m_impl->counters[SeriesName(name, label_key, label_value)];
}

void MetricRegistry::SetGauge(std::string_view name, double value) {
  m_impl->gauges[std::string(name)] = value;
}

void MetricRegistry::Observe(std::string_view name, double value) {
  auto it = m_impl->summaries.find(name);
  if (it == m_impl->summaries.end()) {
    it = m_impl->summaries.emplace(std::string(name), MakeSummary()).first;
  }
  it->second(value);
}

uint64_t MetricRegistry::CounterValue(std::string_view name,
                                      std::string_view label_key,
                                      std::string_view label_value) const {
  const auto it =
      m_impl->counters.find(SeriesName(name, label_key, label_value));
  return it == m_impl->counters.end() ? 0 : it->second;
}

std::string MetricRegistry::Render() const {
  std::ostringstream out;
  std::set<std::string_view> typed;
  for (const auto& [series, value] : m_impl->counters) {
    if (typed.insert(BaseName(series)).second) {
      out << "# TYPE " << BaseName(series) << " counter\n";
    }
    out << series << ' ' << value << '\n';
  }
  for (const auto& [name, value] : m_impl->gauges) {
    out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
  }
  for (const auto& [name, summary] : m_impl->summaries) {
    out << "# TYPE " << name << " summary\n";
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      out << name << "{quantile=\"" << kQuantiles[i] << "\"} "
          << acc::extended_p_square(summary)[static_cast<ptrdiff_t>(i)] << '\n';
    }
    out << name << "_sum " << acc::sum(summary) << '\n';
    out << name << "_count " << acc::count(summary) << '\n';
  }
  return out.str();
}

}  // namespace bramleybank
