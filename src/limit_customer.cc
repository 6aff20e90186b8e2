// Token buckets, tokens in flight and max-min shares of customers.
#include "limit_customer.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <vector>

namespace bramleybank {
namespace {

// The bucket of a daemon holds one second of its share of the rate, and at
// least 2 requests. With many daemons the share is below one request per
// second, and the random distribution by the load balancer would otherwise
// cause many false refusals.
constexpr double kMinBucketCapacity = 2;
constexpr double kBucketCapacitySeconds = 1;
constexpr std::chrono::seconds kSweepInterval{10};
// A full table is swept more often, but not for every request.
constexpr std::chrono::seconds kFullSweepInterval{1};
constexpr std::chrono::milliseconds kShareUpdateInterval{100};
constexpr std::chrono::seconds kMaxRetryAfter{30};
// Customers beyond kMaxTrackedCustomers share this entry, and so the limits of
// one customer.
constexpr std::string_view kOverflowCustomer = "(others)";

// Customers that ask for fewer tokens per second are left out of the max-min
// share.
constexpr double kMinDemandTokensPerS = 1;

/// Tokens per second of one customer, divided by its weight.
struct Demand {
  double offered = 0;
  double admitted = 0;
  double weight = 0;
};

Duration FromSeconds(double value) {
  const double max_seconds =
      std::chrono::duration<double>(kMaxRetryAfter).count();
  return Duration(static_cast<int64_t>(std::min(value, max_seconds) * 1e6));
}

}  // namespace

CustomerLimiter::CustomerLimiter(ClockHook now, DivisorHook divisor)
    : m_now(std::move(now)), m_divisor(std::move(divisor)) {}

void CustomerLimiter::SetConfig(std::span<const CustomerConfig> customers) {
  m_limits.clear();
  for (const CustomerConfig& customer : customers) {
    m_limits[customer.name] = {customer.requests_per_s,
                               customer.tokens_in_flight, customer.weight};
  }
}

void CustomerLimiter::SetDefaults(const CustomerConfig& defaults) {
  m_defaults = {defaults.requests_per_s, defaults.tokens_in_flight,
                defaults.weight};
}

const CustomerLimiter::Limits& CustomerLimiter::LimitsOf(
    std::string_view customer) const {
  const auto it = m_limits.find(customer);
  return it == m_limits.end() ? m_defaults : it->second;
}

CustomerLimiter::States::iterator CustomerLimiter::FindOrAdd(
    std::string_view customer) {
  if (const auto it = m_states.find(customer); it != m_states.end()) {
    return it;
  }
  if (m_states.size() >= kMaxTrackedCustomers &&
      m_now() - m_swept_at >= kFullSweepInterval) {
    Sweep();
  }
  if (m_states.size() >= kMaxTrackedCustomers) {
    customer = kOverflowCustomer;
  }
  State state;
  state.bucket = std::numeric_limits<double>::max();
  state.filled_at = m_now();
  state.last_used = m_now();
  return m_states.try_emplace(std::string(customer), state).first;
}

std::optional<Admission> CustomerLimiter::Admit(std::string_view customer,
                                                int64_t tokens,
                                                bool under_pressure) {
  assert(tokens >= 0);
  const TimePoint now = m_now();
  if (now - m_swept_at >= kSweepInterval) {
    Sweep();
  }
  const auto it = FindOrAdd(customer);
  const Limits& limits = LimitsOf(it->first);
  State& state = it->second;
  state.last_used = now;
  state.offered.Add(static_cast<double>(tokens), now);
  // The rate is checked last, so that a request that another check refuses
  // takes nothing out of the bucket.
  if (!CheckTokens(limits, state, tokens) ||
      (under_pressure && !CheckShare(limits, state)) ||
      !CheckRate(limits, &state)) {
    return std::nullopt;
  }
  state.admitted.Add(static_cast<double>(tokens), now);
  state.tokens_in_flight += tokens;
  return Admission{it->first, tokens};
}

bool CustomerLimiter::Refuse(ResultCode code,
                             std::string detail,
                             Duration retry_after) {
  m_last_reason = {code, std::move(detail)};
  m_retry_after = retry_after;
  return false;
}

bool CustomerLimiter::CheckRate(const Limits& limits, State* state) {
  if (limits.requests_per_s <= 0) {
    return true;
  }
  const double rate = limits.requests_per_s / m_divisor();
  const double capacity =
      std::max(kMinBucketCapacity, rate * kBucketCapacitySeconds);
  const double elapsed =
      std::chrono::duration<double>(m_now() - state->filled_at).count();
  state->bucket = std::min(capacity, state->bucket + (elapsed * rate));
  state->filled_at = m_now();
  if (state->bucket < 1) {
    return Refuse(ResultCode::kCustomerRateLimit,
                  "the customer's request rate is used up",
                  FromSeconds((1 - state->bucket) / rate));
  }
  state->bucket -= 1;
  return true;
}

bool CustomerLimiter::CheckTokens(const Limits& limits,
                                  const State& state,
                                  int64_t tokens) {
  if (limits.tokens_in_flight <= 0) {
    return true;
  }
  const int64_t share = limits.tokens_in_flight / m_divisor();
  if (tokens > share) {
    return Refuse(ResultCode::kCustomerTokenLimit,
                  "the request needs " + std::to_string(tokens) +
                      " tokens; this daemon's share of the limit is " +
                      std::to_string(share),
                  kMaxRetryAfter);
  }
  if (state.tokens_in_flight + tokens > share) {
    return Refuse(ResultCode::kCustomerTokenLimit,
                  "the customer has too many tokens in flight",
                  std::chrono::seconds(1));
  }
  return true;
}

bool CustomerLimiter::CheckShare(const Limits& limits, const State& state) {
  const double used = state.admitted.RatePerSecond(m_now()) / limits.weight;
  if (used > MaxMinShare()) {
    return Refuse(ResultCode::kCustomerTokenLimit,
                  "the customer has its share of the busy engines",
                  std::chrono::seconds(1));
  }
  return true;
}

double CustomerLimiter::MaxMinShare() {
  const TimePoint now = m_now();
  if (m_max_min_share > 0 && now - m_max_min_share_at < kShareUpdateInterval) {
    return m_max_min_share;
  }
  m_max_min_share_at = now;
  m_max_min_share = std::numeric_limits<double>::max();
  // Under pressure the customers share the recently admitted rate and no more:
  // in bench_policy, a capacity 3% above it undid the protection of small
  // customers.
  std::vector<Demand> demands;
  double capacity = 0;
  double weights = 0;
  for (const auto& [name, state] : m_states) {
    const double offered = state.offered.RatePerSecond(now);
    if (offered >= kMinDemandTokensPerS) {
      const double weight = LimitsOf(name).weight;
      const double admitted = state.admitted.RatePerSecond(now);
      demands.push_back({offered / weight, admitted / weight, weight});
      capacity += admitted;
      weights += weight;
    }
  }
  std::ranges::sort(demands, {}, &Demand::offered);
  double share = m_max_min_share;
  for (const Demand& demand : demands) {
    share = capacity / weights;
    if (demand.offered > share) {
      break;
    }
    capacity -= demand.offered * demand.weight;
    weights -= demand.weight;
  }
  // When no customer is below its share, limiting the others would benefit
  // nobody.
  if (std::ranges::any_of(demands, [share](const Demand& demand) {
        return demand.admitted < share;
      })) {
    m_max_min_share = share;
  }
  return m_max_min_share;
}

void CustomerLimiter::Release(const Admission& admission) {
  const auto it = m_states.find(admission.customer);
  assert(it != m_states.end());
  it->second.tokens_in_flight -= admission.tokens;
  assert(it->second.tokens_in_flight >= 0);
}

void CustomerLimiter::Withdraw(const Admission& admission) {
  Release(admission);
  State& state = m_states.find(admission.customer)->second;
  state.bucket += 1;
  state.admitted.Add(-static_cast<double>(admission.tokens), m_now());
}

void CustomerLimiter::Sweep() {
  const TimePoint now = m_now();
  m_swept_at = now;
  const int divisor = m_divisor();
  std::erase_if(m_states, [&](const auto& entry) {
    const auto& [name, state] = entry;
    if (state.tokens_in_flight > 0 ||
        now - state.last_used < kCustomerIdleLifetime) {
      return false;
    }
    // A new entry starts with a full bucket, so only entries with a full bucket
    // may be dropped.
    const double rate = LimitsOf(name).requests_per_s / divisor;
    const double idle =
        std::chrono::duration<double>(now - state.filled_at).count();
    return rate <= 0 ||
           state.bucket + (idle * rate) >=
               std::max(kMinBucketCapacity, rate * kBucketCapacitySeconds);
  });
}

}  // namespace bramleybank
