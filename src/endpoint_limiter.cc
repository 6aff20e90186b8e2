// Permits of one gateway, by endpoint.
#include "endpoint_limiter.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "metric_registry.h"

namespace bramleybank {

EndpointLimiter::EndpointLimiter(EndpointDirectory* directory,
                                 MetricRegistry* metrics,
                                 Hooks hooks)
    : m_directory(directory),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_alive(std::make_shared<EndpointLimiter*>(this)) {}

const EndpointLimiter::Permits* EndpointLimiter::Find(
    const EndpointRecord& record) const {
  const auto it = m_permits.find(record.entry.id);
  return it == m_permits.end() ? nullptr : &it->second;
}

bool EndpointLimiter::MaySend(const EndpointRecord& record) const {
  if (!record.rate_limit) {
    return true;
  }
  const Permits* permits = Find(record);
  return permits != nullptr && permits->count > 0 &&
         m_hooks.clock() < permits->expire_at;
}

bool EndpointLimiter::MayAsk(const EndpointRecord& record) const {
  if (!record.rate_limit) {
    return false;
  }
  const Permits* permits = Find(record);
  return permits == nullptr || m_hooks.clock() >= permits->ask_after;
}

void EndpointLimiter::OnSend(const EndpointRecord& record) {
  const auto it = m_permits.find(record.entry.id);
  if (record.rate_limit && it != m_permits.end() && it->second.count > 0) {
    --it->second.count;
  }
}

PermitQuery EndpointLimiter::MakeQuery(const EndpointRecord& record,
                                       uint32_t wanted) const {
  return {.endpoint_id = record.entry.id,
          .endpoint_start_ms = record.entry.start_time_ms,
          .rate_limit = record.rate_limit,
          .age = m_hooks.clock() - record.rate_limit_stated_at,
          .wanted = wanted};
}

void EndpointLimiter::Request(const EndpointRecord& record,
                              std::function<void()> on_answer) {
  EvictUnlimited();
  Permits& permits = m_permits[record.entry.id];
  permits.wanted = std::min(permits.wanted + 1, kMaxPermitsPerQuery);
  if (on_answer) {
    permits.waiters.push_back(std::move(on_answer));
  }
  if (permits.is_asking) {
    return;
  }
  permits.is_asking = true;
  const PermitQuery query = MakeQuery(record, std::exchange(permits.wanted, 0));
  m_hooks.ask(record.entry, query,
              [weak = std::weak_ptr(m_alive), id = record.entry.id,
               asked_at = m_hooks.clock()](const PermitAnswer& answer) {
                if (const auto self = weak.lock()) {
                  (*self)->OnAnswer(id, asked_at, answer);
                }
              });
}

void EndpointLimiter::OnAnswer(const std::string& id,
                               TimePoint asked_at,
                               const PermitAnswer& answer) {
  m_metrics->Count("bramleybank_permit_queries_total", "result",
                   answer.is_unlimited  ? "unlimited"
                   : answer.granted > 0 ? "granted"
                                        : "refused");
  if (answer.is_unlimited) {
    // Statements that arrived after the query are newer than the answer.
    m_directory->OnNoRateLimit(id, asked_at);
  }
  Permits& permits = m_permits[id];
  const TimePoint now = m_hooks.clock();
  permits.is_asking = false;
  permits.count = answer.granted;
  permits.expire_at = now + kPermitLifetime;
  permits.ask_after = now + answer.retry_after;
  const auto waiters = std::exchange(permits.waiters, {});
  for (const auto& waiter : waiters) {
    waiter();
  }
}

void EndpointLimiter::OnLimitEnded(const EndpointRecord& record) {
  m_hooks.ask(record.entry, MakeQuery(record, 0), [](const PermitAnswer&) {});
}

std::optional<Duration> EndpointLimiter::RemainingWait(
    std::string_view service) const {
  std::optional<Duration> least = m_directory->RemainingPause(service);
  for (const EndpointRecord* record : m_directory->FindByService(service)) {
    if (!m_directory->IsUsable(*record)) {
      continue;
    }
    if (MaySend(*record)) {
      return std::nullopt;
    }
    const Permits* permits = Find(*record);
    const TimePoint ask_after =
        permits != nullptr ? permits->ask_after : m_hooks.clock();
    const Duration left =
        std::max<Duration>(ask_after - m_hooks.clock(), kMinPermitRetryDelay);
    least = least ? std::min(*least, left) : left;
  }
  return least;
}

void EndpointLimiter::EvictUnlimited() {
  std::erase_if(m_permits, [&](const auto& item) {
    const EndpointRecord* record = m_directory->Find(item.first);
    const bool has_limit = record != nullptr && record->rate_limit;
    return !has_limit && !item.second.is_asking;
  });
}

}  // namespace bramleybank
