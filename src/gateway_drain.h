// Decides the steps of a planned stop of a gateway.
#ifndef BRAMLEYBANK_SRC_GATEWAY_DRAIN_H_
#define BRAMLEYBANK_SRC_GATEWAY_DRAIN_H_

#include <cstddef>

#include "hooks.h"

namespace bramleybank {

/// What is to be done now.
struct DrainStep {
  bool close_idle_callers = false;
  /// New requests could not be finished.
  bool refuse_requests = false;
  bool stop = false;

  friend bool operator==(const DrainStep&, const DrainStep&) = default;
};

/// A stopping gateway reports that it is not ready, and goes on serving until
/// the balancer has noticed. Then it closes idle connections, and stops when
/// nothing is open, or shortly before it would be killed. The balancer may send
/// connections until the end, when no other daemon is ready; requests that
/// come too late to be finished are refused instead of cut.
class GatewayDrain {
 public:
  /// @param grace time from the signal until the process is killed.
  GatewayDrain(Duration grace, TimePoint now);

  DrainStep Next(TimePoint now, size_t open_requests) const;

 private:
  const TimePoint m_noticed_at;
  const TimePoint m_last_moment;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_DRAIN_H_
