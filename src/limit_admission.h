// Admission by the expected wait for the first token.
#ifndef BRAMLEYBANK_SRC_LIMIT_ADMISSION_H_
#define BRAMLEYBANK_SRC_LIMIT_ADMISSION_H_

#include <cstdint>

#include "bramleybank/limits.h"
#include "bramleybank/result_code.h"
#include "decaying_mean.h"
#include "hooks.h"

namespace bramleybank {

/// Refuses a request early when its first token is expected after the client
/// timeout, the longest wait that the caller accepts. A decision uses only the
/// estimate and the errors of the estimates of the last seconds. These errors
/// decay even without traffic, so that requests are admitted again when the
/// load falls.
class AdmissionController {
 public:
  AdmissionController(ClockHook now,
                      RandomHook random,
                      size_t max_waiting = kMaxWaitingForFirstToken);

  /// @param estimate time to first token of the chosen endpoint.
  /// @returns whether the request is admitted. If so, call OnWaitEnded() once.
  /// If not, last_reason() has kExpectedTooLate or kOverloaded, and
  /// retry_after() has a wait.
  bool Admit(Duration estimate,
             Duration client_timeout = kDefaultClientTimeout);

  /// Records the first token of an admitted request, `wait` after its
  /// admission. For a request that was given up, `wait` is the wait so far.
  void OnFirstToken(Duration estimate, Duration wait);
  /// Ends the wait of an admitted request: it got its first token, failed or
  /// was cancelled.
  void OnWaitEnded();

  /// @returns the estimate corrected by the mean of recent errors, plus their
  /// mean absolute deviation. Without the deviation, most waits that are
  /// estimated near the client timeout would exceed it.
  Duration ExpectedWait(Duration estimate) const;
  /// @returns whether, in the last second, a request was refused or its
  /// expected wait was above 3/4 of its client timeout.
  bool is_under_pressure() const;

  const Reason& last_reason() const { return m_last_reason; }
  /// Wait after the last refusal; 1 s to 30 s, with random jitter so that
  /// refused callers do not all retry at the same time.
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
  // Absolute deviation of the errors from their mean.
  DecayingMean m_deviation_ms;
  // TimePoint::min() until there is pressure for the first time.
  TimePoint m_pressure_until;
  Reason m_last_reason;
  Duration m_retry_after{};
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LIMIT_ADMISSION_H_
