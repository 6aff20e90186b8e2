// Bookkeeping and estimates of the endpoint table.
#include "route_endpoint_table.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <unordered_set>
#include <utility>

namespace bramleybank {
namespace {

constexpr uint32_t kDefaultSlots = 8;
constexpr double kDefaultSlotHoldS = 2;
constexpr double kDefaultPrefillTokensPerS = 8000;
// With fewer tokens the wait depends more on the link than on the prefill.
constexpr uint32_t kMinPrefillSampleTokens = 32;
constexpr size_t kPrefixLocationEntries = 65536;

double ToMs(Duration value) {
  return static_cast<double>(value.count()) / 1e3;
}

std::array<NameId, 5> NamesOf(const EndpointState& state) {
  return {state.group, state.version, state.adapter, state.region,
          state.domain};
}

DomainEndpoints& DomainOf(std::vector<DomainEndpoints>* domains,
                          const EndpointState& state) {
  const auto it =
      std::ranges::find(*domains, state.domain, &DomainEndpoints::domain);
  if (it != domains->end()) {
    return *it;
  }
  return domains->emplace_back(DomainEndpoints{state.domain, state.region, {}});
}

}  // namespace

EndpointTable::EndpointTable(ClockHook now)
    : m_now(std::move(now)), m_prefix_locations(kPrefixLocationEntries) {}

bool EndpointTable::SetConfig(std::span<const EndpointConfig> endpoints) {
  if (endpoints.size() > kMaxEndpoints) {
    m_last_reason = {ResultCode::kBadConfiguration,
                     "the configuration has more than " +
                         std::to_string(kMaxEndpoints) + " endpoints"};
    return false;
  }
  for (EndpointState& state : m_endpoints) {
    state.in_config = false;
  }
  for (const EndpointConfig& config : endpoints) {
    const auto it = m_by_address.find(config.address);
    const uint32_t index =
        it == m_by_address.end() ? AddEntry(config) : it->second;
    Apply(&m_endpoints[index], config);
  }
  for (uint32_t index = 0; index < m_endpoints.size(); ++index) {
    FreeIfUnused(index);
  }
  RebuildGroups();
  return true;
}

uint32_t EndpointTable::AddEntry(const EndpointConfig& config) {
  uint32_t index = 0;
  if (m_free_entries.empty()) {
    index = static_cast<uint32_t>(m_endpoints.size());
    m_endpoints.emplace_back();
  } else {
    index = m_free_entries.back();
    m_free_entries.pop_back();
  }
  const uint32_t generation = m_endpoints[index].generation;
  EndpointState state;
  state.address = config.address;
  state.generation = generation;
  m_endpoints[index] = std::move(state);
  m_by_address.emplace(config.address, index);
  return index;
}

void EndpointTable::Apply(EndpointState* state, const EndpointConfig& config) {
  const std::array old_names = NamesOf(*state);
  const NameId old_version = state->version;
  const bool is_new = !state->in_use;
  state->group = m_names.Acquire(config.group);
  state->version = m_names.Acquire(config.version);
  state->adapter = m_names.Acquire(config.adapter);
  state->region = m_names.Acquire(config.region);
  state->domain = m_names.Acquire(config.failure_domain);
  state->in_use = true;
  state->in_config = true;
  state->leaving_by_config = config.leaving;
  if (!is_new) {
    std::ranges::for_each(old_names,
                          [this](NameId id) { m_names.Release(id); });
    if (state->version != old_version) {
      // The observations were made on the old version.
      state->bias_ms = {};
      state->failure_rate = {};
      state->prefill_tokens_per_s = {};
    }
  }
}

void EndpointTable::FreeIfUnused(uint32_t index) {
  EndpointState& state = m_endpoints[index];
  if (!state.in_use || state.in_config || state.in_flight > 0) {
    return;
  }
  std::ranges::for_each(NamesOf(state),
                        [this](NameId id) { m_names.Release(id); });
  DropCache(&state);
  m_by_address.erase(state.address);
  const uint32_t generation = state.generation + 1;
  state = EndpointState{};
  state.generation = generation;
  m_free_entries.push_back(index);
}

void EndpointTable::RebuildGroups() {
  std::unordered_map<NameId, EndpointGroup> old_groups;
  std::swap(old_groups, m_groups);
  std::unordered_set<uint64_t> preferred;
  for (auto& [id, group] : old_groups) {
    for (const DomainEndpoints& domain : group.preferred) {
      for (const EndpointHandle handle : domain.endpoints) {
        preferred.insert(handle.value());
      }
    }
  }
  for (uint32_t index = 0; index < m_endpoints.size(); ++index) {
    const EndpointState& state = m_endpoints[index];
    if (!state.in_use) {
      continue;
    }
    const auto [it, is_new] = m_groups.try_emplace(state.group);
    EndpointGroup& group = it->second;
    if (const auto old = old_groups.find(state.group);
        is_new && old != old_groups.end()) {
      group.slot_hold_s = old->second.slot_hold_s;
      group.other_load = old->second.other_load;
      group.prefill_tokens_per_s = old->second.prefill_tokens_per_s;
    }
    group.in_flight += state.in_flight;
    group.long_in_flight += state.long_in_flight;
    if (!state.in_config) {
      continue;
    }
    const EndpointHandle handle = HandleOf(index);
    DomainOf(&group.all, state).endpoints.push_back(handle);
    ++group.size;
    if (preferred.contains(handle.value())) {
      DomainOf(&group.preferred, state).endpoints.push_back(handle);
      ++group.preferred_size;
    }
  }
}

void EndpointTable::SetPreferred(std::string_view group_name,
                                 std::span<const std::string> addresses) {
  const auto id = m_names.Find(group_name);
  const auto it = id ? m_groups.find(*id) : m_groups.end();
  if (it == m_groups.end()) {
    return;
  }
  EndpointGroup& group = it->second;
  group.preferred.clear();
  group.preferred_size = 0;
  for (const std::string& address : addresses) {
    const EndpointHandle handle = Find(address);
    const EndpointState* state = Get(handle);
    if (state != nullptr && state->in_config && state->group == *id) {
      DomainOf(&group.preferred, *state).endpoints.push_back(handle);
      ++group.preferred_size;
    }
  }
  std::unordered_set<std::string_view> kept(addresses.begin(), addresses.end());
  for (EndpointState& state : m_endpoints) {
    if (state.in_use && state.group == *id && !kept.contains(state.address)) {
      DropCache(&state);
    }
  }
}

void EndpointTable::DropCache(EndpointState* state) {
  m_cache_count -= state->cache != nullptr ? 1 : 0;
  state->cache.reset();
}

void EndpointTable::SetLeavingNotice(std::string_view address, bool leaving) {
  if (EndpointState* state = GetMutable(Find(address)); state != nullptr) {
    state->leaving_by_notice = leaving;
  }
}

void EndpointTable::OnStarted(EndpointHandle endpoint, OutputClass output) {
  EndpointState* state = GetMutable(endpoint);
  if (state == nullptr) {
    return;
  }
  const uint32_t is_long = output == OutputClass::kLong ? 1 : 0;
  EndpointGroup& group = m_groups.at(state->group);
  ++state->in_flight;
  ++group.in_flight;
  state->long_in_flight += is_long;
  group.long_in_flight += is_long;
}

void EndpointTable::OnFirstToken(EndpointHandle endpoint,
                                 const FirstTokenSample& sample) {
  EndpointState* state = GetMutable(endpoint);
  if (state == nullptr) {
    return;
  }
  const TimePoint now = m_now();
  state->first_token_ms.Add(ToMs(sample.wait), now);
  state->bias_ms.Add(ToMs(sample.wait - sample.estimated_wait), now);
  const Duration prefill = sample.wait - sample.link;
  // The wait shows the prefill rate only when there was no queue.
  if (sample.estimated_queue == Duration::zero() &&
      sample.uncached_tokens >= kMinPrefillSampleTokens &&
      prefill > Duration::zero()) {
    const double rate =
        sample.uncached_tokens * 1e6 / static_cast<double>(prefill.count());
    state->prefill_tokens_per_s.Add(rate, now);
    m_groups.at(state->group).prefill_tokens_per_s.Add(rate, now);
  }
  if (!sample.prefix_hashes.empty()) {
    if (PrefixCache* cache = GetOrCreateCache(state); cache != nullptr) {
      std::ranges::for_each(sample.prefix_hashes,
                            [cache](uint64_t hash) { cache->Insert(hash); });
    }
    for (const uint64_t hash : sample.prefix_hashes) {
      RecordPrefixLocation(hash, endpoint);
    }
  }
}

void EndpointTable::OnTokens(EndpointHandle endpoint, uint32_t count) {
  if (EndpointState* state = GetMutable(endpoint); state != nullptr) {
    state->tokens.Add(count, m_now());
  }
}

void EndpointTable::OnEnded(EndpointHandle endpoint,
                            EndOutcome outcome,
                            OutputClass output,
                            Duration slot_hold_time) {
  EndpointState* state = GetMutable(endpoint);
  if (state == nullptr) {
    return;
  }
  assert(state->in_flight > 0);
  const TimePoint now = m_now();
  const uint32_t is_long = output == OutputClass::kLong ? 1 : 0;
  EndpointGroup& group = m_groups.at(state->group);
  --state->in_flight;
  --group.in_flight;
  state->long_in_flight -= is_long;
  group.long_in_flight -= is_long;
  if (outcome != EndOutcome::kCancelled) {
    state->failure_rate.Add(IsFailure(outcome) ? 1 : 0, now);
  }
  if (outcome == EndOutcome::kConnectFailed) {
    state->connect_failures.Add(1, now);
  }
  if (outcome == EndOutcome::kSuccess) {
    group.slot_hold_s.Add(ToMs(slot_hold_time) / 1e3, now);
  }
  FreeIfUnused(static_cast<uint32_t>(state - m_endpoints.data()));
}

EndOutcome EndpointTable::ClassifyFirstTokenTimeout(
    EndpointHandle endpoint) const {
  const EndpointState* state = Get(endpoint);
  return state != nullptr && EstimateQueue(*state) > Duration::zero()
             ? EndOutcome::kCancelled
             : EndOutcome::kStalled;
}

void EndpointTable::OnReport(EndpointHandle endpoint,
                             const LoadReport& report) {
  EndpointState* state = GetMutable(endpoint);
  if (state == nullptr) {
    return;
  }
  const TimePoint now = m_now();
  const TimePoint made_at = now - report.age;
  if (state->has_report && made_at < state->reported_at) {
    return;
  }
  state->has_report = true;
  state->reported_at = made_at;
  state->slots = report.slots;
  state->reported_tokens_per_s = static_cast<float>(report.tokens_per_s);
  state->reported_load = report.running + report.waiting;
  const double other_load =
      static_cast<double>(state->reported_load) - state->in_flight;
  state->reported_other_load = static_cast<float>(std::max(0.0, other_load));
  m_groups.at(state->group).other_load.Add(state->reported_other_load, now);
}

void EndpointTable::OnCacheEvent(EndpointHandle endpoint,
                                 const CacheEvent& event) {
  EndpointState* state = GetMutable(endpoint);
  PrefixCache* cache = state != nullptr ? GetOrCreateCache(state) : nullptr;
  if (cache == nullptr) {
    return;
  }
  cache->OnEvent(event);
  if (event.change == CacheChange::kStored) {
    RecordPrefixLocation(event.prefix_hash, endpoint);
  }
}

EndpointHandle EndpointTable::Find(std::string_view address) const {
  const auto it = m_by_address.find(address);
  return it == m_by_address.end() ? EndpointHandle() : HandleOf(it->second);
}

const EndpointState* EndpointTable::Get(EndpointHandle endpoint) const {
  const uint64_t index = (endpoint.value() & 0xffffffffU) - 1;
  if (!endpoint.is_valid() || index >= m_endpoints.size()) {
    return nullptr;
  }
  const EndpointState& state = m_endpoints[index];
  const bool is_current = state.generation == endpoint.value() >> 32U;
  return is_current && state.in_use ? &state : nullptr;
}

EndpointState* EndpointTable::GetMutable(EndpointHandle endpoint) {
  return const_cast<EndpointState*>(std::as_const(*this).Get(endpoint));
}

EndpointHandle EndpointTable::HandleOf(uint32_t index) const {
  const uint64_t generation = m_endpoints[index].generation;
  return EndpointHandle((generation << 32U) | (index + 1U));
}

const EndpointGroup* EndpointTable::FindGroup(NameId group) const {
  const auto it = m_groups.find(group);
  return it == m_groups.end() ? nullptr : &it->second;
}

double EndpointTable::EstimateLoad(const EndpointState& endpoint) const {
  const double mean = m_groups.at(endpoint.group).other_load.Get();
  if (!endpoint.has_report) {
    return endpoint.in_flight + mean;
  }
  // An old report says little about the current load. The group's mean neither
  // attracts work to the endpoint nor keeps work away from it.
  const double fresh = DecayFactor(m_now() - endpoint.reported_at);
  return endpoint.in_flight + (endpoint.reported_other_load * fresh) +
         (mean * (1 - fresh));
}

double EndpointTable::EstimateLongLoad(const EndpointState& endpoint) const {
  // Reports do not distinguish long from short generations, so the load of
  // other daemons is assumed to have the same mix as this daemon's.
  const EndpointGroup& group = m_groups.at(endpoint.group);
  const double share =
      group.in_flight > 0
          ? static_cast<double>(group.long_in_flight) / group.in_flight
          : 0;
  const double other_load = EstimateLoad(endpoint) - endpoint.in_flight;
  return endpoint.long_in_flight + (other_load * share);
}

uint32_t EndpointTable::SlotsOf(const EndpointState& endpoint) const {
  return endpoint.slots > 0 ? endpoint.slots : kDefaultSlots;
}

Duration EndpointTable::EstimateQueue(const EndpointState& endpoint) const {
  const double slots = SlotsOf(endpoint);
  const double ahead = EstimateLoad(endpoint) + 1 - slots;
  if (ahead <= 0) {
    return Duration::zero();
  }
  const double slot_hold_s =
      m_groups.at(endpoint.group).slot_hold_s.Get(kDefaultSlotHoldS);
  return Duration(static_cast<int64_t>(ahead * slot_hold_s / slots * 1e6));
}

double EndpointTable::PrefillRate(const EndpointState& endpoint) const {
  const double prior = m_groups.at(endpoint.group)
                           .prefill_tokens_per_s.Get(kDefaultPrefillTokensPerS);
  return endpoint.prefill_tokens_per_s.Blend(prior, 1, m_now());
}

double EndpointTable::TokensPerSecond(const EndpointState& endpoint) const {
  const double observed = endpoint.tokens.RatePerSecond(m_now());
  if (observed > 1 || !endpoint.has_report) {
    return observed;
  }
  return endpoint.reported_tokens_per_s *
         DecayFactor(m_now() - endpoint.reported_at);
}

EndpointHandle EndpointTable::FindPrefixLocation(
    std::span<const uint64_t> prefix_hashes) const {
  for (size_t i = prefix_hashes.size(); i > 0; --i) {
    const uint64_t hash = prefix_hashes[i - 1];
    const PrefixLocation& location =
        m_prefix_locations[hash % kPrefixLocationEntries];
    if (location.hash == hash && Get(location.endpoint) != nullptr) {
      return location.endpoint;
    }
  }
  return {};
}

PrefixCache* EndpointTable::GetOrCreateCache(EndpointState* state) {
  if (state->cache == nullptr) {
    if (m_cache_count >= kMaxPrefixCaches) {
      return nullptr;
    }
    state->cache = std::make_unique<PrefixCache>();
    ++m_cache_count;
  }
  return state->cache.get();
}

void EndpointTable::RecordPrefixLocation(uint64_t hash,
                                         EndpointHandle endpoint) {
  m_prefix_locations[hash % kPrefixLocationEntries] = {hash, endpoint};
}

}  // namespace bramleybank
