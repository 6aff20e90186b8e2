// Timers, store calls, log lines and counters around SuspectTracker.
#include "prompt_quarantine.h"

#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "log_event.h"
#include "metric_registry.h"
#include "prompt_part.h"

namespace bramleybank {

PromptQuarantine::PromptQuarantine(EventLoop* loop,
                                   MetadataStore* store,
                                   MetricRegistry* metrics,
                                   StoreWatchTimes times,
                                   Hooks hooks)
    : m_loop(loop),
      m_store(store),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_watch(loop,
              store,
              kSuspectTable,
              times,
              {.on_row = [this](const StoreRow& row) { OnRow(row); },
               .on_restored = nullptr,
               .on_complete = [this] { OnAllRows(); },
               .on_reachable =
                   [](bool reachable, const std::string& detail) {
                     LogLine(reachable ? LogEventId::kPlatformReachable
                                       : LogEventId::kPlatformUnreachable)
                         .Field("table", kSuspectTable)
                         .Field("detail", detail);
                   },
               .random = m_hooks.random}),
      m_alive(std::make_shared<PromptQuarantine*>(this)) {}

PromptQuarantine::~PromptQuarantine() {
  m_loop->Cancel(m_tick);
}

SuspectTracker* PromptQuarantine::TrackerOf(const std::string& service) {
  const auto it = m_trackers.find(service);
  if (it != m_trackers.end()) {
    return &it->second;
  }
  if (m_trackers.size() >= kMaxSuspectServices) {
    return nullptr;
  }
  SuspectTracker::Hooks hooks = {
      .random = m_hooks.random,
      .is_reader = m_hooks.is_reader,
      .on_verdict =
          [this, service](CrashVerdict verdict, const CrashReport& report) {
            OnVerdict(service, verdict, report);
          },
      .on_quarantined =
          [this, service](const PromptSuspect& suspect) {
            OnQuarantined(service, suspect);
          },
      .on_cleared =
          [this, service](const PromptSuspect& suspect) {
            OnCleared(service, suspect);
          },
      .on_row_outdated =
          [this] {
            m_metrics->Count("bramleybank_suspect_rows_outdated_total");
          }};
  SuspectTracker* tracker =
      &m_trackers.try_emplace(service, std::move(hooks)).first->second;
  // The rows read so far contain none of this service.
  tracker->OnAllRows(service, m_watch.version(), m_loop->Now());
  return tracker;
}

const SuspectTracker* PromptQuarantine::FindTracker(
    const std::string& service) const {
  const auto it = m_trackers.find(service);
  return it == m_trackers.end() ? nullptr : &it->second;
}

void PromptQuarantine::OnRow(const StoreRow& row) {
  if (SuspectTracker* tracker = TrackerOf(row.key)) {
    tracker->OnRow(row, m_loop->Now());
    ArmTick();
  }
}

void PromptQuarantine::OnAllRows() {
  for (auto& [service, tracker] : m_trackers) {
    tracker.OnAllRows(service, m_watch.version(), m_loop->Now());
  }
  ArmTick();
}

void PromptQuarantine::OnLost(const std::string& service,
                              std::string_view endpoint) {
  if (SuspectTracker* tracker = TrackerOf(service)) {
    tracker->OnLost(endpoint, m_loop->Now());
  }
}

void PromptQuarantine::OnCrash(const std::string& service,
                               std::span<const PromptPartHash> parts,
                               std::string_view endpoint,
                               bool has_head) {
  if (SuspectTracker* tracker = TrackerOf(service)) {
    tracker->OnCrash(parts, endpoint, has_head, m_loop->Now());
    ArmTick();
  }
}

void PromptQuarantine::OnBegun(const std::string& service,
                               std::span<const PromptPartHash> parts) {
  SuspectTracker* tracker = parts.empty() ? nullptr : TrackerOf(service);
  if (tracker != nullptr) {
    tracker->OnBegun(parts, m_loop->Now());
    ArmTick();
  }
}

std::vector<PromptPartHash> PromptQuarantine::FindBlocking(
    const std::string& service,
    std::span<const PromptPartHash> parts) const {
  const SuspectTracker* tracker =
      parts.empty() ? nullptr : FindTracker(service);
  return tracker == nullptr ? std::vector<PromptPartHash>()
                            : tracker->FindBlocking(parts);
}

const PromptSuspect* PromptQuarantine::Find(const std::string& service,
                                            PromptPartHash part) const {
  const SuspectTracker* tracker = FindTracker(service);
  return tracker == nullptr ? nullptr : tracker->view().Find(part);
}

std::optional<Duration> PromptQuarantine::RemainingTime(
    const std::string& service,
    std::span<const PromptPartHash> blocking) const {
  const SuspectTracker* tracker = FindTracker(service);
  return tracker == nullptr ? std::nullopt
                            : tracker->RemainingTime(blocking, m_loop->Now());
}

bool PromptQuarantine::RequestTrial(const std::string& service,
                                    std::span<const PromptPartHash> blocking,
                                    std::function<void(bool)> callback) {
  SuspectTracker* tracker = TrackerOf(service);
  if (tracker == nullptr || !tracker->IsTrialDue(blocking, m_loop->Now())) {
    return false;
  }
  const auto is_open = std::make_shared<bool>(true);
  const auto end = [is_open, callback = std::move(callback)](bool granted) {
    if (std::exchange(*is_open, false)) {
      callback(granted);
    }
  };
  tracker->RequestTrial(
      blocking,
      [loop = m_loop, end](bool granted) {
        // Deferred, because the tracker is still inside one of its methods.
        loop->Post([end, granted] { end(granted); });
      },
      m_loop->Now());
  m_loop->Schedule(kMaxTrialWait, [end] { end(false); });
  ArmTick();
  return true;
}

void PromptQuarantine::ArmTick() {
  if (m_tick.is_valid()) {
    return;
  }
  for (const auto& [service, tracker] : m_trackers) {
    if (tracker.IsBusy()) {
      m_tick = m_loop->Schedule(kSuspectCheckInterval, [this] { Tick(); });
      return;
    }
  }
}

void PromptQuarantine::Tick() {
  m_tick = TimerHandle();
  for (auto& [service, tracker] : m_trackers) {
    if (tracker.IsBusy()) {
      tracker.Advance(m_loop->Now());
      WriteRow(service, &tracker);
    }
  }
  ArmTick();
}

void PromptQuarantine::WriteRow(const std::string& service,
                                SuspectTracker* tracker) {
  const auto write = tracker->NextWrite(m_loop->Now());
  if (!write) {
    return;
  }
  m_store->Write({.table = kSuspectTable,
                  .key = service,
                  .value = write->value,
                  .expected_version = write->expected_version},
                 [weak = std::weak_ptr(m_alive), tracker](StoreResult result) {
                   const auto self = weak.lock();
                   if (!self) {
                     return;
                   }
                   (*self)->m_metrics->Count(
                       "bramleybank_suspect_writes_total", "result",
                       result == StoreResult::kOk         ? "ok"
                       : result == StoreResult::kConflict ? "conflict"
                                                          : "unavailable");
                   tracker->OnWritten(result, (*self)->m_loop->Now());
                   (*self)->ArmTick();
                 });
}

void PromptQuarantine::OnVerdict(const std::string& service,
                                 CrashVerdict verdict,
                                 const CrashReport& report) {
  m_metrics->Count("bramleybank_crashes_judged_total", "verdict",
                   NameOf(verdict));
  std::vector<PromptPartHash> parts;
  for (const ChargedPart& charged : report.parts) {
    parts.push_back(charged.part);
  }
  LogLine(LogEventId::kCrashCharged)
      .Field("service", service)
      .Field("verdict", NameOf(verdict))
      .Field("address", report.endpoint)
      .Field("weight", report.weight)
      .Field("parts", FormatParts(parts));
}

void PromptQuarantine::OnQuarantined(const std::string& service,
                                     const PromptSuspect& suspect) {
  m_metrics->Count("bramleybank_prompts_quarantined_total");
  LogLine(LogEventId::kPromptQuarantined)
      .Field("service", service)
      .Field("part", FormatPart(suspect.part))
      .Field("weight", suspect.weight)
      .Field("crashes", suspect.crashes)
      .Field("known", suspect.is_known ? 1 : 0)
      .Field("address", suspect.endpoint)
      .Field("companions", FormatParts(suspect.companions));
  // Deferred, because the tracker is still inside one of its methods.
  m_loop->Post([weak = std::weak_ptr(m_alive)] {
    if (const auto self = weak.lock()) {
      (*self)->m_hooks.on_quarantined();
    }
  });
}

void PromptQuarantine::OnCleared(const std::string& service,
                                 const PromptSuspect& suspect) {
  m_metrics->Count("bramleybank_prompts_cleared_total", "state",
                   suspect.IsQuarantined() ? "quarantined" : "suspected");
  if (!suspect.IsQuarantined()) {
    return;
  }
  LogLine(LogEventId::kPromptCleared)
      .Field("service", service)
      .Field("part", FormatPart(suspect.part))
      .Field("crashes", suspect.crashes)
      .Field("trials", suspect.trials);
}

}  // namespace bramleybank
