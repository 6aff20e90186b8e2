// Keeps an admitted request counted against its customer's limits.
#ifndef BRAMLEYBANK_SRC_LIMIT_ADMISSION_LEASE_H_
#define BRAMLEYBANK_SRC_LIMIT_ADMISSION_LEASE_H_

#include <functional>
#include <utility>

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

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LIMIT_ADMISSION_LEASE_H_
