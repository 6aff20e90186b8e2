// Candidates, their cost and the locality rule.
#include "route_picker.h"

#include <algorithm>
#include <cassert>

namespace bramleybank {
namespace {

// Round-trip times of the links. Connecting is not included, since a connection
// is usually reused.
constexpr double kSameDomainLinkMs = 1;
constexpr double kSameRegionLinkMs = 2;
constexpr double kOtherRegionLinkMs = 40;
// Traffic between regions is billed by volume: 4 bytes per token, and as much
// again for the answer.
constexpr double kOtherRegionCostMsPerPromptToken = 0.02;
// Each open stream slightly slows down the others in its batch. This cost also
// ranks endpoints that have no queue.
constexpr double kFullBatchMs = 10;
constexpr double kFailurePenaltyMs = 1000;
constexpr double kConnectFailurePenaltyMs = 200;
// Number of new observations at which the bias has half of its full weight.
constexpr double kBiasPriorWeight = 2;
constexpr int kMaxRandomTries = 8;
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
  std::optional<ResolvedQuery> resolved = Resolve(query);
  const EndpointGroup* group =
      resolved ? m_table->FindGroup(resolved->group) : nullptr;
  if (group == nullptr) {
    m_last_reason = {ResultCode::kNoEndpoint,
                     "no endpoint of " + std::string(query.group) +
                         " has the version and adapter"};
    return std::nullopt;
  }
  std::optional<Candidate> best;
  for (const bool may_use_avoided : {false, true}) {
    resolved->may_use_avoided_domains = may_use_avoided;
    if (!best) {
      best = ChooseAmong(*resolved, group->preferred);
    }
    if (!best) {
      best = ChooseAmong(*resolved, group->all);
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

std::optional<RoutePicker::ResolvedQuery> RoutePicker::Resolve(
    const RouteQuery& query) {
  const NamePool& names = m_table->names();
  ResolvedQuery resolved;
  resolved.query = &query;
  resolved.region = names.Find(query.region);
  resolved.domain = names.Find(query.failure_domain);
  const auto group = names.Find(query.group);
  if (query.version) {
    resolved.version = names.Find(*query.version);
  }
  if (query.adapter) {
    resolved.adapter = names.Find(*query.adapter);
  }
  if (!group || query.version.has_value() != resolved.version.has_value() ||
      query.adapter.has_value() != resolved.adapter.has_value()) {
    return std::nullopt;
  }
  resolved.group = *group;
  return resolved;
}

std::optional<RoutePicker::Candidate> RoutePicker::ChooseAmong(
    const ResolvedQuery& resolved,
    const std::vector<DomainEndpoints>& domains) {
  m_candidates.clear();
  for (const DomainEndpoints& domain : domains) {
    const Distance distance =
        DistanceOf(resolved, domain.region, domain.domain);
    if (!IsAvoided(resolved, domain.domain)) {
      CollectFromDomain(resolved, domain, distance);
    }
  }
  // As the only candidate, the endpoint that likely has the prompt cached would
  // be chosen without a comparison.
  if (!m_candidates.empty()) {
    CollectPrefixLocation(resolved);
  }
  const Candidate* best = nullptr;
  double threshold_ms = 0;
  for (const Distance distance :
       {Distance::kSameDomain, Distance::kSameRegion, Distance::kOtherRegion}) {
    const Candidate* nearest = nullptr;
    for (const Candidate& candidate : m_candidates) {
      if (candidate.distance == distance &&
          (nearest == nullptr || candidate.cost_ms < nearest->cost_ms)) {
        nearest = &candidate;
      }
    }
    threshold_ms = distance == Distance::kOtherRegion
                       ? static_cast<double>(kCrossRegionThreshold.count())
                       : static_cast<double>(kRegionThreshold.count());
    if (nearest != nullptr &&
        (best == nullptr || nearest->cost_ms + threshold_ms < best->cost_ms)) {
      best = nearest;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

void RoutePicker::CollectFromDomain(const ResolvedQuery& resolved,
                                    const DomainEndpoints& domain,
                                    Distance distance) {
  if (distance == Distance::kOtherRegion &&
      resolved.query->priority == RoutePriority::kBatch) {
    return;
  }
  const std::vector<EndpointHandle>& endpoints = domain.endpoints;
  size_t found = 0;
  EndpointHandle first;
  for (int i = 0; i < kMaxRandomTries && found < kCandidatesPerDomain; ++i) {
    const EndpointHandle endpoint = endpoints[m_random() % endpoints.size()];
    if (endpoint != first && IsUsable(resolved, endpoint)) {
      first = endpoint;
      ++found;
      Collect(resolved, endpoint, distance);
    }
  }
  if (found > 0) {
    return;
  }
  // Few endpoints are usable, so check all of them. The choice among them stays
  // random: a scan from a random position would give the endpoints that follow
  // unusable ones more than their share.
  m_usable.clear();
  std::ranges::copy_if(
      endpoints, std::back_inserter(m_usable),
      [&](EndpointHandle endpoint) { return IsUsable(resolved, endpoint); });
  for (; found < kCandidatesPerDomain && !m_usable.empty(); ++found) {
    const size_t index = m_random() % m_usable.size();
    Collect(resolved, m_usable[index], distance);
    m_usable[index] = m_usable.back();
    m_usable.pop_back();
  }
}

void RoutePicker::CollectPrefixLocation(const ResolvedQuery& resolved) {
  const EndpointHandle location =
      m_table->FindPrefixLocation(resolved.query->prefix_hashes);
  const EndpointState* state = m_table->Get(location);
  if (state == nullptr || IsAvoided(resolved, state->domain)) {
    return;
  }
  const Distance distance = DistanceOf(resolved, state->region, state->domain);
  const bool is_excluded = distance == Distance::kOtherRegion &&
                           resolved.query->priority == RoutePriority::kBatch;
  if (!is_excluded && IsUsable(resolved, location)) {
    Collect(resolved, location, distance);
  }
}

void RoutePicker::Collect(const ResolvedQuery& resolved,
                          EndpointHandle endpoint,
                          Distance distance) {
  m_candidates.push_back(Evaluate(resolved, endpoint, distance));
}

bool RoutePicker::IsUsable(const ResolvedQuery& resolved,
                           EndpointHandle endpoint) {
  const EndpointState* state = m_table->Get(endpoint);
  if (state == nullptr || state->is_leaving() ||
      state->group != resolved.group ||
      (resolved.version && state->version != *resolved.version) ||
      (resolved.adapter && state->adapter != *resolved.adapter) ||
      std::ranges::find(resolved.query->avoid_endpoints, endpoint) !=
          resolved.query->avoid_endpoints.end() ||
      m_outliers->HealthOf(resolved.group, endpoint) ==
          EndpointHealth::kEjected) {
    return false;
  }
  if (resolved.query->output == OutputClass::kLong &&
      m_table->EstimateLongLoad(*state) + 1 >
          std::max(1.0, kLongSlotShare * m_table->SlotsOf(*state))) {
    m_was_blocked_by_long_share = true;
    return false;
  }
  return true;
}

bool RoutePicker::IsAvoided(const ResolvedQuery& resolved,
                            NameId domain) const {
  const auto& avoided = resolved.query->avoid_domains;
  return !resolved.may_use_avoided_domains &&
         std::ranges::find(avoided, m_table->names().NameOf(domain)) !=
             avoided.end();
}

RoutePicker::Distance RoutePicker::DistanceOf(const ResolvedQuery& resolved,
                                              NameId region,
                                              NameId domain) const {
  if (resolved.domain == domain) {
    return Distance::kSameDomain;
  }
  return resolved.region == region ? Distance::kSameRegion
                                   : Distance::kOtherRegion;
}

RoutePicker::Candidate RoutePicker::Evaluate(const ResolvedQuery& resolved,
                                             EndpointHandle endpoint,
                                             Distance distance) const {
  const RouteQuery& query = *resolved.query;
  const EndpointState& state = *m_table->Get(endpoint);
  const TimePoint now = m_table->Now();
  double queue_ms = ToMs(m_table->EstimateQueue(state));
  if (query.priority == RoutePriority::kUrgent) {
    // Urgent work waits only for the next free slot.
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
  const double link_ms = distance == Distance::kSameDomain ? kSameDomainLinkMs
                         : distance == Distance::kSameRegion
                             ? kSameRegionLinkMs
                             : kOtherRegionLinkMs;
  const double bias_ms = state.bias_ms.Blend(0, kBiasPriorWeight, now);
  const double estimate_ms =
      std::max(link_ms, queue_ms + prefill_ms + link_ms + bias_ms);

  Candidate candidate;
  candidate.distance = distance;
  candidate.pick = {
      .endpoint = endpoint,
      .group = resolved.group,
      .estimate = FromMs(estimate_ms),
      .queue = FromMs(queue_ms),
      .link = FromMs(link_ms),
      .uncached_tokens = static_cast<uint32_t>(uncached),
      .is_probe = m_outliers->HealthOf(resolved.group, endpoint) ==
                  EndpointHealth::kProbe};
  const double batch = m_table->EstimateLoad(state) / m_table->SlotsOf(state);
  candidate.cost_ms =
      estimate_ms + (kFullBatchMs * batch) +
      (kFailurePenaltyMs * state.failure_rate.Blend(0, 1, now)) +
      (kConnectFailurePenaltyMs * state.connect_failures.Get(now));
  if (distance == Distance::kOtherRegion) {
    candidate.cost_ms += kOtherRegionCostMsPerPromptToken * query.prompt_tokens;
  }
  return candidate;
}

}  // namespace bramleybank
