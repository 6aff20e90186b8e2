// Waiting requests and the timer that ends their waits.
#include "start_waiters.h"

#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "gateway_caller.h"
#include "metric_registry.h"

namespace bramleybank {

StartWaiters::StartWaiters(EventLoop* loop,
                           MetricRegistry* metrics,
                           StartHook start)
    : m_loop(loop),
      m_metrics(metrics),
      m_start(std::move(start)),
      m_queue(loop->Now()) {}

StartWaiters::~StartWaiters() {
  m_loop->Cancel(m_timer);
}

bool StartWaiters::Add(uint64_t number,
                       const std::shared_ptr<GatewayCaller>& caller,
                       const GatewayRequest& request,
                       const RequestMetadata& metadata) {
  const bool waits = m_queue.Add({.number = number,
                                  .bytes = request.body.size(),
                                  .resumes = metadata.last_event_id.has_value(),
                                  .client_timeout = metadata.client_timeout},
                                 m_loop->Now());
  if (!waits) {
    return false;
  }
  m_waiters.emplace(number, Waiter{caller, request});
  m_metrics->Count("bramleybank_start_waits_total");
  caller->SetDisconnectHandler([this, number] {
    m_queue.Remove(number);
    m_waiters.erase(number);
  });
  ArmTimer();
  return true;
}

void StartWaiters::StartAll() {
  Start(m_queue.TakeAll());
}

void StartWaiters::ArmTimer() {
  if (!m_timer.is_valid() && !m_queue.empty()) {
    m_timer = m_loop->Schedule(kStartCheckInterval, [this] {
      m_timer = TimerHandle();
      Start(m_queue.TakeExpired(m_loop->Now()));
      ArmTimer();
    });
  }
}

void StartWaiters::Start(const std::vector<uint64_t>& numbers) {
  for (const uint64_t number : numbers) {
    const auto it = m_waiters.find(number);
    if (it == m_waiters.end()) {
      continue;
    }
    Waiter waiter = std::move(it->second);
    m_waiters.erase(it);
    m_start(number, std::move(waiter.caller), std::move(waiter.request));
  }
}

}  // namespace bramleybank
