// Round robin and least reported load.
#include "route_baselines.h"

#include <algorithm>
#include <vector>

namespace bramleybank {
namespace {

bool IsUsable(const EndpointTable& table,
              const RouteQuery& query,
              EndpointHandle endpoint) {
  const EndpointState* state = table.Get(endpoint);
  const NamePool& names = table.names();
  return state != nullptr && !state->is_leaving() &&
         (!query.version || names.NameOf(state->version) == *query.version) &&
         (!query.adapter || names.NameOf(state->adapter) == *query.adapter) &&
         std::ranges::find(query.avoid_endpoints, endpoint) ==
             query.avoid_endpoints.end();
}

std::vector<EndpointHandle> UsableEndpoints(const EndpointTable& table,
                                            const RouteQuery& query) {
  std::vector<EndpointHandle> usable;
  const auto id = table.names().Find(query.group);
  const EndpointGroup* group = id ? table.FindGroup(*id) : nullptr;
  if (group == nullptr) {
    return usable;
  }
  for (const DomainEndpoints& domain : group->all) {
    for (const EndpointHandle endpoint : domain.endpoints) {
      if (IsUsable(table, query, endpoint)) {
        usable.push_back(endpoint);
      }
    }
  }
  return usable;
}

Pick MakePick(const EndpointTable& table,
              const RouteQuery& query,
              EndpointHandle endpoint) {
  const EndpointState& state = *table.Get(endpoint);
  const Duration queue = table.EstimateQueue(state);
  const double prefill_s = query.prompt_tokens / table.PrefillRate(state);
  return {.endpoint = endpoint,
          .group = state.group,
          .estimate = queue + Duration(static_cast<int64_t>(prefill_s * 1e6)),
          .queue = queue,
          .link = Duration::zero(),
          .uncached_tokens = query.prompt_tokens,
          .is_probe = false};
}

Reason NoEndpoint(const RouteQuery& query) {
  return {ResultCode::kNoEndpoint,
          "no usable endpoint of " + std::string(query.group)};
}

}  // namespace

std::optional<Pick> RoundRobinPicker::Choose(const RouteQuery& query) {
  const std::vector<EndpointHandle> usable = UsableEndpoints(*m_table, query);
  if (usable.empty()) {
    m_last_reason = NoEndpoint(query);
    return std::nullopt;
  }
  return MakePick(*m_table, query, usable[m_next++ % usable.size()]);
}

std::optional<Pick> LeastReportedLoadPicker::Choose(const RouteQuery& query) {
  const std::vector<EndpointHandle> usable = UsableEndpoints(*m_table, query);
  if (usable.empty()) {
    m_last_reason = NoEndpoint(query);
    return std::nullopt;
  }
  const auto best =
      std::ranges::min_element(usable, {}, [this](EndpointHandle endpoint) {
        return m_table->Get(endpoint)->reported_load;
      });
  return MakePick(*m_table, query, *best);
}

}  // namespace bramleybank
