// Connects the parts of a gateway through their hooks.
#include "gateway_p.h"

#include <random>

#include "log_event.h"

namespace bramleybank {

RandomHook MakeGatewayRandom() {
  auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
  return [engine] { return (*engine)(); };
}

void Gateway::Impl::ConnectParts() {
  const auto is_draining = [this] { return drain != nullptr; };
  exchange_context = {
      .loop = loop,
      .codec = &codec,
      .directory = &directory,
      .picker = &picker,
      .limiter = &limiter,
      .budget = &budget,
      .silence = &silence,
      .prober = &prober,
      .metrics = &metrics,
      .adopter = &adopter,
      .rollouts = &rollouts,
      .prompts = &prompts,
      .quarantine = &quarantine,
      .loads = settings.share_loads ? &loads : nullptr,
      .memory = &memory,
      .random = random,
      .config = [this] { return config; },
      .judge_stop = [this](const StopQuery& query) { return JudgeStop(query); },
      .on_monitored = [this] { ArmSilenceCheck(); },
      .on_answer_time =
          [this](const std::string& route, Duration time) {
            stop_admission.OnAnswer(route, time);
          }};
  caller_hooks = {
      .on_request =
          [this](const std::shared_ptr<GatewayCaller>& caller,
                 GatewayRequest request) {
            OnRequest(caller, std::move(request));
          },
      .on_closed =
          [this](GatewayCaller* caller, CallerCloseReason reason) {
            metrics.Count("bramleybank_caller_closes_total", "reason",
                          NameOf(reason));
            callers.erase(caller);
          },
      .on_input_dropped =
          [this](size_t bytes) {
            metrics.Count("bramleybank_caller_bytes_dropped_total", {}, {},
                          bytes);
          },
      .limits = [this] { return config ? config->limits() : CallerLimits{}; },
      .on_refused =
          [this](ResultCode code) {
            metrics.Count("bramleybank_refusals_total", "reason",
                          InfoOf(code).name);
          },
      .is_draining = is_draining,
      .memory = &memory,
      .memory_limits = limits};
  peers.SetChangeHandler([this] { OnPeersChanged(); });
  operator_watch = std::make_unique<StoreWatch>(
      loop, relay.store(), rows.operator_table,
      StoreWatchTimes{.wait = MaxStoreWait(settings.max_store_silence),
                      .pause = kConfigReadPause},
      WatchHooks(&Impl::OnOperatorRow, rows.operator_table));
  endpoint_watch = std::make_unique<StoreWatch>(
      loop, relay.store(), rows.endpoint_table,
      StoreWatchTimes{.wait = MaxStoreWait(settings.max_store_silence),
                      .pause = kMinEndpointReadPause},
      WatchHooks(&Impl::OnEndpointRow, rows.endpoint_table));
}

StoreWatchHooks Gateway::Impl::WatchHooks(void (Impl::*on_row)(const StoreRow&),
                                          const std::string& table) {
  return {
      .on_row = [this, on_row](const StoreRow& row) { (this->*on_row)(row); },
      .on_restored =
          [this, table] {
            metrics.Count("bramleybank_store_restores_total", "table", table);
            LogLine(LogEventId::kStoreRestored).Field("table", table);
            if (table == rows.endpoint_table) {
              directory.OnStoreRestored();
              peers.OnStoreRestored();
              prompts.OnStoreRestored();
            } else {
              catch_up.OnRestored();
            }
          },
      .on_complete =
          [this, is_endpoints = table == rows.endpoint_table] {
            if (is_endpoints && !std::exchange(endpoints_read, true)) {
              LogLine(LogEventId::kEndpointsRead)
                  .Field("endpoints", static_cast<long long>(directory.size()));
              StartWaitingIfReady();
            }
          },
      .on_reachable =
          [this, table](bool reachable, const std::string& detail) {
            if (table == rows.endpoint_table) {
              directory.SetStoreLost(!reachable);
            }
            LogLine(reachable ? LogEventId::kPlatformReachable
                              : LogEventId::kPlatformUnreachable)
                .Field("table", table)
                .Field("detail", detail);
          },
      .random = random};
}

}  // namespace bramleybank
