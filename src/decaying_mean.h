// Sums and means that forget with a half-life, without a timer.
#ifndef BRAMLEYBANK_SRC_DECAYING_MEAN_H_
#define BRAMLEYBANK_SRC_DECAYING_MEAN_H_

#include <cmath>
#include <numbers>

#include "bramleybank/limits.h"
#include "hooks.h"

namespace bramleybank {

/// @returns the part of an observation that is left after `age`.
inline double DecayFactor(Duration age,
                          Duration half_life = kObservationHalfLife) {
  if (age <= Duration::zero()) {
    return 1;
  }
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

/// Sum of amounts, each halved every half-life.
class DecayingSum {
 public:
  void Add(double amount,
           TimePoint now,
           Duration half_life = kObservationHalfLife) {
    m_sum = static_cast<float>(Get(now, half_life) + amount);
    m_at = now;
  }

  double Get(TimePoint now, Duration half_life = kObservationHalfLife) const {
    return m_sum == 0 ? 0 : m_sum * DecayFactor(now - m_at, half_life);
  }

  /// @returns the amount per second that a steady inflow would have.
  double RatePerSecond(TimePoint now,
                       Duration half_life = kObservationHalfLife) const {
    return Get(now, half_life) * std::numbers::ln2 * 1e6 /
           static_cast<double>(half_life.count());
  }

 private:
  float m_sum = 0;
  TimePoint m_at;
};

/// Mean of samples, each with a weight that is halved every half-life.
class DecayingMean {
 public:
  void Add(double sample,
           TimePoint now,
           Duration half_life = kObservationHalfLife) {
    const double factor = DecayFactor(now - m_at, half_life);
    m_sum = static_cast<float>((m_sum * factor) + sample);
    m_weight = static_cast<float>((m_weight * factor) + 1);
    m_at = now;
  }

  /// @returns the mean, or `fallback` before the first sample.
  double Get(double fallback = 0) const {
    return m_weight > 0 ? m_sum / m_weight : fallback;
  }

  /// @returns how many fresh samples the mean is worth.
  double Weight(TimePoint now,
                Duration half_life = kObservationHalfLife) const {
    return m_weight == 0 ? 0 : m_weight * DecayFactor(now - m_at, half_life);
  }

  /// @returns the mean, drawn towards `prior` as the samples age.
  /// @param prior_weight samples that the prior counts for.
  double Blend(double prior, double prior_weight, TimePoint now) const {
    const double weight = Weight(now);
    return ((Get() * weight) + (prior * prior_weight)) /
           (weight + prior_weight);
  }

 private:
  // Both decay together, so that their quotient needs no time.
  float m_sum = 0;
  float m_weight = 0;
  TimePoint m_at;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_DECAYING_MEAN_H_
