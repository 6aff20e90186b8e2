// Sums over reports, weighted by their age.
#include "load_aggregator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

double WeightAt(Duration age) {
  constexpr Duration kFull = kFullLoadAge;
  constexpr Duration kMax = kMaxLoadAge;
  const double left = static_cast<double>((kMax - age).count()) /
                      static_cast<double>((kMax - kFull).count());
  return std::clamp(left, 0.0, 1.0);
}

EngineLoad Scale(const EngineLoad& load, double weight) {
  const auto scale = [weight](auto value) {
    return static_cast<decltype(value)>(
        std::llround(static_cast<double>(value) * weight));
  };
  return {.runs = scale(load.runs),
          .prefills = scale(load.prefills),
          .prefill_tokens = scale(load.prefill_tokens),
          .memory_tokens = scale(load.memory_tokens)};
}

void AddEntries(const std::vector<EngineLoadEntry>& entries,
                double weight,
                std::map<EngineKey, EngineLoad>* sums) {
  for (const EngineLoadEntry& entry : entries) {
    (*sums)[entry.engine] +=
        weight < 1 ? Scale(entry.load, weight) : entry.load;
  }
}

std::vector<EngineLoadEntry> ToEntries(
    const std::map<EngineKey, EngineLoad>& sums) {
  std::vector<EngineLoadEntry> entries;
  entries.reserve(sums.size());
  for (const auto& [engine, load] : sums) {
    if (load != EngineLoad{}) {
      entries.push_back({.engine = engine, .load = load});
    }
  }
  return entries;
}

}  // namespace

LoadAggregator::LoadAggregator(ClockHook clock) : m_clock(std::move(clock)) {}

void LoadAggregator::Set(Reports* reports,
                         std::string_view source,
                         std::vector<EngineLoadEntry> entries) const {
  const TimePoint now = m_clock();
  std::erase_if(*reports, [now](const auto& item) {
    return now - item.second.received_at > kMaxLoadAge;
  });
  reports->insert_or_assign(
      std::string(source),
      Report{.entries = std::move(entries), .received_at = now});
}

void LoadAggregator::OnGatewayReport(std::string_view gateway,
                                     std::vector<EngineLoadEntry> entries) {
  Set(&m_gateways, gateway, std::move(entries));
}

void LoadAggregator::OnDomainReport(std::string_view domain,
                                    std::vector<EngineLoadEntry> entries) {
  Set(&m_domains, domain, std::move(entries));
}

void LoadAggregator::OnLosses(const std::vector<EngineKey>& engines,
                              bool is_own_domain) {
  const TimePoint now = m_clock();
  std::erase_if(m_losses, [now](const auto& item) {
    return now - item.second.reported_at > kLossReportAge;
  });
  for (const EngineKey engine : engines) {
    m_losses.try_emplace(
        engine, Loss{.reported_at = now, .is_own_domain = is_own_domain});
  }
}

std::vector<EngineKey> LoadAggregator::RecentLosses(
    bool only_own_domain) const {
  const TimePoint now = m_clock();
  std::vector<EngineKey> engines;
  for (const auto& [engine, loss] : m_losses) {
    if (now - loss.reported_at <= kLossReportAge &&
        (loss.is_own_domain || !only_own_domain) &&
        engines.size() < kMaxLossesPerReport) {
      engines.push_back(engine);
    }
  }
  return engines;
}

void LoadAggregator::Add(const Reports& reports,
                         std::string_view except,
                         Sums* sums) const {
  const TimePoint now = m_clock();
  for (const auto& [source, report] : reports) {
    const double weight = WeightAt(now - report.received_at);
    if (source != except && weight > 0) {
      AddEntries(report.entries, weight, sums);
    }
  }
}

std::vector<EngineLoadEntry> LoadAggregator::Totals(
    std::string_view except,
    const std::vector<EngineLoadEntry>& own) const {
  Sums sums;
  Add(m_gateways, except, &sums);
  Add(m_domains, {}, &sums);
  AddEntries(own, 1, &sums);
  return ToEntries(sums);
}

std::vector<EngineLoadEntry> LoadAggregator::DomainTotals(
    const std::vector<EngineLoadEntry>& own) const {
  Sums sums;
  Add(m_gateways, {}, &sums);
  AddEntries(own, 1, &sums);
  return ToEntries(sums);
}

}  // namespace bramleybank
