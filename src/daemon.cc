// Wiring of the daemon.
#include "daemon.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>
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
        caller_server(loop, HttpServerOptions{}),
        operator_server(loop, HttpServerOptions{}),
        drain(settings.drain_time, [this] { return loop->Now(); }) {
    streams = std::make_unique<StreamService>(
        MakeEnvironment(),
        StreamRecoveryHooks{
            .claim_copy = nullptr,
            .release_owner = nullptr,
            .describe_engine =
                [this](auto address) { return Describe(address); },
        });
    caller_api = std::make_unique<HttpCallerApi>(
        CallerApiHooks{.config = [this] { return config ? &*config : nullptr; },
                       .is_draining = [this] { return drain.is_draining(); },
                       .admit = nullptr,
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
    environment.choose_engine = [this](const EngineQuery& query,
                                       Reason* reason) {
      return Choose(query, reason);
    };
    environment.observe = [this](const EngineObservation& observation) {
      Observe(observation);
    };
    environment.streams_on = [this](std::string_view address) {
      return in_flight[std::string(address)];
    };
    return environment;
  }

  std::optional<EngineChoice> Choose(const EngineQuery& query, Reason* reason) {
    std::vector<const EndpointConfig*> usable;
    for (const EndpointConfig& endpoint : config->endpoints) {
      const bool matches =
          endpoint.kind == EndpointKind::kEngine &&
          endpoint.group == query.model && !endpoint.leaving &&
          endpoint.adapter == query.adapter &&
          (!query.version || *query.version == endpoint.version) &&
          std::ranges::find(query.avoid, endpoint.address) == query.avoid.end();
      if (matches) {
        usable.push_back(&endpoint);
      }
    }
    if (usable.empty()) {
      *reason = {ResultCode::kNoEndpoint, "no engine serves " + query.model};
      return std::nullopt;
    }
    const EndpointConfig* chosen = usable[random_engine() % usable.size()];
    return EngineChoice{chosen->address, chosen->version, chosen->adapter, {}};
  }

  std::optional<EngineChoice> Describe(std::string_view address) const {
    if (!config) {
      return std::nullopt;
    }
    const auto it =
        std::ranges::find(config->endpoints, address, &EndpointConfig::address);
    if (it == config->endpoints.end()) {
      return std::nullopt;
    }
    return EngineChoice{it->address, it->version, it->adapter, {}};
  }

  void Observe(const EngineObservation& observation) {
    if (observation.kind == EngineEventKind::kStarted) {
      ++in_flight[std::string(observation.address)];
    } else if (observation.kind == EngineEventKind::kDone ||
               observation.kind == EngineEventKind::kFailed) {
      --in_flight[std::string(observation.address)];
    }
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
  std::unordered_map<std::string, int> in_flight;
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
