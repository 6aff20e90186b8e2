// Sum of the own load and that of the other gateways.
#include "load_view.h"

#include <utility>

#include "bramleybank/limits.h"
#include "load_ledger.h"

namespace bramleybank {

LoadView::LoadView(const LoadLedger* ledger, ClockHook clock)
    : m_ledger(ledger), m_clock(std::move(clock)) {}

void LoadView::SetOthers(const std::vector<EngineLoadEntry>& entries) {
  m_others.clear();
  for (const EngineLoadEntry& entry : entries) {
    m_others[entry.engine] += entry.load;
  }
  m_others_at = m_clock();
}

EngineLoad LoadView::Find(EngineKey engine) const {
  EngineLoad load = m_ledger->Find(engine);
  const auto it = m_others.find(engine);
  if (it != m_others.end() && m_clock() - m_others_at < kMaxLoadAge) {
    load += it->second;
  }
  return load;
}

}  // namespace bramleybank
