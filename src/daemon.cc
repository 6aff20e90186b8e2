// Creates the components of the daemon and connects them.
#include "daemon.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "bramleybank/limits.h"
#include "bramleybank/version.h"
#include "call_runner.h"
#include "config_snapshot.h"
#include "daemon_cluster.h"
#include "daemon_drain.h"
#include "daemon_settings.h"
#include "event_loop.h"
#include "http_caller_api.h"
#include "http_client.h"
#include "http_config_api.h"
#include "http_operator_api.h"
#include "http_refusal.h"
#include "http_server.h"
#include "json_parse.h"
#include "log_event.h"
#include "metric_registry.h"
#include "platform_http_objects.h"
#include "platform_http_table.h"
#include "route_director.h"
#include "route_load_poller.h"
#include "stream_service.h"

namespace bramleybank {
namespace {

/// Time between the last refusals and the exit, so that they reach the callers.
constexpr Duration kExitFlushTime = std::chrono::milliseconds(200);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);

}  // namespace

struct Daemon::Impl {
  Impl(EventLoop* event_loop, const DaemonSettings& daemon_settings)
      : loop(event_loop),
        settings(daemon_settings),
        random_engine(std::random_device{}()),
        client(loop),
        table(loop, &client, settings.platform_url),
        director(
            {.id = settings.PeerAddress(),
             .region = settings.region,
             .failure_domain = settings.failure_domain},
            [this] { return loop->Now(); },
            [this] { return random_engine(); },
            &metrics),
        load_poller(
            loop,
            &client,
            [this] { return random_engine(); },
            &director,
            [this](const std::string& address, bool leaving) {
              cluster->PublishLeaving(address, leaving);
            }),
        objects(&client, settings.platform_url),
        calls(loop, &client, &table, &objects, &metrics, MakeCallOptions()),
        caller_server(loop, HttpServerOptions{}),
        operator_server(loop, HttpServerOptions{}),
        drain(settings.drain_time, [this] { return loop->Now(); }) {
    cluster = std::make_unique<DaemonCluster>(loop, &client, &table, &metrics,
                                              settings, MakeClusterHooks());
    StreamEnvironment environment = MakeEnvironment();
    if (settings.copy_enabled) {
      cluster->ConnectCopies(&environment);
    }
    StreamRecoveryHooks recovery = cluster->MakeRecoveryHooks();
    recovery.describe_engine = [this](std::string_view address) {
      return director.FindBinding(address);
    };
    streams = std::make_unique<StreamService>(std::move(environment),
                                              std::move(recovery));
    caller_api = std::make_unique<HttpCallerApi>(
        CallerApiHooks{.config = [this] { return config.get(); },
                       .is_draining = [this] { return drain.is_draining(); },
                       .admit =
                           [this](const GenerationRequest& request) {
                             return Admit(request);
                           },
                       .serve_call =
                           [this](const auto& request, const auto& responder) {
                             calls.Handle(request, responder);
                           }},
        streams.get(), &metrics);
    operator_api = std::make_unique<HttpOperatorApi>(
        OperatorApiHooks{
            .not_ready_reason = [this] { return NotReadyReason(); },
            .status = [this] { return Status(); },
            .update_gauges = [this] { UpdateGauges(); }},
        &metrics);
    config_api = std::make_unique<HttpConfigApi>(cluster.get(), &metrics);
    config_api->AddRoutes(operator_api.get());
  }

  StreamEnvironment MakeEnvironment() {
    StreamEnvironment environment;
    environment.loop = loop;
    environment.client = &client;
    environment.metrics = &metrics;
    environment.random = [this] { return random_engine(); };
    environment.self = settings.PeerAddress();
    director.InstallHooks(&environment);
    return environment;
  }

  AdmissionDecision Admit(const GenerationRequest& request) {
    return director.Admit(request.customer, request.prompt.size(),
                          request.max_tokens);
  }

  CallRunnerOptions MakeCallOptions() {
    CallRunnerOptions options;
    options.owner =
        settings.PeerAddress() + "/" + std::to_string(random_engine());
    options.snapshot = [this] { return config; };
    options.choose_endpoint = [this](const EndpointQuery& query) {
      return director.ChooseService(query.service, query.avoid);
    };
    options.allow_retry = [this](const std::string& service) {
      return director.AllowServiceRetry(service);
    };
    options.on_endpoint_result = [this](const std::string& address,
                                        bool answered) {
      director.OnServiceResult(address, answered);
    };
    options.random = [this] { return random_engine(); };
    options.clock = [this] { return loop->Now(); };
    return options;
  }

  DaemonClusterHooks MakeClusterHooks() {
    DaemonClusterHooks hooks;
    hooks.random = [this] { return random_engine(); };
    hooks.on_config = [this](std::shared_ptr<const ConfigSnapshot> next) {
      config = std::move(next);
      director.SetConfig(*config);
      load_poller.PollNew();
    };
    hooks.on_members = [this](const std::vector<SubsetMember>& members) {
      director.SetMembers(members);
      load_poller.PollNew();
    };
    hooks.on_notice = [this](const Notice& notice) { OnNotice(notice); };
    hooks.on_copied = [this](uint64_t generation, uint64_t position) {
      streams->OnCopied(generation, position);
    };
    hooks.on_unprotected = [this](uint64_t generation) {
      streams->OnUnprotected(generation);
    };
    hooks.on_superseded = [this](uint64_t generation) {
      streams->OnSuperseded(generation);
    };
    hooks.release = [this](uint64_t generation) {
      return streams->Release(generation);
    };
    return hooks;
  }

  void OnNotice(const Notice& notice) {
    if (notice.kind == NoticeKind::kEndpointLeaving) {
      director.SetLeavingNotice(notice.key, notice.active);
    }
  }

  std::string NotReadyReason() const {
    return drain.is_draining() ? "draining" : cluster->NotReadyReason();
  }

  std::string Status() const {
    nlohmann::json status = ParseJson(cluster->StatusJson());
    status["version"] = kVersion;
    status["peer"] = settings.PeerAddress();
    status["region"] = settings.region;
    status["failure_domain"] = settings.failure_domain;
    status["open_streams"] = streams->open_streams();
    status["not_ready_reason"] = NotReadyReason();
    return DumpJson(status);
  }

  void UpdateGauges() {
    director.UpdateGauges();
    cluster->UpdateGauges();
    metrics.SetGauge("bramleybank_open_streams",
                     static_cast<double>(streams->open_streams()));
  }

  void PollDrain() {
    const OpenWork open{.streams = streams->open_streams(),
                        .calls = calls.open_calls(),
                        .exchanges = caller_server.open_exchanges()};
    const DrainStep step = drain.NextStep(open);
    if (step == DrainStep::kExit) {
      cluster->Leave();
      // An answer that is not streamed cannot be handed over. Its caller gets a
      // refusal instead of a broken connection.
      streams->RefuseAllForExit();
      loop->Schedule(kExitFlushTime, [this] { loop->Stop(); });
      return;
    }
    if (step == DrainStep::kHandOver) {
      streams->HandOverAll();
    }
    loop->Schedule(kDrainPollInterval, [this] { PollDrain(); });
  }

  EventLoop* loop;
  const DaemonSettings settings;
  Reason reason;
  MetricRegistry metrics;
  std::mt19937_64 random_engine;
  HttpClient client;
  PlatformHttpTable table;
  // The configuration in force; nullptr until the first one arrives.
  std::shared_ptr<const ConfigSnapshot> config;
  RouteDirector director;
  RouteLoadPoller load_poller;
  std::unique_ptr<DaemonCluster> cluster;
  std::unique_ptr<StreamService> streams;
  PlatformHttpObjects objects;
  CallRunner calls;
  std::unique_ptr<HttpCallerApi> caller_api;
  std::unique_ptr<HttpOperatorApi> operator_api;
  std::unique_ptr<HttpConfigApi> config_api;
  HttpServer caller_server;
  HttpServer operator_server;
  DaemonDrain drain;
};

Daemon::Daemon(EventLoop* loop, const DaemonSettings& settings)
    : m_impl(std::make_unique<Impl>(loop, settings)) {
  assert(loop != nullptr);
}

Daemon::~Daemon() = default;

bool Daemon::Start() {
  Impl* impl = m_impl.get();
  impl->caller_server.SetRefusalHook([impl](ResultCode code) {
    impl->metrics.Count("bramleybank_refusals_total", "reason",
                        InfoOf(code).name);
    HttpRefusal refusal;
    refusal.code = code;
    return FormatRefusal(refusal);
  });
  const auto caller_port = impl->caller_server.Start(
      impl->settings.ip, impl->settings.caller_port,
      [impl](const auto& request, const auto& responder) {
        impl->caller_api->Handle(request, responder);
      });
  if (!caller_port) {
    impl->reason = impl->caller_server.last_reason();
    return false;
  }
  const auto operator_port = impl->operator_server.Start(
      impl->settings.ip, impl->settings.operator_port,
      [impl](const auto& request, const auto& responder) {
        impl->operator_api->Handle(request, responder);
      });
  if (!operator_port) {
    impl->reason = impl->operator_server.last_reason();
    return false;
  }
  if (!impl->cluster->Start()) {
    impl->reason = impl->cluster->last_reason();
    return false;
  }
  impl->load_poller.Start();
  return true;
}

void Daemon::Drain() {
  if (m_impl->drain.is_draining()) {
    return;
  }
  const LogLine line(LogEventId::kStopping);
  m_impl->drain.Begin();
  m_impl->PollDrain();
}

const Reason& Daemon::last_reason() const {
  return m_impl->reason;
}

}  // namespace bramleybank
