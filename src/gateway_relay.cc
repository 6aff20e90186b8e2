// Request dispatch of the peer port, and calls to other gateways.
#include "gateway_relay.h"

#include <ctime>
#include <utility>

#include "bramleybank/limits.h"
#include "load_message.h"
#include "log_event.h"
#include "metric_registry.h"
#include "peer_client.h"
#include "peer_server.h"
#include "relay_refusal.h"
#include "tcp_address.h"

namespace bramleybank {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusForbidden = 403;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

/// Monotonic time that includes suspension of the VM, so that a relay does not
/// treat its cached rows as fresh after it was suspended.
TimePoint SuspendAwareNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

PeerServerOptions ServerOptions(const GatewayRelay::Hooks& hooks) {
  PeerServerOptions options;
  options.memory = hooks.memory;
  options.max_requests = hooks.limits.max_peer_requests;
  if (hooks.limits.max_peer_connections > 0) {
    options.max_connections =
        static_cast<unsigned>(hooks.limits.max_peer_connections);
  }
  return options;
}

}  // namespace

GatewayRelay::GatewayRelay(EventLoop* loop,
                           MetadataStore* store,
                           MetricRegistry* metrics,
                           const GatewayMember& self,
                           const RelayedStore::Tables& tables,
                           Duration propagation_bound,
                           Hooks hooks)
    : m_metrics(metrics),
      m_self(self),
      m_hooks(std::move(hooks)),
      m_choice(self.name, self.failure_domain, &SteadyNow, m_hooks.random),
      m_client(std::make_unique<PeerClient>(loop)),
      m_server(std::make_unique<PeerServer>(loop, ServerOptions(m_hooks))),
      m_store(
          loop,
          store,
          &m_choice,
          metrics,
          self.name,
          tables,
          RelayWaitLimitsFor(propagation_bound),
          {.call =
               [this](const std::string& address,
                      const std::string& path,
                      std::string body,
                      Duration timeout,
                      const std::function<void(const std::string*)>& callback) {
                 Call(address, path, std::move(body), timeout, callback);
               },
           .on_unknown_sender = [this] { m_hooks.on_unknown_sender(); },
           .age_clock = &SuspendAwareNow,
           .random = m_hooks.random}) {
  if (m_self.peer_address.empty()) {
    // Without a peer address no relay is used, so there is no need to wait for
    // the list of gateways.
    m_store.OnMembersChanged();
  }
}

GatewayRelay::~GatewayRelay() = default;

uint64_t GatewayRelay::refused_requests() const {
  return m_server->refused_requests();
}

bool GatewayRelay::Start() {
  if (m_self.peer_address.empty()) {
    return true;
  }
  // ReadGatewaySettings() has validated the address.
  const IpAndPort endpoint = SplitTcpAddress(m_self.peer_address).value();
  const auto started =
      m_server->Start(endpoint.ip, endpoint.port,
                      [this](const std::string& path, std::string_view body,
                             PeerServer::ReplyFn reply) {
                        OnRequest(path, body, std::move(reply));
                      });
  if (!started) {
    m_last_reason = m_server->last_reason();
  }
  return started.has_value();
}

void GatewayRelay::SetMembers(const std::vector<GatewayMember>& members) {
  m_choice.SetMembers(members);
  m_store.OnMembersChanged();
}

void GatewayRelay::Call(
    const std::string& address,
    const std::string& path,
    std::string body,
    Duration timeout,
    const std::function<void(const std::string* body)>& callback) {
  m_client->Call(address, path, std::move(body), timeout,
                 [callback](const PeerReply& reply) {
                   const bool is_answer = reply.status == PeerStatus::kOk &&
                                          reply.http_status == kStatusOk;
                   callback(is_answer ? &reply.body : nullptr);
                 });
}

void GatewayRelay::OnRequest(
    const std::string& path,
    std::string_view body,
    std::function<void(int status, std::string body)> reply) {
  if (path == kPathRelayRows) {
    m_store.Serve(body, std::move(reply));
  } else if (path == kPathRelayEvidence) {
    reply(HandleEvidence(body), {});
  } else if (path == kPathRelayPrompts) {
    reply(HandlePrompts(body), {});
  } else if (path == kPathRelayPromptQuery) {
    HandlePromptQuery(body, reply);
  } else if (path == kPathRelayPermitQuery) {
    int status = kStatusOk;
    std::string answer = HandlePermitQuery(body, &status);
    reply(status, std::move(answer));
  } else if (path == kPathRelayConfigQuery) {
    int status = kStatusOk;
    std::string answer = HandleConfigQuery(body, &status);
    reply(status, std::move(answer));
  } else if (path == kPathLoads && m_hooks.on_loads) {
    int status = kStatusOk;
    std::string answer = HandleLoads(body, &status);
    reply(status, std::move(answer));
  } else {
    m_metrics->Count(kRelayAnswersMetric, "result", "unknown_path");
    reply(kStatusNotFound, {});
  }
}

template <typename Message>
std::optional<Message> GatewayRelay::DecodeFromMember(std::string_view body,
                                                      int* status) {
  auto message = DecodeRelayMessage<Message>(body);
  if (!message) {
    ReportMalformedMessage(m_metrics, body.size());
    *status = kStatusBadRequest;
    return std::nullopt;
  }
  if (!m_choice.IsMember(message->sender)) {
    ReportUnknownSender(m_metrics, message->sender);
    m_hooks.on_unknown_sender();
    *status = kStatusForbidden;
    return std::nullopt;
  }
  *status = kStatusOk;
  return message;
}

int GatewayRelay::HandleEvidence(std::string_view body) {
  int status = kStatusOk;
  const auto evidence = DecodeFromMember<RelayEvidence>(body, &status);
  if (evidence && !m_hooks.on_evidence(*evidence)) {
    return kStatusConflict;
  }
  return status;
}

int GatewayRelay::HandlePrompts(std::string_view body) {
  int status = kStatusOk;
  const auto prompts = DecodeFromMember<RelayPrompts>(body, &status);
  if (!prompts) {
    return status;
  }
  if (!m_choice.IsReader()) {
    return kStatusConflict;
  }
  m_hooks.on_prompts(prompts->row);
  return kStatusOk;
}

void GatewayRelay::HandlePromptQuery(
    std::string_view body,
    const std::function<void(int status, std::string body)>& reply) {
  int status = kStatusOk;
  const auto query = DecodeFromMember<RelayPromptQuery>(body, &status);
  if (!query) {
    reply(status, {});
    return;
  }
  // Prevents forwarding loops between gateways whose member lists differ.
  if (!m_choice.IsReader()) {
    reply(kStatusConflict, {});
    return;
  }
  m_hooks.on_prompt_query(
      query->prompt, [reply](const std::string& id) { reply(kStatusOk, id); });
}

std::string GatewayRelay::HandlePermitQuery(std::string_view body,
                                            int* status) {
  const auto message = DecodeFromMember<RelayPermitQuery>(body, status);
  if (!message) {
    return {};
  }
  return EncodeRelayMessage(
      RelayPermitAnswer{.answer = m_hooks.on_permit_query(message->query)});
}

std::string GatewayRelay::HandleConfigQuery(std::string_view body,
                                            int* status) {
  const auto message = DecodeFromMember<RelayConfigQuery>(body, status);
  if (!message) {
    return {};
  }
  return EncodeRelayMessage(RelayConfigAnswer{
      .value = m_hooks.on_config_query(message->known_version)});
}

std::string GatewayRelay::HandleLoads(std::string_view body, int* status) {
  const auto message = DecodeLoadMessage(body);
  const auto answer = message ? m_hooks.on_loads(*message) : std::nullopt;
  if (answer) {
    return EncodeLoadAnswer({.report = *answer});
  }
  m_metrics->Count("bramleybank_load_reports_refused_total", "reason",
                   message ? "unknown_sender" : "malformed");
  // One line a source, since a faulty gateway repeats its reports.
  const std::string sender = message ? message->sender : "";
  if (m_refused_load_senders.size() < kMaxLoggedLoadSenders &&
      m_refused_load_senders.insert(sender).second) {
    LogLine(LogEventId::kLoadReportRefused)
        .Field("sender", sender)
        .Field("bytes", static_cast<long long>(body.size()));
  }
  if (message) {
    m_hooks.on_unknown_sender();
  }
  *status = message ? kStatusForbidden : kStatusBadRequest;
  return {};
}

template <typename Message>
void GatewayRelay::SendToRelay(
    const char* path,
    Message message,
    Duration timeout,
    const std::function<void(const std::string* body)>& callback) {
  const RowSource relay = m_choice.Sources().front();
  if (relay.is_store()) {
    callback(nullptr);
    return;
  }
  message.sender = m_self.name;
  Call(relay.relay, path, EncodeRelayMessage(message), timeout, callback);
}

void GatewayRelay::ForwardEvidence(RelayEvidence evidence,
                                   std::function<void(bool)> callback) {
  SendToRelay(kPathRelayEvidence, std::move(evidence), kRelayTimeout,
              [callback = std::move(callback)](const std::string* answer) {
                callback(answer != nullptr);
              });
}

void GatewayRelay::ForwardPrompts(std::string row,
                                  std::function<void(bool)> callback) {
  SendToRelay(kPathRelayPrompts, RelayPrompts{.row = std::move(row)},
              kRelayTimeout,
              [callback = std::move(callback)](const std::string* answer) {
                callback(answer != nullptr);
              });
}

void GatewayRelay::QueryPrompt(
    uint64_t prompt,
    std::function<void(const std::string& id)> callback) {
  SendToRelay(kPathRelayPromptQuery, RelayPromptQuery{.prompt = prompt},
              kPromptLookupTimeout,
              [callback = std::move(callback)](const std::string* answer) {
                callback(answer == nullptr ? "" : *answer);
              });
}

void GatewayRelay::QueryPermits(
    const GatewayMember& issuer,
    const PermitQuery& query,
    std::function<void(std::optional<PermitAnswer>)> callback) {
  const RelayPermitQuery message{.sender = m_self.name, .query = query};
  Call(issuer.peer_address, kPathRelayPermitQuery, EncodeRelayMessage(message),
       kPermitQueryTimeout,
       [this, callback = std::move(callback)](const std::string* body) {
         const auto answer =
             body ? DecodeRelayMessage<RelayPermitAnswer>(*body) : std::nullopt;
         if (body && !answer) {
           ReportMalformedMessage(m_metrics, body->size());
         }
         callback(answer ? std::optional(answer->answer) : std::nullopt);
       });
}

void GatewayRelay::QueryConfig(
    const GatewayMember& member,
    uint64_t known_version,
    std::function<void(const std::optional<std::string>&)> callback) {
  const RelayConfigQuery message{.sender = m_self.name,
                                 .known_version = known_version};
  Call(member.peer_address, kPathRelayConfigQuery, EncodeRelayMessage(message),
       kRelayTimeout,
       [this, callback = std::move(callback)](const std::string* body) {
         auto answer =
             body ? DecodeRelayMessage<RelayConfigAnswer>(*body) : std::nullopt;
         if (body && !answer) {
           ReportMalformedMessage(m_metrics, body->size());
         }
         callback(answer ? std::optional(std::move(answer->value))
                         : std::nullopt);
       });
}

void GatewayRelay::SendLoads(
    const GatewayMember& to,
    const LoadMessage& message,
    Duration timeout,
    std::function<void(const std::optional<LoadReport>&)> callback) {
  Call(to.peer_address, kPathLoads, EncodeLoadMessage(message), timeout,
       [callback = std::move(callback)](const std::string* body) {
         auto answer = body ? DecodeLoadAnswer(*body) : std::nullopt;
         callback(answer ? std::optional(std::move(answer->report))
                         : std::nullopt);
       });
}

}  // namespace bramleybank
