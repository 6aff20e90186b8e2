// Keeps an admitted request counted against its customer's limits.
#ifndef BRAMLEYBANK_SRC_LIMIT_ADMISSION_LEASE_H_
#define BRAMLEYBANK_SRC_LIMIT_ADMISSION_LEASE_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "bramleybank/result_code.h"

namespace bramleybank {

/// Gives an admission back when it is destroyed.
class AdmissionLease {
 public:
  /// @param ran false when the request was refused before it ran, so that it
  /// must count neither in the rate nor in the customer's share.
  using ReleaseHook = std::function<void(bool ran)>;

  explicit AdmissionLease(ReleaseHook release)
      : m_release(std::move(release)) {}
  ~AdmissionLease() { m_release(m_ran); }
  AdmissionLease(const AdmissionLease&) = delete;
  AdmissionLease& operator=(const AdmissionLease&) = delete;

  void MarkNotRun() { m_ran = false; }

 private:
  ReleaseHook m_release;
  bool m_ran = true;
};

/// Decision of the customer's limits about a request.
struct AdmissionDecision {
  /// Set when the request is refused.
  std::optional<Reason> refusal;
  /// Seconds after which another try makes sense; 0 without advice.
  int retry_after_s = 0;
  /// Set when the request is admitted; keeps it counted until it is destroyed.
  std::shared_ptr<AdmissionLease> lease;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LIMIT_ADMISSION_LEASE_H_
