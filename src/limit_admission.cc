// Comparison of the expected wait with the caller's patience.
#include "limit_admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bramleybank {
namespace {

// Errors that the correction needs to count half.
constexpr double kErrorPriorWeight = 4;
constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{30};
constexpr std::chrono::seconds kPressureMemory{1};

}  // namespace

AdmissionController::AdmissionController(ClockHook now,
                                         RandomHook random,
                                         size_t max_waiting)
    : m_now(std::move(now)),
      m_random(std::move(random)),
      m_max_waiting(max_waiting),
      m_pressure_until(TimePoint::min()) {}

bool AdmissionController::Admit(Duration estimate, Duration patience) {
  const Duration expected = Expected(estimate);
  if (expected * 2 > patience) {
    m_pressure_until = m_now() + kPressureMemory;
  }
  if (m_waiting >= m_max_waiting) {
    return Refuse(ResultCode::kOverloaded,
                  "too many requests wait for their first token", expected);
  }
  if (expected > patience) {
    return Refuse(ResultCode::kExpectedTooLate,
                  "the first token is expected after the caller's patience",
                  expected - patience);
  }
  ++m_waiting;
  return true;
}

bool AdmissionController::Refuse(ResultCode code,
                                 const char* detail,
                                 Duration excess) {
  m_pressure_until = m_now() + kPressureMemory;
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

Duration AdmissionController::Expected(Duration estimate) const {
  // Waits that were shorter than estimated don't vouch for the next one.
  const double error_ms =
      std::max(0.0, m_error_ms.Blend(0, kErrorPriorWeight, m_now())) +
      m_deviation_ms.Blend(0, kErrorPriorWeight, m_now());
  return estimate + Duration(static_cast<int64_t>(error_ms * 1e3));
}

bool AdmissionController::is_under_pressure() const {
  return m_now() < m_pressure_until;
}

}  // namespace bramleybank
