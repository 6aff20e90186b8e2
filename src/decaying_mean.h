// Sums and means with exponential decay, computed on access without a timer.
#ifndef BRAMLEYBANK_SRC_DECAYING_MEAN_H_
#define BRAMLEYBANK_SRC_DECAYING_MEAN_H_

#include <cmath>
#include <numbers>

#include "bramleybank/limits.h"
#include "hooks.h"

namespace bramleybank {

/// @returns the weight that an observation of the given age still has: 1 for a
/// new one, halved every half-life.
inline double DecayFactor(Duration age,
                          Duration half_life = kObservationHalfLife) {
  if (age <= Duration::zero()) {
    return 1;
  }
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

/// Sum in which each amount is halved every half-life.
class DecayingSum {
 public:
  void Add(double amount,
           TimePoint now,
           Duration half_life = kObservationHalfLife) {
    m_sum = static_cast<float>(Get(now, half_life) + amount);
    m_updated_at = now;
  }

  double Get(TimePoint now, Duration half_life = kObservationHalfLife) const {
    return m_sum == 0 ? 0 : m_sum * DecayFactor(now - m_updated_at, half_life);
  }

  /// @returns the rate at which a steady inflow would keep the sum at its
  /// current value.
  double RatePerSecond(TimePoint now,
                       Duration half_life = kObservationHalfLife) const {
    return Get(now, half_life) * std::numbers::ln2 * 1e6 /
           static_cast<double>(half_life.count());
  }

 private:
  float m_sum = 0;
  TimePoint m_updated_at;
};

/// Mean of samples, each with a weight that is halved every half-life.
class DecayingMean {
 public:
  void Add(double sample,
           TimePoint now,
           Duration half_life = kObservationHalfLife) {
    const double factor = DecayFactor(now - m_updated_at, half_life);
    m_sum = static_cast<float>((m_sum * factor) + sample);
    m_weight = static_cast<float>((m_weight * factor) + 1);
    m_updated_at = now;
  }

  /// @returns the mean, or `fallback` before the first sample.
  double Get(double fallback = 0) const {
    return m_weight > 0 ? m_sum / m_weight : fallback;
  }

  /// @returns the weight of the samples, in units of one new sample.
  double Weight(TimePoint now,
                Duration half_life = kObservationHalfLife) const {
    return m_weight == 0
               ? 0
               : m_weight * DecayFactor(now - m_updated_at, half_life);
  }

  /// @returns the mean, moved towards `prior` as the samples age.
  /// @param prior_weight number of new samples that the prior counts as.
  double Blend(double prior, double prior_weight, TimePoint now) const {
    const double weight = Weight(now);
    return ((Get() * weight) + (prior * prior_weight)) /
           (weight + prior_weight);
  }

 private:
  // The sum and the weight decay at the same rate, so that Get() does not
  // depend on the time.
  float m_sum = 0;
  float m_weight = 0;
  TimePoint m_updated_at;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_DECAYING_MEAN_H_
