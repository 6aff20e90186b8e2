// Token buckets that are refilled when they are used.
#include "permit_issuer.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

double PermitRate(double rate_limit) {
  return std::max(rate_limit * kPermitRateShare, kMinPermitRate);
}

PermitIssuer::PermitIssuer(ClockHook clock, RandomHook random)
    : m_clock(std::move(clock)), m_random(std::move(random)) {}

PermitIssuer::Bucket& PermitIssuer::FindOrAdd(const PermitQuery& query) {
  auto it = m_buckets.find(query.endpoint_id);
  const bool is_restarted =
      it != m_buckets.end() &&
      it->second.endpoint_start_ms < query.endpoint_start_ms;
  if (it == m_buckets.end() || is_restarted) {
    if (m_buckets.size() >= kMaxPermitBuckets) {
      EvictOldest();
    }
    it = m_buckets.insert_or_assign(query.endpoint_id, Bucket{}).first;
    it->second.endpoint_start_ms = query.endpoint_start_ms;
    it->second.refilled_at = m_clock();
  }
  return it->second;
}

void PermitIssuer::EvictOldest() {
  m_buckets.erase(std::ranges::min_element(
      m_buckets, {}, [](const auto& item) { return item.second.refilled_at; }));
}

void PermitIssuer::Merge(const PermitQuery& query, Bucket* bucket) const {
  const TimePoint stated_at = m_clock() - query.age;
  if (!bucket->stated_at || stated_at >= *bucket->stated_at) {
    bucket->rate_limit = query.rate_limit;
    bucket->stated_at = stated_at;
  }
}

void PermitIssuer::Refill(Bucket* bucket) const {
  const TimePoint now = m_clock();
  const double rate = PermitRate(bucket->rate_limit.value_or(0));
  const Seconds elapsed = now - bucket->refilled_at;
  const double most =
      std::max(1.0, rate * Seconds(kMaxPermitAccumulation).count());
  bucket->permits = std::min(most, bucket->permits + rate * elapsed.count());
  bucket->refilled_at = now;
}

Duration PermitIssuer::RetryAfter(const Bucket& bucket) const {
  const double rate = PermitRate(bucket.rate_limit.value_or(0));
  const double seconds =
      std::min(bucket.refusals / rate, Seconds(kMaxPermitRetryDelay).count());
  const auto bound = std::chrono::duration_cast<Duration>(Seconds(seconds));
  return EqualJitter(std::max<Duration>(bound, kMinPermitRetryDelay), m_random);
}

PermitAnswer PermitIssuer::Issue(const PermitQuery& query) {
  Bucket& bucket = FindOrAdd(query);
  if (query.endpoint_start_ms < bucket.endpoint_start_ms) {
    // The sender has not learned yet that the endpoint has restarted.
    return {.retry_after = kMinPermitRetryDelay};
  }
  Merge(query, &bucket);
  if (!bucket.rate_limit) {
    return {.is_unlimited = true};
  }
  if (query.wanted == 0) {
    return {};
  }
  Refill(&bucket);
  const auto granted =
      std::min(query.wanted, static_cast<uint32_t>(std::floor(bucket.permits)));
  if (granted == 0) {
    ++bucket.refusals;
    return {.retry_after = RetryAfter(bucket)};
  }
  bucket.permits -= granted;
  bucket.refusals = 0;
  return {.granted = granted};
}

}  // namespace bramleybank
