// Decides the steps of a gateway's graceful shutdown.
#ifndef BRAMLEYBANK_SRC_GATEWAY_DRAIN_H_
#define BRAMLEYBANK_SRC_GATEWAY_DRAIN_H_

#include <cstddef>

#include "hooks.h"

namespace bramleybank {

/// What is still open in a gateway.
struct GatewayDrainLoad {
  size_t open_requests = 0;
  /// Connections of callers, including those that are being closed.
  size_t open_connections = 0;
  /// When a connection was last accepted.
  TimePoint last_accept;

  friend bool operator==(const GatewayDrainLoad&,
                         const GatewayDrainLoad&) = default;
};

/// Actions to take at one point of the shutdown.
struct GatewayDrainStep {
  bool close_idle_callers = false;
  bool stop = false;

  friend bool operator==(const GatewayDrainStep&,
                         const GatewayDrainStep&) = default;
};

/// A gateway that shuts down reports that it is not ready and serves until the
/// load balancer has had time to notice. Then it closes idle connections. It
/// stops when no request and no connection is open and none comes any more, or
/// shortly before the process would be killed. The load balancer may send
/// connections until the end when no other daemon is ready; StopAdmission says
/// which of their requests can still be finished.
class GatewayDrain {
 public:
  /// @param grace time from the stop signal until the process is killed.
  GatewayDrain(Duration grace, TimePoint now);

  GatewayDrainStep Next(TimePoint now, const GatewayDrainLoad& load) const;
  /// @returns the time until the stop ends what is still open.
  Duration TimeLeft(TimePoint now) const { return m_stop_at - now; }

 private:
  const TimePoint m_close_idle_at;
  const TimePoint m_stop_at;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_DRAIN_H_
