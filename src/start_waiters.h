// The callers whose requests wait for the first configuration after a start.
#ifndef BRAMLEYBANK_SRC_START_WAITERS_H_
#define BRAMLEYBANK_SRC_START_WAITERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "bramleybank/handle.h"
#include "gateway_request.h"
#include "start_queue.h"

namespace bramleybank {

class EventLoop;
class GatewayCaller;
class MetricRegistry;

/// Holds the requests that StartQueue lets wait, and starts them when they may
/// be served or when their wait is over.
class StartWaiters {
 public:
  /// Starts a request that has waited.
  using StartHook = std::function<void(uint64_t number,
                                       std::shared_ptr<GatewayCaller> caller,
                                       GatewayRequest request)>;

  StartWaiters(EventLoop* loop, MetricRegistry* metrics, StartHook start);
  ~StartWaiters();
  StartWaiters(const StartWaiters&) = delete;
  StartWaiters& operator=(const StartWaiters&) = delete;

  /// @returns whether the request waits; if not, it must be started now.
  bool Add(uint64_t number,
           const std::shared_ptr<GatewayCaller>& caller,
           const GatewayRequest& request,
           const RequestMetadata& metadata);
  /// Starts all requests, resumed streams first.
  void StartAll();

 private:
  struct Waiter {
    std::shared_ptr<GatewayCaller> caller;
    GatewayRequest request;
  };

  void ArmTimer();
  void Start(const std::vector<uint64_t>& numbers);

  EventLoop* m_loop;
  MetricRegistry* m_metrics;
  const StartHook m_start;
  StartQueue m_queue;
  // The same requests as in m_queue.
  std::map<uint64_t, Waiter> m_waiters;
  TimerHandle m_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_START_WAITERS_H_
