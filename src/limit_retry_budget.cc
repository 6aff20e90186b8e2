// Sliding-window counters per route, and backoff.
#include "limit_retry_budget.h"

#include <algorithm>
#include <cassert>

namespace bramleybank {
namespace {

constexpr std::string_view kReasonNames[kRetryReasonCount] = {
    "connect_failed", "refused_by_endpoint", "error_event", "early_end",
    "stalled",        "chunk_gap",           "hedge",       "too_large"};
constexpr std::string_view kOverflowRoute = "(others)";
// With this exponent the bound has reached kMaxRetryBackoff already.
constexpr int kMaxBackoffExponent = 10;

constexpr Duration kBucketLength = Duration(kRetryWindow) / 10;

}  // namespace

std::string_view NameOf(RetryReason reason) {
  return kReasonNames[static_cast<size_t>(reason)];
}

RetryBudget::RetryBudget(ClockHook now, RandomHook random, RetryLimits limits)
    : m_now(std::move(now)), m_random(std::move(random)), m_limits(limits) {}

RetryBudget::Route& RetryBudget::AdvanceRoute(std::string_view name) {
  const int64_t tick = m_now().time_since_epoch() / kBucketLength;
  auto it = m_routes.find(name);
  if (it == m_routes.end()) {
    if (m_routes.size() >= kMaxRetryRoutes) {
      name = kOverflowRoute;
    }
    it = m_routes.try_emplace(std::string(name)).first;
    it->second.tick = std::max(tick, it->second.tick);
  }
  Route& route = it->second;
  const auto passed = std::clamp<int64_t>(tick - route.tick, 0, kBuckets);
  for (int64_t i = 1; i <= passed; ++i) {
    Bucket& bucket =
        route.buckets[static_cast<size_t>(tick - passed + i) % kBuckets];
    bucket = Bucket{};
    bucket.open_at_start = route.open_streams;
  }
  route.tick = std::max(route.tick, tick);
  return route;
}

void RetryBudget::OnFirstTry(std::string_view route) {
  ++CurrentBucket(&AdvanceRoute(route)).first_tries;
}

void RetryBudget::OnStreamOpened(std::string_view route) {
  Route& current = AdvanceRoute(route);
  ++current.open_streams;
  ++CurrentBucket(&current).opened;
}

void RetryBudget::OnStreamClosed(std::string_view name) {
  Route& route = AdvanceRoute(name);
  assert(route.open_streams > 0);
  --route.open_streams;
}

bool RetryBudget::TryRetry(std::string_view name,
                           RetryReason reason,
                           RetryUse use) {
  Route& route = AdvanceRoute(name);
  uint64_t first_tries = 0;
  uint64_t retries = 0;
  for (const Bucket& bucket : route.buckets) {
    first_tries += bucket.first_tries;
    retries += bucket.retries;
  }
  double budget =
      (m_limits.share * static_cast<double>(first_tries)) + m_limits.extra;
  const bool has_reserve = m_limits.begun_reserve > 0 && budget > 0;
  if (use == RetryUse::kBegunStream && has_reserve) {
    budget += std::max(1.0, budget * m_limits.begun_reserve);
  }
  if (static_cast<double>(retries) + 1 > budget) {
    return Refuse(reason, "the retry budget of the route is used up");
  }
  ++CurrentBucket(&route).retries;
  ++m_granted[static_cast<size_t>(reason)];
  return true;
}

bool RetryBudget::TryResume(std::string_view name, RetryReason reason) {
  Route& route = AdvanceRoute(name);
  uint64_t resumes = 0;
  uint64_t opened = 0;
  for (const Bucket& bucket : route.buckets) {
    resumes += bucket.resumes;
    opened += bucket.opened;
  }
  const Bucket& oldest =
      route.buckets[static_cast<size_t>(route.tick + 1) % kBuckets];
  const double budget = static_cast<double>(oldest.open_at_start + opened) +
                        m_limits.resume_extra;
  if (static_cast<double>(resumes) + 1 > budget) {
    return Refuse(reason, "the resume reserve of the route is used up");
  }
  ++CurrentBucket(&route).resumes;
  ++m_granted_resumes;
  ++m_granted[static_cast<size_t>(reason)];
  return true;
}

bool RetryBudget::TryHedge(std::string_view route,
                           bool is_idempotent,
                           bool has_token) {
  if (!is_idempotent || has_token) {
    return Refuse(RetryReason::kHedge,
                  "only idempotent calls without a token may be hedged");
  }
  return TryRetry(route, RetryReason::kHedge);
}

bool RetryBudget::Refuse(RetryReason reason, const char* detail) {
  ++m_refused[static_cast<size_t>(reason)];
  m_last_reason = {ResultCode::kRetryBudgetExhausted, detail};
  return false;
}

Duration RetryBudget::Backoff(int retry) {
  const int exponent = std::clamp(retry, 0, kMaxBackoffExponent);
  const Duration bound = std::min<Duration>(
      Duration(kMinRetryBackoff) * (1 << exponent), kMaxRetryBackoff);
  const auto range = static_cast<uint64_t>(bound.count()) + 1;
  return Duration(static_cast<int64_t>(m_random() % range));
}

uint64_t RetryBudget::granted(RetryReason reason) const {
  return m_granted[static_cast<size_t>(reason)];
}

uint64_t RetryBudget::refused(RetryReason reason) const {
  return m_refused[static_cast<size_t>(reason)];
}

}  // namespace bramleybank
