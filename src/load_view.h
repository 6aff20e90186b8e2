// What a gateway knows of the load of all engines.
#ifndef BRAMLEYBANK_SRC_LOAD_VIEW_H_
#define BRAMLEYBANK_SRC_LOAD_VIEW_H_

#include <unordered_map>
#include <vector>

#include "engine_load.h"
#include "hooks.h"

namespace bramleybank {

class LoadLedger;

/// The load of this gateway, known exactly, and that of the others as of the
/// last answer. Without a recent answer only the own load counts, as if there
/// were no other gateways.
class LoadView {
 public:
  /// @param ledger outlives this object.
  LoadView(const LoadLedger* ledger, ClockHook clock);

  /// Replaces what is known of the other gateways.
  void SetOthers(const std::vector<EngineLoadEntry>& entries);
  EngineLoad Find(EngineKey engine) const;

 private:
  const LoadLedger* m_ledger;
  const ClockHook m_clock;
  std::unordered_map<EngineKey, EngineLoad> m_others;
  TimePoint m_others_at;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LOAD_VIEW_H_
