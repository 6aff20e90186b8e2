// Budget of retries, hedges and resumes.
#ifndef BRAMLEYBANK_SRC_LIMIT_RETRY_BUDGET_H_
#define BRAMLEYBANK_SRC_LIMIT_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "bramleybank/limits.h"
#include "bramleybank/result_code.h"
#include "hooks.h"
#include "route_name_pool.h"

namespace bramleybank {

enum class RetryReason : uint8_t {
  kConnectFailed,
  kRefusedByEndpoint,
  kErrorEvent,
  kEarlyEnd,
  kStalled,
  kChunkGap,
  kHedge,
  kTooLarge,
};
inline constexpr size_t kRetryReasonCount = 8;

/// @returns the name for logs and metric labels.
std::string_view NameOf(RetryReason reason);

/// What a retry is for.
enum class RetryUse : uint8_t {
  kRequest,
  /// The caller has a part of the answer, which is lost without the retry.
  kBegunStream,
};

/// Size of the budgets.
struct RetryLimits {
  /// Retries allowed per first try in the window, and in addition to those.
  double share = 0.1;
  double extra = 5;
  /// Resumes allowed in addition to one per stream that was open in the window.
  double resume_extra = 20;
  /// Part of the budget that is added for RetryUse::kBegunStream, at least one
  /// retry unless it or the budget is 0.
  double begun_reserve = 0;
};

/// Grants retries per route, so that a fault does not multiply the load:
/// retries and hedges together are at most 10% of the first tries of the last
/// 10 s plus 5. Resumes of streams preserve work that is already done and have
/// their own reserve: one for each stream that was open within the last 10 s,
/// plus 20. The reserve lets every stream survive the loss of its engine, while
/// streams that are lost repeatedly can at most double the load.
class RetryBudget {
 public:
  RetryBudget(ClockHook now, RandomHook random, RetryLimits limits = {});

  /// @param route name of the model or service route. Routes above
  /// kMaxRetryRoutes share one budget.
  void OnFirstTry(std::string_view route);
  void OnStreamOpened(std::string_view route);
  void OnStreamClosed(std::string_view route);

  /// Sets the part of the budget that does not depend on the first tries.
  void SetExtra(double extra) { m_limits.extra = extra; }

  /// @returns whether the retry is granted; if not, last_reason() has
  /// kRetryBudgetExhausted.
  bool TryRetry(std::string_view route,
                RetryReason reason,
                RetryUse use = RetryUse::kRequest);
  bool TryResume(std::string_view route, RetryReason reason);
  /// Grants a second attempt in parallel. Only idempotent calls without a first
  /// token may have one.
  bool TryHedge(std::string_view route, bool is_idempotent, bool has_token);

  /// Wait before retry number `retry` (0 for the first): uniform between 0 and
  /// a bound that doubles from 50 ms up to 1 s.
  Duration Backoff(int retry);

  uint64_t granted(RetryReason reason) const;
  uint64_t refused(RetryReason reason) const;
  uint64_t granted_resumes() const { return m_granted_resumes; }
  const Reason& last_reason() const { return m_last_reason; }

 private:
  static constexpr size_t kBuckets = 10;
  /// Counters of one tenth of the window.
  struct Bucket {
    uint32_t first_tries = 0;
    uint32_t retries = 0;
    uint32_t resumes = 0;
    /// Streams that were open at the start of the bucket, and streams that were
    /// opened during it.
    uint32_t open_at_start = 0;
    uint32_t opened = 0;
  };
  struct Route {
    // Ring buffer; the current bucket is at `tick % kBuckets`.
    std::array<Bucket, kBuckets> buckets{};
    int64_t tick = 0;
    uint32_t open_streams = 0;
  };

  /// Finds or adds the route and moves its window to the current time.
  Route& AdvanceRoute(std::string_view route);
  Bucket& CurrentBucket(Route* route) const {
    return route->buckets[static_cast<size_t>(route->tick) % kBuckets];
  }
  bool Refuse(RetryReason reason, const char* detail);

  ClockHook m_now;
  RandomHook m_random;
  RetryLimits m_limits;
  std::unordered_map<std::string, Route, StringHash, std::equal_to<>> m_routes;
  std::array<uint64_t, kRetryReasonCount> m_granted{};
  std::array<uint64_t, kRetryReasonCount> m_refused{};
  uint64_t m_granted_resumes = 0;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LIMIT_RETRY_BUDGET_H_
