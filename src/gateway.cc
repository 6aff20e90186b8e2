// Ports of a gateway and the requests that arrive at them.
#include "gateway_p.h"

#include "http_request.h"
#include "http_responder.h"
#include "log_event.h"
#include "tcp_address.h"

namespace bramleybank {

namespace {

constexpr int kReadyStatus = 200;
constexpr int kNotReadyStatus = 503;

}  // namespace

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
  metrics.SetGauge("bramleybank_memory_budget_bytes",
                   static_cast<double>(memory.capacity()));
  metrics.SetGauge("bramleybank_memory_held_bytes",
                   static_cast<double>(memory.held_bytes()));
  metrics.SetGauge("bramleybank_memory_waits",
                   static_cast<double>(memory.waits()));
  metrics.SetGauge("bramleybank_memory_evictions",
                   static_cast<double>(memory.evictions()));
  metrics.SetGauge("bramleybank_peer_requests_refused",
                   static_cast<double>(relay.refused_requests()));
  responder->Respond(kReadyStatus, {{"Content-Type", "text/plain"}},
                     metrics.Render());
}

void Gateway::Impl::Accept(int fd) {
  last_accept = loop->Now();
  if (callers.size() >= limits.max_callers && !MakeRoomForCaller()) {
    TurnAway(fd);
    return;
  }
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
