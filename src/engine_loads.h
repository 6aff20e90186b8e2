// The load of engines, as far as this gateway knows it: its own requests, what
// other gateways report, and the speeds of the engines.
#ifndef BRAMLEYBANK_SRC_ENGINE_LOADS_H_
#define BRAMLEYBANK_SRC_ENGINE_LOADS_H_

#include <functional>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include "engine_load.h"
#include "engine_speeds.h"
#include "hooks.h"
#include "load_exchange.h"
#include "load_ledger.h"
#include "load_view.h"
#include "placement_estimate.h"

namespace bramleybank {

class MetricRegistry;
struct EndpointEntry;
struct GatewayMember;

/// Parts that share loads, and the interface to them.
class EngineLoads {
 public:
  EngineLoads(const GatewayMember& self,
              MetricRegistry* metrics,
              LoadExchange::Hooks hooks);

  /// A request is sent. @returns its entry in the ledger.
  LoadLedger::EntryId OnSent(const EndpointEntry& engine,
                             const RunSize& size,
                             bool reads_prompt);
  /// The first event of an attempt has arrived.
  /// @param started_at when it was sent.
  void OnFirstEvent(LoadLedger::EntryId id,
                    const EndpointEntry& engine,
                    const RunSize& size,
                    TimePoint started_at);
  LoadLedger::EntryId OnCopyOpened(const EndpointEntry& engine,
                                   const RunSize& size);
  /// A request has ended or a copy is released; 0 is ignored.
  void OnEnded(LoadLedger::EntryId id);

  /// The engine has been lost; tells the other gateways.
  void OnLost(const EndpointEntry& engine) {
    m_exchange.OnOwnLoss(KeyOf(engine));
  }

  /// Brings the loads up to date; see LoadExchange::Refresh().
  void Refresh(std::function<void()> callback) {
    m_exchange.Refresh(std::move(callback));
  }
  void SetMembers(const std::vector<GatewayMember>& members) {
    m_exchange.SetMembers(members);
  }
  std::optional<LoadReport> OnMessage(const LoadMessage& message) {
    return m_exchange.OnMessage(message);
  }

  /// @returns the state of an engine for an estimate.
  PlacementEngine Describe(EngineKey engine, int slots) const;

 private:
  const ClockHook m_clock;
  EngineSpeeds m_speeds;
  LoadLedger m_ledger;
  LoadView m_view;
  LoadExchange m_exchange;
  // Requests whose engine read no other prompt when they were sent.
  std::unordered_set<LoadLedger::EntryId> m_reads_alone;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENGINE_LOADS_H_
