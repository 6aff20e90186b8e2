// Decides the steps of a planned stop.
#ifndef BRAMLEYBANK_SRC_DAEMON_DRAIN_H_
#define BRAMLEYBANK_SRC_DAEMON_DRAIN_H_

#include <cstddef>
#include <optional>

#include "hooks.h"

namespace bramleybank {

/// What the daemon does next while it stops.
enum class DrainStep {
  /// Serve as usual.
  kServe,
  /// Refuse new work and let open work finish.
  kWait,
  /// As kWait, and ask the callers of open streams to reconnect elsewhere.
  kHandOver,
  /// No work is open, or the drain time is over.
  kExit,
};

/// Work that must end before the daemon may exit.
struct OpenWork {
  size_t streams = 0;
  size_t calls = 0;
  /// Requests whose answer has not been sent completely.
  size_t exchanges = 0;

  friend bool operator==(const OpenWork&, const OpenWork&) = default;
};

/// The drain of one daemon. Invariant: a later step is never followed by an
/// earlier one.
class DaemonDrain {
 public:
  /// @param drain_time longest time from the stop request to the exit.
  DaemonDrain(Duration drain_time, ClockHook clock);

  /// Starts the drain; later calls have no effect.
  void Begin();
  DrainStep NextStep(const OpenWork& open) const;
  bool is_draining() const { return m_started.has_value(); }

 private:
  const Duration m_drain_time;
  const ClockHook m_clock;
  std::optional<TimePoint> m_started;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_DAEMON_DRAIN_H_
