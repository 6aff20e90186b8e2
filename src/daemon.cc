// Wiring of the daemon.
#include "daemon.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "bramleybank/limits.h"
#include "bramleybank/version.h"
#include "config_snapshot.h"
#include "daemon_drain.h"
#include "daemon_settings.h"
#include "event_loop.h"
#include "http_caller_api.h"
#include "http_client.h"
#include "http_operator_api.h"
#include "http_refusal.h"
#include "http_server.h"
#include "log_event.h"
#include "metric_registry.h"
#include "route_director.h"
#include "route_load_poller.h"
#include "stream_service.h"

namespace bramleybank {
namespace {

constexpr Duration kConfigPollInterval = std::chrono::seconds(2);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);

}  // namespace

struct Daemon::Impl {
  Impl(EventLoop* event_loop, const DaemonSettings& daemon_settings)
      : loop(event_loop),
        settings(daemon_settings),
        random_engine(std::random_device{}()),
        client(loop),
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
            &director),
        caller_server(loop, HttpServerOptions{}),
        operator_server(loop, HttpServerOptions{}),
        drain(settings.drain_time, [this] { return loop->Now(); }) {
    streams = std::make_unique<StreamService>(
        MakeEnvironment(),
        StreamRecoveryHooks{
            .claim_copy = nullptr,
            .release_owner = nullptr,
            .describe_engine =
                [this](auto address) { return director.Describe(address); },
        });
    caller_api = std::make_unique<HttpCallerApi>(
        CallerApiHooks{.config = [this] { return config ? &*config : nullptr; },
                       .is_draining = [this] { return drain.is_draining(); },
                       .admit =
                           [this](const GenerationRequest& request) {
                             return Admit(request);
                           },
                       .serve_call = nullptr,
                       .show_call = nullptr},
        streams.get(), &metrics);
    operator_api = std::make_unique<HttpOperatorApi>(
        OperatorApiHooks{
            .not_ready_reason = [this] { return NotReadyReason(); },
            .status = [this] { return Status(); },
            .update_gauges = [this] { UpdateGauges(); }},
        &metrics);
  }

  StreamEnvironment MakeEnvironment() {
    StreamEnvironment environment;
    environment.loop = loop;
    environment.client = &client;
    environment.metrics = &metrics;
    environment.random = [this] { return random_engine(); };
    environment.self = settings.PeerAddress();
    RouteDirector* routes = &director;
    environment.choose_engine = [routes](const EngineQuery& query,
                                         EngineRefusal* refusal) {
      return routes->Choose(query, refusal);
    };
    environment.adopt_engine = [routes](std::string_view address) {
      return routes->Adopt(address);
    };
    environment.on_first_token = [routes](EngineTicket ticket) {
      routes->OnFirstToken(ticket);
    };
    environment.on_token = [routes](EngineTicket ticket) {
      routes->OnToken(ticket);
    };
    environment.on_engine_end = [routes](EngineTicket ticket,
                                         EndOutcome outcome) {
      routes->OnEnd(ticket, outcome);
    };
    environment.streams_on = [routes](EngineTicket ticket) {
      return routes->StreamsOn(ticket);
    };
    environment.on_stream_opened = [routes](std::string_view model) {
      routes->OnStreamOpened(model);
    };
    environment.on_stream_closed = [routes](std::string_view model) {
      routes->OnStreamClosed(model);
    };
    return environment;
  }

  AdmissionDecision Admit(const GenerationRequest& request) {
    CustomerDecision decision = director.Admit(
        request.customer, request.prompt.size(), request.max_tokens);
    return {.refusal = std::move(decision.refusal),
            .retry_after_s = decision.retry_after_s,
            .admission = std::move(decision.admission)};
  }

  void PollConfig() {
    HttpClientRequest request;
    request.url = settings.platform_url + "/object/config/snapshot";
    request.total_timeout = kPlatformTimeout;
    client.Start(request, {.on_headers = nullptr,
                           .on_data = nullptr,
                           .on_done = [this](const HttpOutcome& outcome) {
                             OnConfig(outcome);
                             loop->Schedule(kConfigPollInterval,
                                            [this] { PollConfig(); });
                           }});
  }

  void OnConfig(const HttpOutcome& outcome) {
    if (!outcome.complete || outcome.status != 200) {
      LogLine(LogEventId::kPlatformUnreachable)
          .Field("status", outcome.status)
          .Field("detail", outcome.error);
      return;
    }
    Reason error;
    auto next = ParseConfigSnapshot(outcome.body, &error);
    if (!next) {
      LogLine(LogEventId::kConfigRefused).Field("detail", error.detail);
      return;
    }
    if (!config || next->number > config->number) {
      config = std::move(next);
      director.SetConfig(*config);
      LogLine(LogEventId::kConfigInForce)
          .Field("number", static_cast<long long>(config->number));
    }
  }

  std::string NotReadyReason() const {
    if (drain.is_draining()) {
      return "draining";
    }
    return config ? "" : "no configuration from the platform or a peer yet";
  }

  std::string Status() const {
    return nlohmann::json({{"version", kVersion},
                           {"ip", settings.ip},
                           {"failure_domain", settings.failure_domain},
                           {"config_number", config ? config->number : 0},
                           {"open_streams", streams->open_streams()},
                           {"draining", drain.is_draining()}})
        .dump();
  }

  void UpdateGauges() {
    director.UpdateGauges();
    metrics.SetGauge("bramleybank_open_streams",
                     static_cast<double>(streams->open_streams()));
  }

  void PollDrain() {
    const OpenWork open{.streams = streams->open_streams(),
                        .calls = 0,
                        .exchanges = caller_server.open_exchanges()};
    const DrainStep step = drain.Next(open);
    if (step == DrainStep::kExit) {
      loop->Stop();
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
  std::optional<ConfigSnapshot> config;
  RouteDirector director;
  RouteLoadPoller load_poller;
  std::unique_ptr<StreamService> streams;
  std::unique_ptr<HttpCallerApi> caller_api;
  std::unique_ptr<HttpOperatorApi> operator_api;
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
  impl->PollConfig();
  impl->load_poller.Start();
  return true;
}

void Daemon::Drain() {
  if (m_impl->drain.is_draining()) {
    return;
  }
  const LogLine line(LogEventId::kStopping);
  m_impl->drain.Stop();
  m_impl->PollDrain();
}

const Reason& Daemon::last_reason() const {
  return m_impl->reason;
}

}  // namespace bramleybank
