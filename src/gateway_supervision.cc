// Checks that a gateway repeats at an interval: silent streams, their backups,
// and the steps of a planned stop.
#include "gateway_p.h"

#include <algorithm>

#include "log_event.h"

namespace bramleybank {

void Gateway::Impl::OnPromptQuarantined() {
  for (const auto& [number, exchange] : exchanges) {
    exchange->OnQuarantined();
  }
}

void Gateway::Impl::ArmSilenceCheck() {
  if (!silence_timer.is_valid() && !silence.empty()) {
    silence_timer =
        loop->Schedule(kSilenceCheckInterval, [this] { CheckSilence(); });
  }
}

bool Gateway::Impl::IsProbeable(const EndpointRecord* endpoint) const {
  if (endpoint == nullptr || !config) {
    return false;
  }
  const GatewayService* service = config->FindService(endpoint->entry.service);
  return service != nullptr && service->engine;
}

void Gateway::Impl::Probe(const EndpointRecord& endpoint) {
  if (directory.IsPaused(endpoint)) {
    return;
  }
  if (limiter.MaySend(endpoint)) {
    if (prober.Probe(endpoint.entry)) {
      limiter.OnSend(endpoint);
    }
  } else if (limiter.MayAsk(endpoint)) {
    limiter.Request(endpoint, nullptr);
  }
}

void Gateway::Impl::CheckSilence() {
  loop->Cancel(std::exchange(silence_timer, TimerHandle()));
  const SilenceFindings findings = silence.Check(loop->Now());
  for (const std::string& id : findings.endpoints_to_probe) {
    const EndpointRecord* endpoint = directory.Find(id);
    if (IsProbeable(endpoint)) {
      Probe(*endpoint);
    }
  }
  for (const StreamLocation& place : findings.silent_domains) {
    directory.MarkDomainSuspect(place.service, place.failure_domain);
    LogLine(LogEventId::kDomainSilent)
        .Field("service", place.service)
        .Field("failure_domain", place.failure_domain);
  }
  for (const SilentStream& stream : findings.silent_streams) {
    const auto it = exchanges.find(stream.id);
    if (it != exchanges.end()) {
      it->second->OnSilence(stream.verdict);
    }
  }
  for (const auto& [number, exchange] : exchanges) {
    exchange->MaintainBackup();
  }
  ArmSilenceCheck();
}

StopVerdict Gateway::Impl::JudgeStop(const StopQuery& query) const {
  return drain ? stop_admission.Judge(query, drain->TimeLeft(loop->Now()))
               : StopVerdict::kSend;
}

void Gateway::Impl::CloseIdleCallers(bool is_last) {
  // Includes the connections that wait to be accepted.
  listener.AcceptPending();
  const auto open = callers;
  for (const auto& [key, caller] : open) {
    if (is_last || !caller->AwaitsFirstRequest()) {
      caller->CloseIfIdle(CallerCloseReason::kStopping);
    }
  }
}

GatewayDrainLoad Gateway::Impl::DrainLoad() const {
  return {.open_requests = exchanges.size(),
          .open_connections = callers.size(),
          .last_accept = last_accept};
}

void Gateway::Impl::ContinueDrain() {
  if (!drain || drain_ends_by) {
    return;
  }
  const GatewayDrainStep first = drain->Next(loop->Now(), DrainLoad());
  if (first.close_idle_callers) {
    CloseIdleCallers(first.stop);
  }
  const GatewayDrainStep step = drain->Next(loop->Now(), DrainLoad());
  loop->Cancel(drain_timer);
  if (step.stop) {
    drain_ends_by = loop->Now() + kDrainLastAnswersTime;
    EndDrain();
    return;
  }
  drain_timer =
      loop->Schedule(kDrainCheckInterval, [this] { ContinueDrain(); });
}

bool Gateway::Impl::HasWaitingRequests() const {
  return std::ranges::any_of(callers, [](const auto& caller) {
    return caller.second->HasNextRequest();
  });
}

void Gateway::Impl::EndDrain() {
  for (const auto& [number, exchange] : exchanges) {
    exchange->RefuseForStop();
  }
  if (HasWaitingRequests() && loop->Now() < *drain_ends_by) {
    // Callers read their next requests in tasks that are posted already.
    loop->Post([this] { EndDrain(); });
    return;
  }
  LogLine(LogEventId::kDrainEnded)
      .Field("requests", static_cast<long long>(exchanges.size()))
      .Field("connections", static_cast<long long>(callers.size()))
      .Field("not_accepted",
             static_cast<long long>(listener.pending_connections()));
  loop->Stop();
}

}  // namespace bramleybank
