// Keeps an admitted request counted against its customer's limits.
#ifndef BRAMLEYBANK_SRC_LIMIT_ADMISSION_LEASE_H_
#define BRAMLEYBANK_SRC_LIMIT_ADMISSION_LEASE_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "bramleybank/result_code.h"

namespace bramleybank {

/// Releases an admission when it is destroyed.
class AdmissionLease {
 public:
  /// @param ran false when the request was refused before it ran. Such a
  /// request must count neither in the rate nor in the customer's share.
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

/// Result of checking a request against its customer's limits.
struct AdmissionDecision {
  /// Set when the request is refused.
  std::optional<Reason> refusal;
  /// Seconds after which the caller may retry; 0 when unknown.
  int retry_after_s = 0;
  /// Set when the request is admitted. The request counts against the limits
  /// until the lease is destroyed.
  std::shared_ptr<AdmissionLease> lease;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LIMIT_ADMISSION_LEASE_H_
