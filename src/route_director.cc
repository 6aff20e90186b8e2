// Routing, limits and retries of one daemon.
#include "route_director.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

#include "bramleybank/limits.h"
#include "config_snapshot.h"
#include "metric_registry.h"

namespace bramleybank {
namespace {

/// Estimate that is accurate enough for routing without the model's tokenizer.
constexpr size_t kBytesPerToken = 4;
/// 30 s of output at 30 ms between tokens.
constexpr uint64_t kLongOutputTokens = 1000;
constexpr size_t kMaxPrefixBlocks = 64;
/// A stream avoids a whole failure domain after this many losses in it.
constexpr int kAvoidDomainLosses = 2;

uint32_t EstimatePromptTokens(size_t prompt_bytes, uint64_t resumed_tokens) {
  return static_cast<uint32_t>((prompt_bytes / kBytesPerToken) + 1 +
                               resumed_tokens);
}

std::vector<uint64_t> PrefixHashes(std::string_view prompt) {
  constexpr size_t kBlockBytes = kPrefixBlockTokens * kBytesPerToken;
  const size_t blocks = std::min(prompt.size() / kBlockBytes, kMaxPrefixBlocks);
  std::vector<uint64_t> hashes;
  hashes.reserve(blocks);
  uint64_t hash = 0;
  for (size_t i = 0; i < blocks; ++i) {
    hash = XXH3_64bits_withSeed(prompt.data() + (i * kBlockBytes), kBlockBytes,
                                hash);
    hashes.push_back(hash);
  }
  return hashes;
}

RetryReason RetryReasonOf(AttemptLoss loss) {
  switch (loss) {
    case AttemptLoss::kRefused:
      return RetryReason::kRefusedByEndpoint;
    case AttemptLoss::kBroken:
    case AttemptLoss::kNotAttached:
      return RetryReason::kEarlyEnd;
    case AttemptLoss::kStalled:
      return RetryReason::kStalled;
    case AttemptLoss::kGap:
      return RetryReason::kChunkGap;
    case AttemptLoss::kMalformed:
      return RetryReason::kErrorEvent;
  }
  return RetryReason::kEarlyEnd;
}

int ToSecondsRoundedUp(Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
  return static_cast<int>(std::max<int64_t>(1, seconds.count()));
}

}  // namespace

RouteDirector::RouteDirector(SubsetMember self,
                             ClockHook clock,
                             const RandomHook& random,
                             MetricRegistry* metrics)
    : m_self(std::move(self)),
      m_clock(std::move(clock)),
      m_metrics(metrics),
      m_table(m_clock),
      m_outliers(m_clock,
                 [this](NameId group) -> size_t {
                   const EndpointGroup* found = m_table.FindGroup(group);
                   return found == nullptr ? 0 : found->preferred_size;
                 }),
      m_picker(&m_table, &m_outliers, random),
      m_subset(m_self),
      m_divisor(m_clock),
      m_customers(m_clock, [this] { return m_divisor.Get(); }),
      m_admission(m_clock, random),
      m_budget(m_clock, random),
      m_members({m_self}),
      m_self_reference(std::make_shared<RouteDirector*>(this)) {
  assert(metrics != nullptr);
  m_divisor.OnMembers(1);
}

void RouteDirector::InstallHooks(StreamEnvironment* environment) {
  environment->choose_engine = [this](const EngineQuery& query,
                                      EngineRefusal* refusal) {
    return Choose(query, refusal);
  };
  environment->take_retry = [this](std::string_view model, AttemptLoss loss) {
    return TakeRetry(model, loss);
  };
  environment->adopt_engine = [this](std::string_view address) {
    return Adopt(address);
  };
  environment->on_first_token = [this](EngineTicket ticket) {
    OnFirstToken(ticket);
  };
  environment->on_token = [this](EngineTicket ticket) { OnToken(ticket); };
  environment->on_engine_end = [this](EngineTicket ticket, EndOutcome outcome) {
    OnEnd(ticket, outcome);
  };
  environment->streams_on = [this](EngineTicket ticket) {
    return StreamsOn(ticket);
  };
  environment->on_stream_opened = [this](std::string_view model) {
    OnStreamOpened(model);
  };
  environment->on_stream_closed = [this](std::string_view model) {
    OnStreamClosed(model);
  };
}

void RouteDirector::SetConfig(const ConfigSnapshot& config) {
  m_endpoints = config.endpoints;
  m_table.SetConfig(m_endpoints);
  m_customers.SetConfig(config.customers);
  ChooseSubsets();
}

void RouteDirector::SetMembers(const std::vector<SubsetMember>& members) {
  m_divisor.OnMembers(static_cast<int>(members.size()));
  if (members == m_members) {
    return;
  }
  m_members = members;
  ChooseSubsets();
}

void RouteDirector::SetLeavingNotice(std::string_view address, bool leaving) {
  m_table.SetLeavingNotice(address, leaving);
}

void RouteDirector::ChooseSubsets() {
  std::map<std::string, std::vector<EndpointConfig>> groups;
  for (const EndpointConfig& endpoint : m_endpoints) {
    groups[endpoint.group].push_back(endpoint);
  }
  m_polled_engines.clear();
  for (const auto& [name, endpoints] : groups) {
    const auto chosen = m_subset.Choose(m_members, endpoints);
    m_table.SetPreferred(name, chosen);
    if (endpoints.front().kind == EndpointKind::kEngine) {
      m_polled_engines.insert(m_polled_engines.end(), chosen.begin(),
                              chosen.end());
    }
  }
}

AdmissionDecision RouteDirector::Admit(std::string_view customer,
                                       size_t prompt_bytes,
                                       uint64_t max_tokens) {
  const auto tokens =
      static_cast<int64_t>(EstimatePromptTokens(prompt_bytes, max_tokens));
  auto admission =
      m_customers.Admit(customer, tokens, m_admission.is_under_pressure());
  AdmissionDecision decision;
  if (!admission) {
    decision.refusal = m_customers.last_reason();
    decision.retry_after_s = ToSecondsRoundedUp(m_customers.retry_after());
    return decision;
  }
  decision.lease = std::make_shared<AdmissionLease>(
      [director = std::weak_ptr(m_self_reference),
       admitted = *std::move(admission)](bool ran) {
        const auto self = director.lock();
        if (!self) {
          return;
        }
        if (ran) {
          (*self)->m_customers.Release(admitted);
        } else {
          (*self)->m_customers.Withdraw(admitted);
        }
      });
  return decision;
}

bool RouteDirector::TakeBudget(const EngineQuery& query,
                               EngineRefusal* refusal) {
  if (query.is_first_attempt) {
    m_budget.OnFirstTry(query.model);
    return true;
  }
  if (query.is_retry_granted) {
    return true;
  }
  const RetryReason reason = RetryReasonOf(query.loss);
  const bool is_granted = query.has_output
                              ? m_budget.TryResume(query.model, reason)
                              : m_budget.TryRetry(query.model, reason);
  CountRetry(NameOf(reason), is_granted);
  if (!is_granted) {
    refusal->reason = m_budget.last_reason();
  }
  return is_granted;
}

bool RouteDirector::TakeRetry(std::string_view model, AttemptLoss loss) {
  const RetryReason reason = RetryReasonOf(loss);
  const bool is_granted = m_budget.TryRetry(model, reason);
  CountRetry(NameOf(reason), is_granted);
  return is_granted;
}

void RouteDirector::CountRetry(std::string_view reason, bool is_granted) {
  m_metrics->Count(is_granted ? "bramleybank_retries_total"
                              : "bramleybank_retries_refused_total",
                   "reason", reason);
}

std::optional<Pick> RouteDirector::PickEndpoint(
    const EngineQuery& query,
    const std::vector<uint64_t>& prefix_hashes,
    EngineRefusal* refusal) {
  std::vector<EndpointHandle> avoided;
  std::map<std::string_view, int> losses;
  for (const std::string& address : query.avoid) {
    const EndpointHandle handle = m_table.Find(address);
    const EndpointState* state = m_table.Get(handle);
    if (state == nullptr) {
      continue;
    }
    avoided.push_back(handle);
    ++losses[m_table.names().NameOf(state->domain)];
  }
  std::vector<std::string_view> avoided_domains;
  for (const auto& [domain, count] : losses) {
    if (count >= kAvoidDomainLosses) {
      avoided_domains.push_back(domain);
    }
  }
  RouteQuery route;
  route.group = query.model;
  if (query.version) {
    route.version = *query.version;
  }
  route.adapter = query.adapter;
  route.prompt_tokens =
      EstimatePromptTokens(query.prompt.size(), query.resumed_tokens);
  route.prefix_hashes = prefix_hashes;
  route.priority =
      query.has_output ? RoutePriority::kUrgent : RoutePriority::kNormal;
  route.output = query.max_tokens >= kLongOutputTokens ? OutputClass::kLong
                                                       : OutputClass::kShort;
  route.region = m_self.region;
  route.failure_domain = m_self.failure_domain;
  route.avoid_endpoints = avoided;
  route.avoid_domains = avoided_domains;
  auto pick = m_picker.Choose(route);
  if (!pick) {
    refusal->reason = m_picker.last_reason();
  }
  return pick;
}

std::optional<EngineChoice> RouteDirector::Choose(const EngineQuery& query,
                                                  EngineRefusal* refusal) {
  if (!TakeBudget(query, refusal)) {
    return std::nullopt;
  }
  Attempt attempt;
  attempt.prefix_hashes = PrefixHashes(query.prompt);
  const auto pick = PickEndpoint(query, attempt.prefix_hashes, refusal);
  if (!pick) {
    return std::nullopt;
  }
  if (query.is_first_attempt) {
    if (!m_admission.Admit(pick->estimate)) {
      refusal->reason = m_admission.last_reason();
      refusal->retry_after_s = ToSecondsRoundedUp(m_admission.retry_after());
      return std::nullopt;
    }
    attempt.is_admitted = true;
  }
  attempt.pick = *pick;
  attempt.output = query.max_tokens >= kLongOutputTokens ? OutputClass::kLong
                                                         : OutputClass::kShort;
  m_outliers.OnStarted(pick->group, pick->endpoint);
  return StartAttempt(std::move(attempt));
}

std::optional<EngineChoice> RouteDirector::Adopt(std::string_view address) {
  const EndpointHandle handle = m_table.Find(address);
  const EndpointState* state = m_table.Get(handle);
  if (state == nullptr) {
    return std::nullopt;
  }
  Attempt attempt;
  attempt.pick.endpoint = handle;
  attempt.pick.group = state->group;
  return StartAttempt(std::move(attempt));
}

EngineChoice RouteDirector::StartAttempt(Attempt attempt) {
  const EngineTicket ticket(m_next_ticket++);
  const EndpointState& state = *m_table.Get(attempt.pick.endpoint);
  EngineChoice choice{
      .ticket = ticket,
      .address = state.address,
      .version = std::string(m_table.names().NameOf(state.version)),
      .adapter = std::string(m_table.names().NameOf(state.adapter)),
      .first_token = attempt.pick.estimate - attempt.pick.queue,
      .queue = attempt.pick.queue};
  m_table.OnStarted(attempt.pick.endpoint, attempt.output);
  attempt.started = m_clock();
  m_attempts.emplace(ticket.value(), std::move(attempt));
  return choice;
}

void RouteDirector::OnFirstToken(EngineTicket ticket) {
  const auto it = m_attempts.find(ticket.value());
  if (it == m_attempts.end()) {
    return;
  }
  Attempt& attempt = it->second;
  attempt.first_token = m_clock();
  const Duration wait = *attempt.first_token - attempt.started;
  if (attempt.is_admitted) {
    m_admission.OnFirstToken(attempt.pick.estimate, wait);
  }
  EndAdmissionWait(&attempt);
  m_outliers.OnFirstToken(attempt.pick.group, attempt.pick.endpoint);
  m_table.OnFirstToken(attempt.pick.endpoint,
                       {.wait = wait,
                        .estimated_wait = attempt.pick.estimate,
                        .estimated_queue = attempt.pick.queue,
                        .link = attempt.pick.link,
                        .uncached_tokens = attempt.pick.uncached_tokens,
                        .prefix_hashes = attempt.prefix_hashes});
  m_table.OnTokens(attempt.pick.endpoint, 1);
}

void RouteDirector::OnToken(EngineTicket ticket) {
  const auto it = m_attempts.find(ticket.value());
  if (it != m_attempts.end()) {
    m_table.OnTokens(it->second.pick.endpoint, 1);
  }
}

void RouteDirector::EndAdmissionWait(Attempt* attempt) {
  if (std::exchange(attempt->is_admitted, false)) {
    m_admission.OnWaitEnded();
  }
}

void RouteDirector::OnEnd(EngineTicket ticket, EndOutcome outcome) {
  const auto node = m_attempts.extract(ticket.value());
  if (node.empty()) {
    return;
  }
  Attempt& attempt = node.mapped();
  EndAdmissionWait(&attempt);
  if (outcome == EndOutcome::kStalled && !attempt.first_token) {
    outcome = m_table.ClassifyFirstTokenTimeout(attempt.pick.endpoint);
    m_table.OnFirstToken(attempt.pick.endpoint,
                         {.wait = m_clock() - attempt.started,
                          .estimated_wait = attempt.pick.estimate,
                          .estimated_queue = attempt.pick.queue,
                          .link = attempt.pick.link,
                          .uncached_tokens = attempt.pick.uncached_tokens});
  }
  const Duration slot_hold_time =
      attempt.first_token ? m_clock() - *attempt.first_token : Duration::zero();
  m_outliers.OnEnded(attempt.pick.group, attempt.pick.endpoint, outcome);
  m_table.OnEnded(attempt.pick.endpoint, outcome, attempt.output,
                  slot_hold_time);
}

uint32_t RouteDirector::StreamsOn(EngineTicket ticket) const {
  const auto it = m_attempts.find(ticket.value());
  if (it == m_attempts.end()) {
    return 1;
  }
  const EndpointState* state = m_table.Get(it->second.pick.endpoint);
  return state == nullptr ? 1 : state->in_flight;
}

void RouteDirector::OnStreamOpened(std::string_view model) {
  m_budget.OnStreamOpened(model);
}

void RouteDirector::OnStreamClosed(std::string_view model) {
  m_budget.OnStreamClosed(model);
}

std::optional<StreamBinding> RouteDirector::FindBinding(
    std::string_view address) const {
  const EndpointState* state = m_table.Get(m_table.Find(address));
  if (state == nullptr) {
    return std::nullopt;
  }
  return StreamBinding{
      .version = std::string(m_table.names().NameOf(state->version)),
      .adapter = std::string(m_table.names().NameOf(state->adapter)),
      .engine = state->address};
}

std::optional<std::string> RouteDirector::ChooseService(
    std::string_view service,
    const std::vector<std::string>& avoid) {
  std::vector<EndpointHandle> avoided;
  avoided.reserve(avoid.size());
  for (const std::string& address : avoid) {
    avoided.push_back(m_table.Find(address));
  }
  RouteQuery route;
  route.group = service;
  route.region = m_self.region;
  route.failure_domain = m_self.failure_domain;
  route.avoid_endpoints = avoided;
  const auto pick = m_picker.Choose(route);
  if (!pick) {
    return std::nullopt;
  }
  if (avoid.empty()) {
    m_budget.OnFirstTry(service);
  }
  return m_table.Get(pick->endpoint)->address;
}

void RouteDirector::OnServiceResult(std::string_view address, bool answered) {
  const EndpointHandle handle = m_table.Find(address);
  const EndpointState* state = m_table.Get(handle);
  if (state == nullptr) {
    return;
  }
  // The start is reported together with the end. A call whose caller
  // disconnects has no result, and a start without an end would occupy the
  // probe of an ejected endpoint forever.
  m_outliers.OnStarted(state->group, handle);
  m_outliers.OnEnded(state->group, handle,
                     answered ? EndOutcome::kSuccess : EndOutcome::kEarlyEnd);
}

bool RouteDirector::AllowServiceRetry(std::string_view service) {
  const bool is_granted = m_budget.TryRetry(service, RetryReason::kErrorEvent);
  CountRetry(NameOf(RetryReason::kErrorEvent), is_granted);
  return is_granted;
}

void RouteDirector::OnLoadReport(std::string_view address,
                                 const std::optional<LoadReport>& report) {
  const EndpointHandle handle = m_table.Find(address);
  const EndpointState* state = m_table.Get(handle);
  if (state == nullptr) {
    return;
  }
  m_outliers.OnPoll(state->group, handle, report.has_value());
  if (report) {
    m_table.OnReport(handle, *report);
  }
}

void RouteDirector::UpdateGauges() {
  m_outliers.Sweep();
  m_metrics->SetGauge("bramleybank_endpoints",
                      static_cast<double>(m_table.size()));
  m_metrics->SetGauge("bramleybank_attempts_open",
                      static_cast<double>(m_attempts.size()));
  m_metrics->SetGauge("bramleybank_endpoint_ejections",
                      static_cast<double>(m_outliers.total_ejections()));
  m_metrics->SetGauge("bramleybank_observer_faults",
                      static_cast<double>(m_outliers.observer_faults()));
  m_metrics->SetGauge("bramleybank_customers_tracked",
                      static_cast<double>(m_customers.tracked_count()));
  m_metrics->SetGauge("bramleybank_limit_divisor",
                      static_cast<double>(m_divisor.Get()));
}

}  // namespace bramleybank
