// Routing of requests to plain services, and lookup of a call's row.
#include "call_runner.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <map>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>
#include <variant>

#include "call_context_p.h"
#include "call_execution_p.h"
#include "call_forward_p.h"
#include "call_row.h"
#include "config_snapshot.h"
#include "event_loop.h"
#include "http_path.h"
#include "http_refusal.h"
#include "http_responder.h"
#include "platform_table.h"

namespace bramleybank {
namespace {

using nlohmann::json;
using Responder = std::shared_ptr<HttpResponder>;

constexpr std::string_view kServicePrefix = "/svc/";
constexpr std::string_view kCallsPrefix = "/v1/calls/";

std::string UpperCase(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::toupper(c));
  });
  return text;
}

bool IsPrintable(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; });
}

bool IsValidName(std::string_view text, size_t max_bytes) {
  return !text.empty() && text.size() <= max_bytes && IsPrintable(text);
}

/// @returns whether the request matches a non-idempotent route. The normalized
/// path is matched too, because the service may accept another spelling of the
/// same path.
bool IsTracked(const ServiceConfig& service,
               const std::string& method,
               std::string_view path) {
  const std::string upper = UpperCase(method);
  return IsNonIdempotent(service, upper, path) ||
         IsNonIdempotent(service, upper, NormalizePath(path));
}

json DescribeRow(const CallRow& row) {
  json view = {{"state", CallRowStateName(row.state)}};
  switch (row.state) {
    case CallRowState::kDone:
      view["outcome"] = "done";
      view["status"] = row.answer.status;
      break;
    case CallRowState::kReleased:
      view["outcome"] = "not_run";
      break;
    case CallRowState::kClaimed:
    case CallRowState::kLost:
      view["outcome"] = "unknown";
      break;
  }
  return view;
}

}  // namespace

ChooseEndpointHook MakeRoundRobinChooser(SnapshotHook snapshot) {
  auto next = std::make_shared<std::map<std::string, size_t>>();
  return [snapshot = std::move(snapshot),
          next](const EndpointQuery& query) -> std::optional<std::string> {
    const auto config = snapshot();
    std::vector<std::string_view> usable;
    for (const EndpointConfig& endpoint : config->endpoints) {
      const bool avoided =
          std::ranges::find(query.avoid, endpoint.address) != query.avoid.end();
      if (endpoint.kind == EndpointKind::kService &&
          endpoint.group == query.service && !endpoint.leaving && !avoided) {
        usable.emplace_back(endpoint.address);
      }
    }
    if (usable.empty()) {
      return std::nullopt;
    }
    return std::string(usable[(*next)[query.service]++ % usable.size()]);
  };
}

struct CallRunner::Impl {
  using Call = std::variant<std::shared_ptr<CallExecution>,
                            std::shared_ptr<CallForward>>;

  void Refuse(const Responder& responder,
              ResultCode code,
              std::optional<int> retry_after_s = {}) {
    SendRefusal(responder.get(),
                {.code = code,
                 .message = {},
                 .outcome = RefusalOutcome::kNotRun,
                 .position = {},
                 .retry_after_s = retry_after_s},
                context.metrics);
  }

  /// @returns the customer, or nothing when the header is malformed.
  static std::optional<std::string> ParseCustomer(const HttpRequest& request) {
    std::string name = request.Header("X-Customer").value_or("anonymous");
    if (!IsValidName(name, kMaxCustomerNameBytes)) {
      return std::nullopt;
    }
    return name;
  }

  void HandleService(const HttpRequest& request, const Responder& responder);
  void HandleLookup(const HttpRequest& request, const Responder& responder);
  void AnswerLookup(const TableReadResult& result, const Responder& responder);
  void StartTracked(const HttpRequest& request,
                    CallParameters parameters,
                    const Responder& responder);
  void StartForward(const HttpRequest& request,
                    CallParameters parameters,
                    const Responder& responder);

  /// Removes a call and destroys it in a later turn of the event loop, because
  /// one of its methods may be running.
  void CloseCall(uint64_t id) {
    auto node = calls.extract(id);
    if (node.empty()) {
      return;
    }
    closed_calls.push_back(std::move(node.mapped()));
    context.loop->Post([this, weak = std::weak_ptr<bool>(alive)] {
      if (!weak.expired()) {
        closed_calls.clear();
      }
    });
  }

  CallContext context;
  uint64_t next_id = 1;
  std::unordered_map<uint64_t, Call> calls;
  std::vector<Call> closed_calls;
  // Expires with the runner, so that late callbacks do not use it.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

void CallRunner::Impl::HandleService(const HttpRequest& request,
                                     const Responder& responder) {
  const auto config = context.options.snapshot();
  if (!config) {
    Refuse(responder, ResultCode::kNotReady, 1);
    return;
  }
  const std::string_view rest =
      std::string_view(request.path).substr(kServicePrefix.size());
  const size_t slash = std::min(rest.find('/'), rest.size());
  CallParameters parameters{.service = PercentDecode(rest.substr(0, slash)),
                            .target = std::string(rest.substr(slash)),
                            .customer = {},
                            .key = {}};
  if (parameters.target.empty()) {
    parameters.target.push_back('/');
  }
  const ServiceConfig* service = FindService(*config, parameters.service);
  if (service == nullptr) {
    Refuse(responder, ResultCode::kUnknownService);
    return;
  }
  auto customer = ParseCustomer(request);
  if (!customer) {
    Refuse(responder, ResultCode::kBadHeader);
    return;
  }
  parameters.customer = *std::move(customer);
  const bool tracked = IsTracked(*service, request.method, parameters.target);
  parameters.target += FormatQuery(request.query);
  if (tracked) {
    StartTracked(request, std::move(parameters), responder);
  } else {
    StartForward(request, std::move(parameters), responder);
  }
}

void CallRunner::Impl::StartTracked(const HttpRequest& request,
                                    CallParameters parameters,
                                    const Responder& responder) {
  const auto key = request.Header("Idempotency-Key");
  if (!key) {
    Refuse(responder, ResultCode::kMissingIdempotencyKey);
    return;
  }
  if (!IsValidName(*key, kMaxIdempotencyKeyBytes)) {
    Refuse(responder, ResultCode::kBadHeader);
    return;
  }
  parameters.key = *key;
  const uint64_t id = next_id++;
  auto call = std::make_shared<CallExecution>(&context, id, request,
                                              std::move(parameters), responder);
  calls.emplace(id, call);
  call->Start();
}

void CallRunner::Impl::StartForward(const HttpRequest& request,
                                    CallParameters parameters,
                                    const Responder& responder) {
  const uint64_t id = next_id++;
  auto call = std::make_shared<CallForward>(&context, id, request,
                                            std::move(parameters), responder);
  calls.emplace(id, call);
  call->Start();
}

void CallRunner::Impl::HandleLookup(const HttpRequest& request,
                                    const Responder& responder) {
  if (request.method != "GET") {
    Refuse(responder, ResultCode::kMethodNotAllowed);
    return;
  }
  const auto service = request.Query("service");
  if (!service) {
    Refuse(responder, ResultCode::kBadField);
    return;
  }
  const auto customer = ParseCustomer(request);
  const std::string key =
      PercentDecode(std::string_view(request.path).substr(kCallsPrefix.size()));
  if (!customer || !IsValidName(key, kMaxIdempotencyKeyBytes)) {
    Refuse(responder, ResultCode::kBadHeader);
    return;
  }
  context.table->Read(CallRowKey(*customer, PercentDecode(*service), key),
                      [this, alive = std::weak_ptr<bool>(alive),
                       responder](const TableReadResult& result) {
                        if (!alive.expired()) {
                          AnswerLookup(result, responder);
                        }
                      });
}

void CallRunner::Impl::AnswerLookup(const TableReadResult& result,
                                    const Responder& responder) {
  if (result.status == TableReadStatus::kUnavailable) {
    Refuse(responder, ResultCode::kPlatformDown, 1);
    return;
  }
  if (result.status == TableReadStatus::kNotFound) {
    Refuse(responder, ResultCode::kCallNotFound);
    return;
  }
  const auto row = ParseCallRow(result.row.value);
  const json view = row ? DescribeRow(*row) : json{{"outcome", "unknown"}};
  responder->Respond(200, {{"Content-Type", "application/json"}}, view.dump());
}

CallRunner::CallRunner(EventLoop* loop,
                       HttpClient* client,
                       PlatformTable* table,
                       PlatformObjects* objects,
                       MetricRegistry* metrics,
                       CallRunnerOptions options)
    : m_impl(std::make_unique<Impl>()) {
  assert(loop && client && table && objects && metrics);
  assert(options.snapshot && options.random && options.clock);
  if (!options.choose_endpoint) {
    options.choose_endpoint = MakeRoundRobinChooser(options.snapshot);
  }
  m_impl->context = {.loop = loop,
                     .client = client,
                     .table = table,
                     .objects = objects,
                     .metrics = metrics,
                     .options = std::move(options),
                     .close_call = [impl = m_impl.get()](uint64_t id) {
                       impl->CloseCall(id);
                     }};
}

CallRunner::~CallRunner() = default;

bool CallRunner::Handles(std::string_view path) {
  return path.starts_with(kServicePrefix) || path.starts_with(kCallsPrefix);
}

void CallRunner::Handle(const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
  if (request.path.starts_with(kServicePrefix)) {
    m_impl->HandleService(request, responder);
  } else {
    m_impl->HandleLookup(request, responder);
  }
}

size_t CallRunner::open_calls() const {
  return m_impl->calls.size();
}

}  // namespace bramleybank
