// Keeps prompt parts that crash endpoints away from them, together with all
// other gateways.
#ifndef BRAMLEYBANK_SRC_PROMPT_QUARANTINE_H_
#define BRAMLEYBANK_SRC_PROMPT_QUARANTINE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "metadata_store.h"
#include "prompt_suspects.h"
#include "store_watch.h"
#include "suspect_tracker.h"

namespace bramleybank {

class EventLoop;
class MetricRegistry;

/// Table with one row of suspects for each service.
inline constexpr char kSuspectTable[] = "suspects";

/// Runs one SuspectTracker for each service that had a crash or an answer.
class PromptQuarantine {
 public:
  struct Hooks {
    RandomHook random;
    /// Whether this gateway reads the store itself.
    std::function<bool()> is_reader;
    /// A part was quarantined: requests that have it must be stopped.
    std::function<void()> on_quarantined;
  };

  /// @param store, metrics outlive this object.
  PromptQuarantine(EventLoop* loop,
                   MetadataStore* store,
                   MetricRegistry* metrics,
                   StoreWatchTimes times,
                   Hooks hooks);
  ~PromptQuarantine();
  PromptQuarantine(const PromptQuarantine&) = delete;
  PromptQuarantine& operator=(const PromptQuarantine&) = delete;

  void Start() { m_watch.Start(); }
  void SetPause(Duration pause) { m_watch.SetPause(pause); }

  /// An endpoint has cut off an attempt. See SuspectTracker.
  void OnLost(const std::string& service, std::string_view endpoint);
  void OnCrash(const std::string& service,
               std::span<const PromptPartHash> parts,
               std::string_view endpoint,
               bool has_head);
  void OnBegun(const std::string& service,
               std::span<const PromptPartHash> parts);

  /// @returns the quarantined parts because of which the request must not be
  /// sent.
  std::vector<PromptPartHash> FindBlocking(
      const std::string& service,
      std::span<const PromptPartHash> parts) const;
  /// @returns the time until the next trial of these quarantined parts may be
  /// asked for; nothing if one of them is not suspected.
  std::optional<Duration> RemainingTime(
      const std::string& service,
      std::span<const PromptPartHash> blocking) const;
  /// Asks to send one request with these parts as a trial.
  /// @param callback gets whether this is the only trial; runs once, later.
  /// @returns false when no trial is due.
  bool RequestTrial(const std::string& service,
                    std::span<const PromptPartHash> blocking,
                    std::function<void(bool granted)> callback);
  /// @returns null when the part is not suspected.
  const PromptSuspect* Find(const std::string& service,
                            PromptPartHash part) const;

 private:
  SuspectTracker* TrackerOf(const std::string& service);
  const SuspectTracker* FindTracker(const std::string& service) const;
  void OnRow(const StoreRow& row);
  void OnAllRows();
  void Tick();
  void ArmTick();
  void WriteRow(const std::string& service, SuspectTracker* tracker);
  void OnVerdict(const std::string& service,
                 CrashVerdict verdict,
                 const CrashReport& report);
  void OnQuarantined(const std::string& service, const PromptSuspect& suspect);
  void OnCleared(const std::string& service, const PromptSuspect& suspect);

  EventLoop* m_loop;
  MetadataStore* m_store;
  MetricRegistry* m_metrics;
  const Hooks m_hooks;
  StoreWatch m_watch;
  std::map<std::string, SuspectTracker> m_trackers;
  TimerHandle m_tick;
  // Callbacks that outlive this object detect that it has expired.
  std::shared_ptr<PromptQuarantine*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PROMPT_QUARANTINE_H_
