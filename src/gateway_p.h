// Private to the gateway: its parts and how they are connected.
#ifndef BRAMLEYBANK_SRC_GATEWAY_P_H_
#define BRAMLEYBANK_SRC_GATEWAY_P_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "config_catch_up.h"
#include "endpoint_adopter.h"
#include "endpoint_directory.h"
#include "endpoint_limiter.h"
#include "endpoint_picker.h"
#include "endpoint_prober.h"
#include "engine_loads.h"
#include "event_loop.h"
#include "gateway.h"
#include "gateway_caller.h"
#include "gateway_codec.h"
#include "gateway_config.h"
#include "gateway_drain.h"
#include "gateway_exchange.h"
#include "gateway_peers.h"
#include "gateway_relay.h"
#include "gateway_rows.h"
#include "gateway_settings.h"
#include "http_server.h"
#include "limit_retry_budget.h"
#include "load_message.h"
#include "memory_budget.h"
#include "metadata_store.h"
#include "metric_registry.h"
#include "permit_client.h"
#include "process_limits.h"
#include "prompt_locator.h"
#include "prompt_quarantine.h"
#include "rollout_controller.h"
#include "rollout_records.h"
#include "start_waiters.h"
#include "stop_admission.h"
#include "store_watch.h"
#include "stream_silence_monitor.h"
#include "tcp_listener.h"

namespace bramleybank {

class HttpResponder;

/// @returns random numbers with a seed of this process.
RandomHook MakeGatewayRandom();

struct Gateway::Impl {
  Impl(EventLoop* event_loop,
       const GatewaySettings& gateway_settings,
       MetadataStore* metadata_store,
       GatewayCodec gateway_codec,
       GatewayRows gateway_rows)
      : loop(event_loop),
        settings(gateway_settings),
        store(metadata_store),
        codec(std::move(gateway_codec)),
        rows(std::move(gateway_rows)) {}

  ~Impl() { loop->Cancel(memory_timer); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void ConnectParts();
  bool OpenPorts();
  bool OpenHttpPort(HttpServer* server,
                    const std::string& address,
                    HttpServer::Handler handler);
  void AnswerReady(const std::shared_ptr<HttpResponder>& responder) const;
  void AnswerMetrics(const std::shared_ptr<HttpResponder>& responder);
  void Accept(int fd);
  /// Closes a caller that has been idle for long enough, if there is one.
  /// @returns whether there is room for another caller.
  bool MakeRoomForCaller();
  void TurnAway(int fd);
  HttpServerOptions OperatorOptions() const;
  void CheckMemorySoon();
  void CheckMemory();
  void OnRequest(const std::shared_ptr<GatewayCaller>& caller,
                 GatewayRequest request);
  void StartExchange(uint64_t number,
                     const std::shared_ptr<GatewayCaller>& caller,
                     GatewayRequest request);
  bool IsReady() const {
    return config && endpoints_read && !catch_up.is_blocking();
  }
  void StartWaitingIfReady();
  void OnOperatorRow(const StoreRow& row);
  /// Puts a configuration in force if it is newer than the known one.
  /// @param row the operator's row, or what another gateway has of it.
  void OnConfig(const StoreRow& row);
  void OnRolloutRow(const StoreRow& row);
  void OnEndpointRow(const StoreRow& row);
  StoreWatchHooks WatchHooks(void (Impl::*on_row)(const StoreRow&),
                             const std::string& table);
  void OnPeersChanged();
  void UpdateRetryBudget();
  Duration RolloutPollInterval() const;
  Duration PromptInterval() const;
  void OnPromptQuarantined();
  void ArmSilenceCheck();
  void CheckSilence();
  /// Engines send reports.
  bool IsProbeable(const EndpointRecord* endpoint) const;
  /// Probes within what the endpoint has asked for: not during its pause, and
  /// with a permit if its rate is limited.
  void Probe(const EndpointRecord& endpoint);
  StopVerdict JudgeStop(const StopQuery& query) const;
  /// @param is_last whether the gateway stops right after this.
  void CloseIdleCallers(bool is_last);
  GatewayDrainLoad DrainLoad() const;
  void ContinueDrain();
  /// Refuses what is still open, then the requests behind it, and ends the
  /// event loop.
  void EndDrain();
  bool HasWaitingRequests() const;

  EventLoop* loop;
  GatewaySettings settings;
  MetadataStore* store;
  const GatewayCodec codec;
  const GatewayRows rows;
  const ClockHook clock = &SteadyNow;
  const RandomHook random = MakeGatewayRandom();
  MetricRegistry metrics;
  const MemorySettings limits =
      ResolveLimits(settings.memory, ReadProcessResources());
  MemoryBudget memory{limits.budget_bytes, clock,
                      [this] { CheckMemorySoon(); }};
  EndpointDirectory directory{clock};
  EndpointLimiter limiter{&directory,
                          &metrics,
                          {.clock = clock,
                           .ask = [this](const EndpointEntry& endpoint,
                                         const PermitQuery& query,
                                         PermitClient::Callback callback) {
                             permits.Ask(endpoint, query, std::move(callback));
                           }}};
  const GatewayMember self{.name = settings.name,
                           .failure_domain = settings.place.failure_domain,
                           .peer_address = settings.peer_address};
  EngineLoads loads{
      self,
      &metrics,
      {.clock = [this] { return loop->Now(); },
       .schedule =
           [this](Duration delay, std::function<void()> callback) {
             return loop->Schedule(delay, std::move(callback));
           },
       .cancel = [this](TimerHandle timer) { loop->Cancel(timer); },
       .send =
           [this](
               const GatewayMember& to,
               const LoadMessage& message,
               Duration timeout,
               std::function<void(const std::optional<LoadReport>&)> callback) {
             relay.SendLoads(to, message, timeout, std::move(callback));
           },
       .on_loss =
           [this](EngineKey engine) { directory.OnReportedLoss(engine); },
       .is_same_region =
           [this](const std::string& domain) {
             return settings.place.IsSameRegion(domain);
           }}};
  EndpointPicker picker{&directory, &limiter, settings.place, random,
                        settings.share_loads ? &loads : nullptr};
  RetryBudget budget{
      clock, random,
      RetryLimits{.share = settings.retry_share,
                  .extra = settings.retry_extra /
                           static_cast<double>(kAssumedPeerCount),
                  .begun_reserve = kBegunRetryReserve}};
  EndpointProber prober{loop, &codec, &metrics, [this] { CheckSilence(); }};
  StreamSilenceMonitor silence{[this](const std::string& endpoint_id) {
    return IsProbeable(directory.Find(endpoint_id)) ? &prober.Find(endpoint_id)
                                                    : nullptr;
  }};
  GatewayPeers peers{loop, store, self, random};
  GatewayRelay relay{
      loop,
      store,
      &metrics,
      self,
      {{rows.operator_table, RelayedStore::ReadMode::kWatched},
       {rows.endpoint_table, RelayedStore::ReadMode::kWatched},
       {kSuspectTable, RelayedStore::ReadMode::kWatched},
       {kRolloutTable, RelayedStore::ReadMode::kPolled}},
      std::min(settings.config_bound, settings.leave_bound),
      {.on_unknown_sender = [this] { peers.OnUnknownSender(); },
       .on_evidence =
           [this](const RelayEvidence& evidence) {
             return rollouts.OnEvidence(evidence.service, evidence.report);
           },
       .on_prompts =
           [this](std::string_view row) { prompts.OnHandedOver(row); },
       .on_prompt_query =
           [this](PromptHash prompt,
                  std::function<void(const std::string&)> callback) {
             prompts.Find(prompt, std::move(callback));
           },
       .on_permit_query =
           [this](const PermitQuery& query) { return permits.Answer(query); },
       .on_config_query =
           [this](uint64_t known_version) {
             return config && config->version() > known_version ? config_value
                                                                : std::string();
           },
       .on_loads =
           settings.share_loads
               ? [this](const LoadMessage&
                            message) { return loads.OnMessage(message); }
               : std::function<std::optional<LoadReport>(const LoadMessage&)>(),
       .random = random,
       .memory = &memory,
       .limits = limits}};
  PermitClient permits{
      settings.name,
      {.clock = clock,
       .random = random,
       .members = [this] { return peers.known_members(); },
       .gateways = [this] { return peers.budget_divisor(); },
       .call =
           [this](const GatewayMember& issuer,
                  const PermitQuery& query,
                  std::function<void(std::optional<PermitAnswer>)> callback) {
             relay.QueryPermits(issuer, query, std::move(callback));
           }}};
  std::shared_ptr<const GatewayConfig> config;
  // `config` as the operator wrote it.
  std::string config_value;
  ConfigCatchUp catch_up{
      loop,
      {.random = random,
       .find_members =
           [this](size_t count, ConfigCatchUp::MembersCallback callback) {
             peers.FindOthers(count, std::move(callback));
           },
       .ask =
           [this](const GatewayMember& member,
                  ConfigCatchUp::AnswerCallback callback) {
             relay.QueryConfig(member, config ? config->version() : 0,
                               std::move(callback));
           },
       .on_config =
           [this](const std::string& value) {
             OnConfig({.key = rows.config_key, .value = value});
           },
       .on_unblocked = [this] { StartWaitingIfReady(); }}};
  EndpointAdopter adopter{loop, &codec, &directory, [this] { return config; }};
  RolloutController rollouts{
      loop,
      relay.store(),
      &rows,
      settings.name,
      {.random = random,
       .gateways = [this] { return peers.budget_divisor(); },
       .poll_interval = [this] { return RolloutPollInterval(); },
       .share = {.share = settings.probe_share, .extra = settings.probe_extra},
       .is_reader = [this] { return relay.IsReader(); },
       .hand_over =
           [this](const std::string& service,
                  const std::string& report,
                  std::function<void(bool)> callback) {
             relay.ForwardEvidence({.service = service, .report = report},
                                   std::move(callback));
           }}};
  PromptLocator prompts{
      loop,
      store,
      settings.name,
      {.random = random,
       .interval = [this] { return PromptInterval(); },
       .is_reader = [this] { return relay.IsReader(); },
       .hand_over =
           [this](std::string row, std::function<void(bool)> callback) {
             relay.ForwardPrompts(std::move(row), std::move(callback));
           },
       .query_reader =
           [this](PromptHash prompt,
                  std::function<void(const std::string&)> callback) {
             relay.QueryPrompt(prompt, std::move(callback));
           }}};
  PromptQuarantine quarantine{
      loop,
      relay.store(),
      &metrics,
      {.wait = MaxStoreWait(settings.max_store_silence),
       .pause = kConfigReadPause},
      {.random = random,
       .is_reader = [this] { return relay.IsReader(); },
       .on_quarantined = [this] { OnPromptQuarantined(); }}};
  ExchangeContext exchange_context;
  GatewayCallerHooks caller_hooks;
  TcpListener listener{loop};
  HttpServer ready_server{loop, OperatorOptions()};
  HttpServer metrics_server{loop, OperatorOptions()};
  std::unique_ptr<StoreWatch> operator_watch;
  std::unique_ptr<StoreWatch> endpoint_watch;
  std::unordered_map<GatewayCaller*, std::shared_ptr<GatewayCaller>> callers;
  std::map<uint64_t, std::unique_ptr<GatewayExchange>> exchanges;
  uint64_t next_exchange = 1;
  StartWaiters start_waiters{
      loop, &metrics,
      [this](uint64_t number,
             const std::shared_ptr<GatewayCaller>& caller,
             GatewayRequest request) {
        StartExchange(number, caller, std::move(request));
      }};
  TimerHandle silence_timer;
  bool endpoints_read = false;
  StopAdmission stop_admission;
  std::unique_ptr<GatewayDrain> drain;
  TimerHandle drain_timer;
  // Set when the gateway only refuses what is left.
  std::optional<TimePoint> drain_ends_by;
  TimePoint last_accept;
  TimerHandle memory_timer;
  TimePoint last_memory_check;
  TimePoint last_turned_away;
  uint16_t caller_port = 0;
  Reason last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_P_H_
