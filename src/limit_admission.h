// Admission by the expected wait for the first token.
#ifndef BRAMLEYBANK_SRC_LIMIT_ADMISSION_H_
#define BRAMLEYBANK_SRC_LIMIT_ADMISSION_H_

#include <cstdint>

#include "bramleybank/limits.h"
#include "bramleybank/result_code.h"
#include "decaying_mean.h"
#include "hooks.h"

namespace bramleybank {

/// Refuses a request early when its first token is expected after the caller's
/// patience. Each decision uses only the estimate and errors of estimates of
/// the last seconds, which decay also without traffic: when the load falls,
/// requests are let in again.
class AdmissionController {
 public:
  AdmissionController(ClockHook now,
                      RandomHook random,
                      size_t max_waiting = kMaxWaitingForFirstToken);

  /// @param estimate of the chosen endpoint.
  /// @returns false with kExpectedTooLate or kOverloaded in last_reason() and a
  /// wait in retry_after(). After true, call OnWaitEnded() once.
  bool Admit(Duration estimate, Duration patience = kDefaultPatience);

  /// The first token of an admitted request came, `wait` after its admission;
  /// of a request that was given up, the wait so far.
  void OnFirstToken(Duration estimate, Duration wait);
  /// An admitted request no longer waits: first token, failure or cancelled.
  void OnWaitEnded();

  /// @returns the estimate corrected by the mean of recent errors, plus their
  /// mean absolute deviation: most waits near the patience would exceed it.
  Duration Expected(Duration estimate) const;
  /// @returns whether a request was refused, or nearly, in the last second.
  bool is_under_pressure() const;

  const Reason& last_reason() const { return m_last_reason; }
  /// Wait after the last refusal; 1 s to 30 s, spread at random so that refused
  /// callers don't come back at once.
  Duration retry_after() const { return m_retry_after; }
  size_t waiting() const { return m_waiting; }

 private:
  bool Refuse(ResultCode code, const char* detail, Duration excess);

  ClockHook m_now;
  RandomHook m_random;
  size_t m_max_waiting;
  size_t m_waiting = 0;
  // Observed minus estimated wait.
  DecayingMean m_error_ms;
  // Distance of the errors from their mean.
  DecayingMean m_deviation_ms;
  // Unset until the first pressure.
  TimePoint m_pressure_until;
  Reason m_last_reason;
  Duration m_retry_after{};
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LIMIT_ADMISSION_H_
