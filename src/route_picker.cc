// Candidates, their cost and the locality rule.
#include "route_picker.h"

#include <algorithm>
#include <cassert>

namespace bramleybank {
namespace {

// Two ways over the link: connecting is usually saved by a kept connection.
constexpr double kDomainLinkMs = 1;
constexpr double kRegionLinkMs = 2;
constexpr double kFarLinkMs = 40;
// Links between regions are billed by volume: 4 bytes a token, and as much
// again for the answer.
constexpr double kFarPriceMsPerPromptToken = 0.02;
// Each open stream slows the others of its batch a little. It also tells
// endpoints without a queue apart.
constexpr double kFullBatchMs = 10;
constexpr double kErrorPenaltyMs = 1000;
constexpr double kConnectFailurePenaltyMs = 200;
// Observations that the bias needs to count half.
constexpr double kBiasPriorWeight = 2;
constexpr int kRandomTries = 8;
constexpr size_t kCandidatesPerDomain = 2;

Duration FromMs(double value) {
  return Duration(static_cast<int64_t>(value * 1e3));
}

double ToMs(Duration value) {
  return static_cast<double>(value.count()) / 1e3;
}

}  // namespace

RoutePicker::RoutePicker(const EndpointTable* table,
                         const OutlierDetector* outliers,
                         RandomHook random)
    : m_table(table), m_outliers(outliers), m_random(std::move(random)) {
  assert(m_table != nullptr && m_outliers != nullptr);
}

std::optional<Pick> RoutePicker::Choose(const RouteQuery& query) {
  m_was_blocked_by_long_share = false;
  std::optional<Wanted> wanted = Resolve(query);
  const EndpointGroup* group =
      wanted ? m_table->FindGroup(wanted->group) : nullptr;
  if (group == nullptr) {
    m_last_reason = {ResultCode::kNoEndpoint,
                     "no endpoint of " + std::string(query.group) +
                         " has the version and adapter"};
    return std::nullopt;
  }
  std::optional<Candidate> best;
  for (const bool may_use_avoided : {false, true}) {
    wanted->may_use_avoided_domains = may_use_avoided;
    if (!best) {
      best = ChooseAmong(*wanted, group->preferred);
    }
    if (!best) {
      best = ChooseAmong(*wanted, group->all);
    }
    if (query.avoid_domains.empty()) {
      break;
    }
  }
  if (best) {
    return best->pick;
  }
  m_last_reason =
      m_was_blocked_by_long_share
          ? Reason{ResultCode::kOverloaded,
                   "long generations hold their share of the slots"}
          : Reason{ResultCode::kNoEndpoint,
                   "no usable endpoint of " + std::string(query.group)};
  return std::nullopt;
}

std::optional<RoutePicker::Wanted> RoutePicker::Resolve(
    const RouteQuery& query) {
  const NamePool& names = m_table->names();
  Wanted wanted;
  wanted.query = &query;
  wanted.region = names.Find(query.region);
  wanted.domain = names.Find(query.failure_domain);
  const auto group = names.Find(query.group);
  if (query.version) {
    wanted.version = names.Find(*query.version);
  }
  if (query.adapter) {
    wanted.adapter = names.Find(*query.adapter);
  }
  if (!group || query.version.has_value() != wanted.version.has_value() ||
      query.adapter.has_value() != wanted.adapter.has_value()) {
    return std::nullopt;
  }
  wanted.group = *group;
  return wanted;
}

std::optional<RoutePicker::Candidate> RoutePicker::ChooseAmong(
    const Wanted& wanted,
    const std::vector<DomainEndpoints>& domains) {
  m_candidates.clear();
  for (const DomainEndpoints& domain : domains) {
    const Distance distance = DistanceOf(wanted, domain.region, domain.domain);
    if (!IsAvoided(wanted, domain.domain)) {
      CollectFromDomain(wanted, domain, distance);
    }
  }
  // Alone it would win without a comparison.
  if (!m_candidates.empty()) {
    CollectPrefixHome(wanted);
  }
  const Candidate* best = nullptr;
  double threshold_ms = 0;
  for (const Distance distance :
       {Distance::kDomain, Distance::kRegion, Distance::kFar}) {
    const Candidate* nearest = nullptr;
    for (const Candidate& candidate : m_candidates) {
      if (candidate.distance == distance &&
          (nearest == nullptr || candidate.cost_ms < nearest->cost_ms)) {
        nearest = &candidate;
      }
    }
    threshold_ms = distance == Distance::kFar
                       ? static_cast<double>(kCrossRegionThreshold.count())
                       : static_cast<double>(kRegionThreshold.count());
    if (nearest != nullptr &&
        (best == nullptr || nearest->cost_ms + threshold_ms < best->cost_ms)) {
      best = nearest;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

void RoutePicker::CollectFromDomain(const Wanted& wanted,
                                    const DomainEndpoints& domain,
                                    Distance distance) {
  if (distance == Distance::kFar &&
      wanted.query->priority == RoutePriority::kBatch) {
    return;
  }
  const std::vector<EndpointHandle>& endpoints = domain.endpoints;
  size_t found = 0;
  EndpointHandle first;
  for (int i = 0; i < kRandomTries && found < kCandidatesPerDomain; ++i) {
    const EndpointHandle endpoint = endpoints[m_random() % endpoints.size()];
    if (endpoint != first && IsUsable(wanted, endpoint)) {
      first = endpoint;
      ++found;
      Collect(wanted, endpoint, distance);
    }
  }
  if (found > 0) {
    return;
  }
  // Few are usable: look at all, still at random, so that the neighbours of
  // unusable ones get no more than their part.
  m_usable.clear();
  std::ranges::copy_if(
      endpoints, std::back_inserter(m_usable),
      [&](EndpointHandle endpoint) { return IsUsable(wanted, endpoint); });
  for (; found < kCandidatesPerDomain && !m_usable.empty(); ++found) {
    const size_t index = m_random() % m_usable.size();
    Collect(wanted, m_usable[index], distance);
    m_usable[index] = m_usable.back();
    m_usable.pop_back();
  }
}

void RoutePicker::CollectPrefixHome(const Wanted& wanted) {
  const EndpointHandle home =
      m_table->FindPrefixHome(wanted.query->prefix_hashes);
  const EndpointState* state = m_table->Get(home);
  if (state == nullptr || IsAvoided(wanted, state->domain)) {
    return;
  }
  const Distance distance = DistanceOf(wanted, state->region, state->domain);
  const bool too_far = distance == Distance::kFar &&
                       wanted.query->priority == RoutePriority::kBatch;
  if (!too_far && IsUsable(wanted, home)) {
    Collect(wanted, home, distance);
  }
}

void RoutePicker::Collect(const Wanted& wanted,
                          EndpointHandle endpoint,
                          Distance distance) {
  m_candidates.push_back(Evaluate(wanted, endpoint, distance));
}

bool RoutePicker::IsUsable(const Wanted& wanted, EndpointHandle endpoint) {
  const EndpointState* state = m_table->Get(endpoint);
  if (state == nullptr || state->is_leaving() || state->group != wanted.group ||
      (wanted.version && state->version != *wanted.version) ||
      (wanted.adapter && state->adapter != *wanted.adapter) ||
      std::ranges::find(wanted.query->avoid_endpoints, endpoint) !=
          wanted.query->avoid_endpoints.end() ||
      m_outliers->HealthOf(wanted.group, endpoint) ==
          EndpointHealth::kEjected) {
    return false;
  }
  if (wanted.query->output == OutputClass::kLong &&
      m_table->EstimateLongLoad(*state) + 1 >
          std::max(1.0, kLongSlotShare * m_table->SlotsOf(*state))) {
    m_was_blocked_by_long_share = true;
    return false;
  }
  return true;
}

bool RoutePicker::IsAvoided(const Wanted& wanted, NameId domain) const {
  const auto& avoided = wanted.query->avoid_domains;
  return !wanted.may_use_avoided_domains &&
         std::ranges::find(avoided, m_table->names().NameOf(domain)) !=
             avoided.end();
}

RoutePicker::Distance RoutePicker::DistanceOf(const Wanted& wanted,
                                              NameId region,
                                              NameId domain) const {
  if (wanted.domain == domain) {
    return Distance::kDomain;
  }
  return wanted.region == region ? Distance::kRegion : Distance::kFar;
}

RoutePicker::Candidate RoutePicker::Evaluate(const Wanted& wanted,
                                             EndpointHandle endpoint,
                                             Distance distance) const {
  const RouteQuery& query = *wanted.query;
  const EndpointState& state = *m_table->Get(endpoint);
  const TimePoint now = m_table->Now();
  double queue_ms = ToMs(m_table->EstimateQueue(state));
  if (query.priority == RoutePriority::kUrgent) {
    // It waits for the next free slot only.
    const double load = m_table->EstimateLoad(state);
    const double ahead = load + 1 - m_table->SlotsOf(state);
    queue_ms /= std::max(1.0, ahead);
  }
  const double cached_blocks =
      state.cache != nullptr ? state.cache->CachedBlocks(query.prefix_hashes)
                             : 0;
  const double uncached =
      std::max(0.0, query.prompt_tokens - (cached_blocks * kPrefixBlockTokens));
  const double prefill_ms = uncached / m_table->PrefillRate(state) * 1e3;
  const double link_ms = distance == Distance::kDomain   ? kDomainLinkMs
                         : distance == Distance::kRegion ? kRegionLinkMs
                                                         : kFarLinkMs;
  const double bias_ms = state.bias_ms.Blend(0, kBiasPriorWeight, now);
  const double estimate_ms =
      std::max(link_ms, queue_ms + prefill_ms + link_ms + bias_ms);

  Candidate candidate;
  candidate.distance = distance;
  candidate.pick = {.endpoint = endpoint,
                    .group = wanted.group,
                    .estimate = FromMs(estimate_ms),
                    .queue = FromMs(queue_ms),
                    .link = FromMs(link_ms),
                    .uncached_tokens = static_cast<uint32_t>(uncached),
                    .is_probe = m_outliers->HealthOf(wanted.group, endpoint) ==
                                EndpointHealth::kProbe};
  const double batch = m_table->EstimateLoad(state) / m_table->SlotsOf(state);
  candidate.cost_ms =
      estimate_ms + (kFullBatchMs * batch) +
      (kErrorPenaltyMs * state.errors.Blend(0, 1, now)) +
      (kConnectFailurePenaltyMs * state.connect_failures.Get(now));
  if (distance == Distance::kFar) {
    candidate.cost_ms += kFarPriceMsPerPromptToken * query.prompt_tokens;
  }
  return candidate;
}

}  // namespace bramleybank
