// Connects the parts that share loads.
#include "engine_loads.h"

#include "endpoint_entry.h"
#include "gateway_member.h"

namespace bramleybank {

EngineLoads::EngineLoads(const GatewayMember& self,
                         MetricRegistry* metrics,
                         LoadExchange::Hooks hooks)
    : m_clock(hooks.clock),
      m_speeds(m_clock),
      m_ledger({.clock = m_clock,
                .speed =
                    [this](EngineKey engine) {
                      const double speed = m_speeds.Find(engine);
                      return speed > 0 ? speed : m_speeds.Average();
                    },
                .on_change = [this] { m_exchange.OnOwnLoadChanged(); }}),
      m_view(&m_ledger, m_clock),
      m_exchange(self,
                 &m_ledger,
                 &m_view,
                 &m_speeds,
                 metrics,
                 std::move(hooks)) {}

LoadLedger::EntryId EngineLoads::OnSent(const EndpointEntry& engine,
                                        const RunSize& size,
                                        bool reads_prompt) {
  const EngineKey key = KeyOf(engine);
  const bool is_alone = m_view.Find(key).prefills == 0;
  const LoadLedger::EntryId id = m_ledger.OnSent(key, size, reads_prompt);
  if (reads_prompt && is_alone) {
    m_reads_alone.insert(id);
  }
  return id;
}

void EngineLoads::OnFirstEvent(LoadLedger::EntryId id,
                               const EndpointEntry& engine,
                               const RunSize& size,
                               TimePoint started_at) {
  const EngineKey key = KeyOf(engine);
  m_ledger.OnFirstEvent(id);
  if (m_reads_alone.erase(id) > 0 && m_view.Find(key).prefills == 0) {
    m_speeds.OnPromptRead(key, size.prompt_tokens, m_clock() - started_at);
  }
}

LoadLedger::EntryId EngineLoads::OnCopyOpened(const EndpointEntry& engine,
                                              const RunSize& size) {
  return m_ledger.OnCopyOpened(KeyOf(engine), size);
}

void EngineLoads::OnEnded(LoadLedger::EntryId id) {
  m_reads_alone.erase(id);
  m_ledger.OnEnded(id);
}

PlacementEngine EngineLoads::Describe(EngineKey engine, int slots) const {
  return {.load = m_view.Find(engine),
          .slots = slots,
          .speed = m_speeds.Find(engine),
          .average_speed = m_speeds.Average()};
}

}  // namespace bramleybank
