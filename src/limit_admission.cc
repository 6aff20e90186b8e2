// Comparison of the expected wait for the first token with the client timeout.
#include "limit_admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bramleybank {
namespace {

// Number of new error samples at which the correction has half of its full
// weight.
constexpr double kErrorPriorWeight = 4;
constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{30};
constexpr std::chrono::seconds kPressureHoldTime{1};

}  // namespace

AdmissionController::AdmissionController(ClockHook now,
                                         RandomHook random,
                                         size_t max_waiting)
    : m_now(std::move(now)),
      m_random(std::move(random)),
      m_max_waiting(max_waiting),
      m_pressure_until(TimePoint::min()) {}

bool AdmissionController::Admit(Duration estimate, Duration client_timeout) {
  const Duration expected = ExpectedWait(estimate);
  if (expected * 4 > client_timeout * 3) {
    m_pressure_until = m_now() + kPressureHoldTime;
  }
  if (m_waiting >= m_max_waiting) {
    return Refuse(ResultCode::kOverloaded,
                  "too many requests wait for their first token", expected);
  }
  if (expected > client_timeout) {
    return Refuse(ResultCode::kExpectedTooLate,
                  "the first token is expected after the client timeout",
                  expected - client_timeout);
  }
  ++m_waiting;
  return true;
}

bool AdmissionController::Refuse(ResultCode code,
                                 const char* detail,
                                 Duration excess) {
  m_pressure_until = m_now() + kPressureHoldTime;
  m_last_reason = {code, detail};
  const Duration base =
      std::clamp<Duration>(excess, kMinRetryAfter, kMaxRetryAfter / 2);
  const auto spread = static_cast<uint64_t>(base.count()) + 1;
  m_retry_after = base + Duration(static_cast<int64_t>(m_random() % spread));
  return false;
}

void AdmissionController::OnFirstToken(Duration estimate, Duration wait) {
  const double error_ms = static_cast<double>((wait - estimate).count()) / 1e3;
  m_error_ms.Add(error_ms, m_now());
  m_deviation_ms.Add(std::abs(error_ms - m_error_ms.Get()), m_now());
}

void AdmissionController::OnWaitEnded() {
  assert(m_waiting > 0);
  --m_waiting;
}

Duration AdmissionController::ExpectedWait(Duration estimate) const {
  // A negative mean error is ignored: waits that were shorter than estimated do
  // not predict a shorter wait for the next request.
  const double error_ms =
      std::max(0.0, m_error_ms.Blend(0, kErrorPriorWeight, m_now())) +
      m_deviation_ms.Blend(0, kErrorPriorWeight, m_now());
  return estimate + Duration(static_cast<int64_t>(error_ms * 1e3));
}

bool AdmissionController::is_under_pressure() const {
  return m_now() < m_pressure_until;
}

}  // namespace bramleybank
