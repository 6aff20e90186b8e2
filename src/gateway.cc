// Builds the parts of a gateway, connects them, and runs its graceful shutdown.
#include "gateway.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <random>
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
#include "event_loop.h"
#include "gateway_caller.h"
#include "gateway_codec.h"
#include "gateway_config.h"
#include "gateway_drain.h"
#include "gateway_exchange.h"
#include "gateway_peers.h"
#include "gateway_relay.h"
#include "gateway_rows.h"
#include "gateway_settings.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "limit_retry_budget.h"
#include "log_event.h"
#include "metadata_store.h"
#include "metric_registry.h"
#include "permit_client.h"
#include "prompt_locator.h"
#include "prompt_quarantine.h"
#include "rollout_controller.h"
#include "rollout_records.h"
#include "start_waiters.h"
#include "stop_admission.h"
#include "store_watch.h"
#include "stream_silence_monitor.h"
#include "tcp_address.h"
#include "tcp_listener.h"

namespace bramleybank {
namespace {

constexpr int kReadyStatus = 200;
constexpr int kNotReadyStatus = 503;

RandomHook MakeRandom() {
  auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
  return [engine] { return (*engine)(); };
}

}  // namespace

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

  void ConnectParts();
  bool OpenPorts();
  bool OpenHttpPort(HttpServer* server,
                    const std::string& address,
                    HttpServer::Handler handler);
  void AnswerReady(const std::shared_ptr<HttpResponder>& responder) const;
  void AnswerMetrics(const std::shared_ptr<HttpResponder>& responder);
  void Accept(int fd);
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
  /// Engines send reports; those that have asked for no requests are not
  /// probed.
  bool IsProbeable(const EndpointRecord* endpoint) const;
  StopVerdict JudgeStop(const StopQuery& query) const;
  /// @param is_last whether the gateway stops right after this.
  void CloseIdleCallers(bool is_last);
  GatewayDrainLoad DrainLoad() const;
  void ContinueDrain();

  EventLoop* loop;
  GatewaySettings settings;
  MetadataStore* store;
  const GatewayCodec codec;
  const GatewayRows rows;
  const ClockHook clock = &SteadyNow;
  const RandomHook random = MakeRandom();
  MetricRegistry metrics;
  EndpointDirectory directory{clock};
  EndpointLimiter limiter{&directory,
                          &metrics,
                          {.clock = clock,
                           .ask = [this](const EndpointEntry& endpoint,
                                         const PermitQuery& query,
                                         PermitClient::Callback callback) {
                             permits.Ask(endpoint, query, std::move(callback));
                           }}};
  EndpointPicker picker{&directory, &limiter, settings.place, random};
  RetryBudget budget{
      clock, random,
      RetryLimits{.share = settings.retry_share,
                  .extra = settings.retry_extra /
                           static_cast<double>(kAssumedPeerCount)}};
  EndpointProber prober{loop, &codec, &metrics, [this] { CheckSilence(); }};
  StreamSilenceMonitor silence{[this](const std::string& endpoint_id) {
    return IsProbeable(directory.Find(endpoint_id)) ? &prober.Find(endpoint_id)
                                                    : nullptr;
  }};
  const GatewayMember self{.name = settings.name,
                           .failure_domain = settings.place.failure_domain,
                           .peer_address = settings.peer_address};
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
       .random = random}};
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
  size_t buffered_bytes = 0;
  ExchangeContext exchange_context;
  GatewayCallerHooks caller_hooks;
  TcpListener listener{loop};
  HttpServer ready_server{loop, {}};
  HttpServer metrics_server{loop, {}};
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
  TimePoint last_accept;
  uint16_t caller_port = 0;
  Reason last_reason;
};

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
      .buffered_bytes = &buffered_bytes,
      .random = random,
      .config = [this] { return config; },
      .judge_stop = [this](const StopQuery& query) { return JudgeStop(query); },
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
      .is_draining = is_draining};
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

void Gateway::Impl::OnOperatorRow(const StoreRow& row) {
  if (row.key.starts_with(rows.rollout_key_prefix)) {
    OnRolloutRow(row);
    return;
  }
  if (row.key != rows.config_key || row.deleted) {
    return;
  }
  if (!config && row.version.era > 0) {
    catch_up.OnFirstConfig();
  }
  OnConfig(row);
}

void Gateway::Impl::OnConfig(const StoreRow& row) {
  auto values = rows.decode_config(row.value);
  if (!values) {
    LogLine(LogEventId::kConfigRefused)
        .Field("row_version", static_cast<long long>(row.version.number));
    return;
  }
  if (config && values->version <= config->version()) {
    if (values->version < config->version()) {
      LogLine(LogEventId::kConfigOutdated)
          .Field("config", static_cast<long long>(values->version))
          .Field("in_force", static_cast<long long>(config->version()))
          .Field("row_version", static_cast<long long>(row.version.number))
          .Field("era", static_cast<long long>(row.version.era));
    }
    return;
  }
  config = std::make_shared<const GatewayConfig>(std::move(*values));
  config_value = row.value;
  LogLine(LogEventId::kConfigInForce)
      .Field("config", static_cast<long long>(config->version()))
      .Field("row_version", static_cast<long long>(row.version.number))
      .Field("era", static_cast<long long>(row.version.era))
      .Field("routes", static_cast<long long>(config->values().routes.size()));
  StartWaitingIfReady();
}

void Gateway::Impl::StartWaitingIfReady() {
  if (IsReady()) {
    start_waiters.StartAll();
  }
}

void Gateway::Impl::OnRolloutRow(const StoreRow& row) {
  const std::string service = row.key.substr(rows.rollout_key_prefix.size());
  const auto order = row.deleted ? std::nullopt : rows.decode_rollout(row);
  if (order && order->service == service) {
    rollouts.OnOrder(*order);
    return;
  }
  rollouts.OnOrderRemoved(service, row.version);
  if (!row.deleted) {
    LogLine(LogEventId::kRolloutRefused)
        .Field("service", service)
        .Field("row_version", static_cast<long long>(row.version.number));
  }
}

void Gateway::Impl::OnEndpointRow(const StoreRow& row) {
  if (row.deleted) {
    directory.Remove(row.key);
    LogLine(LogEventId::kEndpointGone)
        .Field("endpoint", row.key)
        .Field("row_version", static_cast<long long>(row.version.number));
    return;
  }
  const auto entry = rows.decode_endpoint(row.key, row.value);
  if (!entry) {
    directory.Remove(row.key);
    LogLine(LogEventId::kEntryUnreadable)
        .Field("endpoint", row.key)
        .Field("row_version", static_cast<long long>(row.version.number));
    return;
  }
  const EndpointRecord* known = directory.Find(row.key);
  const bool changed =
      known == nullptr || known->removed_at || known->entry != *entry;
  directory.Update(*entry);
  // Not logged during the initial read: thousands of lines would delay the
  // first answers.
  if (changed && endpoints_read) {
    LogLine(LogEventId::kEndpointChanged)
        .Field("endpoint", row.key)
        .Field("address", entry->address)
        .Field("service", entry->service)
        .Field("draining", entry->state == EndpointState::kDraining ? 1 : 0)
        .Field("row_version", static_cast<long long>(row.version.number));
  }
}

void Gateway::Impl::OnPeersChanged() {
  relay.SetMembers(peers.members());
  const auto readers = static_cast<int64_t>(relay.reader_count());
  endpoint_watch->SetPause(
      relay.IsReader()
          ? std::clamp<Duration>(kEndpointReadPausePerReader * readers,
                                 kMinEndpointReadPause, kMaxEndpointReadPause)
          : kFollowerReadPause);
  operator_watch->SetPause(relay.IsReader() ? kConfigReadPause
                                            : kFollowerReadPause);
  quarantine.SetPause(relay.IsReader() ? kConfigReadPause : kFollowerReadPause);
  UpdateRetryBudget();
}

void Gateway::Impl::UpdateRetryBudget() {
  budget.SetExtra(settings.retry_extra /
                  static_cast<double>(peers.budget_divisor()));
}

Duration Gateway::Impl::RolloutPollInterval() const {
  const auto spread = static_cast<uint64_t>(kRolloutPollJitter.count());
  return std::max<Duration>(kMinRolloutPollInterval,
                            kRolloutPollIntervalPerReader *
                                static_cast<int64_t>(relay.reader_count())) +
         Duration(static_cast<int64_t>(random() % spread));
}

Duration Gateway::Impl::PromptInterval() const {
  if (!relay.IsReader()) {
    return kPromptHandOverInterval;
  }
  return std::max<Duration>(kPromptWriteInterval,
                            kPromptWriteIntervalPerReader *
                                static_cast<int64_t>(relay.reader_count()));
}

bool Gateway::Impl::OpenHttpPort(HttpServer* server,
                                 const std::string& address,
                                 HttpServer::Handler handler) {
  // ReadGatewaySettings() has validated the address.
  const IpAndPort endpoint = SplitTcpAddress(address).value();
  if (server->Start(endpoint.ip, endpoint.port, std::move(handler))) {
    return true;
  }
  last_reason = server->last_reason();
  return false;
}

bool Gateway::Impl::OpenPorts() {
  const auto port =
      listener.Start(settings.caller_address, [this](int fd) { Accept(fd); });
  caller_port = port.value_or(0);
  if (!port) {
    last_reason = listener.last_reason();
    return false;
  }
  if (!relay.Start()) {
    last_reason = relay.last_reason();
    return false;
  }
  return OpenHttpPort(&ready_server, settings.ready_address,
                      [this](const HttpRequest&,
                             const std::shared_ptr<HttpResponder>& responder) {
                        AnswerReady(responder);
                      }) &&
         OpenHttpPort(&metrics_server, settings.metrics_address,
                      [this](const HttpRequest&,
                             const std::shared_ptr<HttpResponder>& responder) {
                        AnswerMetrics(responder);
                      });
}

void Gateway::Impl::AnswerReady(
    const std::shared_ptr<HttpResponder>& responder) const {
  const bool ready = IsReady() && !drain;
  responder->Respond(ready ? kReadyStatus : kNotReadyStatus, {},
                     ready ? "ready\n" : "not ready\n");
}

void Gateway::Impl::AnswerMetrics(
    const std::shared_ptr<HttpResponder>& responder) {
  metrics.SetGauge("bramleybank_endpoints",
                   static_cast<double>(directory.size()));
  metrics.SetGauge("bramleybank_config_version",
                   config ? static_cast<double>(config->version()) : 0);
  metrics.SetGauge("bramleybank_gateways", static_cast<double>(peers.count()));
  metrics.SetGauge("bramleybank_reads_store", relay.IsReader() ? 1 : 0);
  metrics.SetGauge("bramleybank_log_lines_dropped",
                   static_cast<double>(DroppedLogLines()));
  metrics.SetGauge("bramleybank_open_requests",
                   static_cast<double>(exchanges.size()));
  metrics.SetGauge("bramleybank_caller_connections",
                   static_cast<double>(callers.size()));
  responder->Respond(kReadyStatus, {{"Content-Type", "text/plain"}},
                     metrics.Render());
}

void Gateway::Impl::Accept(int fd) {
  last_accept = loop->Now();
  const auto caller = std::make_shared<GatewayCaller>(loop, &caller_hooks);
  callers.emplace(caller.get(), caller);
  caller->Start(fd);
}

void Gateway::Impl::OnRequest(const std::shared_ptr<GatewayCaller>& caller,
                              GatewayRequest request) {
  const uint64_t number = next_exchange++;
  const bool waits =
      !IsReady() && start_waiters.Add(number, caller, request,
                                      codec.decode_request(request.headers));
  if (!waits) {
    StartExchange(number, caller, std::move(request));
  }
}

void Gateway::Impl::StartExchange(uint64_t number,
                                  const std::shared_ptr<GatewayCaller>& caller,
                                  GatewayRequest request) {
  auto exchange = std::make_unique<GatewayExchange>(
      &exchange_context, number, caller, std::move(request), [this, number] {
        // Deferred, because the exchange is still inside one of its methods.
        loop->Post([this, number] {
          exchanges.erase(number);
          ContinueDrain();
        });
      });
  GatewayExchange* started = exchange.get();
  exchanges.emplace(number, std::move(exchange));
  started->Start();
  ArmSilenceCheck();
}

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
  if (endpoint == nullptr || !config || directory.IsRestricted(*endpoint)) {
    return false;
  }
  const GatewayService* service = config->FindService(endpoint->entry.service);
  return service != nullptr && service->engine;
}

void Gateway::Impl::CheckSilence() {
  loop->Cancel(std::exchange(silence_timer, TimerHandle()));
  const SilenceFindings findings = silence.Check(loop->Now());
  for (const std::string& id : findings.endpoints_to_probe) {
    const EndpointRecord* endpoint = directory.Find(id);
    if (IsProbeable(endpoint)) {
      prober.Probe(endpoint->entry);
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
  if (!drain) {
    return;
  }
  const GatewayDrainStep first = drain->Next(loop->Now(), DrainLoad());
  if (first.close_idle_callers) {
    CloseIdleCallers(first.stop);
  }
  const GatewayDrainStep step = drain->Next(loop->Now(), DrainLoad());
  if (step.stop) {
    for (const auto& [number, exchange] : exchanges) {
      exchange->RefuseForStop();
    }
    LogLine(LogEventId::kDrainEnded)
        .Field("requests", static_cast<long long>(exchanges.size()))
        .Field("connections", static_cast<long long>(callers.size()))
        .Field("not_accepted",
               static_cast<long long>(listener.pending_connections()));
    loop->Stop();
    return;
  }
  loop->Cancel(drain_timer);
  drain_timer =
      loop->Schedule(kDrainCheckInterval, [this] { ContinueDrain(); });
}

Gateway::Gateway(EventLoop* loop,
                 const GatewaySettings& settings,
                 MetadataStore* store,
                 const GatewayCodec& codec,
                 const GatewayRows& rows)
    : m_impl(std::make_unique<Impl>(loop, settings, store, codec, rows)) {
  m_impl->ConnectParts();
}

Gateway::~Gateway() = default;

bool Gateway::Start() {
  if (!m_impl->OpenPorts()) {
    return false;
  }
  m_impl->operator_watch->Start();
  m_impl->endpoint_watch->Start();
  m_impl->prompts.Start();
  m_impl->quarantine.Start();
  m_impl->peers.Start();
  return true;
}

void Gateway::Reload(const GatewaySettings& settings) {
  m_impl->settings.stop_grace = settings.stop_grace;
  m_impl->settings.retry_extra = settings.retry_extra;
  m_impl->UpdateRetryBudget();
}

void Gateway::Drain() {
  if (m_impl->drain) {
    return;
  }
  const LogLine line(LogEventId::kStopping);
  m_impl->drain = std::make_unique<GatewayDrain>(m_impl->settings.stop_grace,
                                                 m_impl->loop->Now());
  m_impl->ContinueDrain();
}

uint16_t Gateway::caller_port() const {
  return m_impl->caller_port;
}

const Reason& Gateway::last_reason() const {
  return m_impl->last_reason;
}

}  // namespace bramleybank
