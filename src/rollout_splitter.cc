// Request shares and answer counts of one rollout.
#include "rollout_splitter.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// An answer is slow when it takes more than this many times the old version's
// average time.
constexpr int kSlowFactor = 3;
// Answers of the old version before their average time is used as the baseline.
constexpr int64_t kMinBaselineAnswers = 5;

}  // namespace

RolloutSplitter::RolloutSplitter(std::string version,
                                 RolloutShare share,
                                 RandomHook random)
    : m_version(std::move(version)),
      m_share(share),
      m_random(std::move(random)) {}

RolloutRule RolloutSplitter::RuleForRequest(std::string_view route,
                                            size_t gateway_count) {
  if (m_phase == RolloutPhase::kProbing && !m_is_stopped &&
      TakeProbeCredit(route, gateway_count)) {
    return {.kind = RolloutRule::Kind::kPreferred,
            .version = m_version,
            .endpoint_share = m_share.share};
  }
  return RuleForRetry();
}

bool RolloutSplitter::TakeProbeCredit(std::string_view route,
                                      size_t gateway_count) {
  auto it = m_credit.find(route);
  if (it == m_credit.end()) {
    // A random start value keeps the gateways from sending probes at the same
    // time.
    const double start = UniformFraction(m_random);
    const double extra =
        m_share.extra / static_cast<double>(std::max<size_t>(1, gateway_count));
    it = m_credit.emplace(std::string(route), start + extra).first;
  }
  it->second += m_share.share;
  if (it->second < 1) {
    return false;
  }
  it->second -= 1;
  return true;
}

RolloutRule RolloutSplitter::RuleForRetry() const {
  const bool is_new_preferred =
      !m_is_stopped && (m_phase == RolloutPhase::kShifting ||
                        m_phase == RolloutPhase::kCompleted);
  return {.kind = is_new_preferred ? RolloutRule::Kind::kPreferred
                                   : RolloutRule::Kind::kAllBut,
          .version = m_version,
          .endpoint_share = 1};
}

bool RolloutSplitter::IsSlow(std::string_view route, Duration time) const {
  const auto it = m_baseline_times.find(route);
  if (it == m_baseline_times.end() ||
      it->second.answers < kMinBaselineAnswers) {
    return false;
  }
  return time * it->second.answers > it->second.sum * kSlowFactor;
}

void RolloutSplitter::Observe(std::string_view route,
                              std::string_view version,
                              bool failed,
                              Duration time) {
  if (m_phase && IsFinal(*m_phase)) {
    return;
  }
  const bool is_new = version == m_version;
  const bool is_bad = failed || IsSlow(route, time);
  RouteTally& tally = m_own_evidence[std::string(route)];
  VersionTally& side = is_new ? tally.new_version : tally.old_version;
  ++(is_bad ? side.bad : side.good);
  if (!is_new && !failed) {
    BaselineTime& baseline = m_baseline_times[std::string(route)];
    ++baseline.answers;
    baseline.sum += time;
  }
}

RolloutEvidence RolloutSplitter::Evidence() const {
  RolloutEvidence evidence = m_base_evidence;
  AddEvidence(m_own_evidence, &evidence);
  return evidence;
}

void RolloutSplitter::RestoreEvidence(RolloutEvidence evidence) {
  m_base_evidence = std::move(evidence);
}

void RolloutSplitter::MergeEvidence(const RolloutEvidence& evidence) {
  AddEvidence(evidence, &m_base_evidence);
}

void RolloutSplitter::SetPhase(RolloutPhase phase) {
  if (m_phase && phase <= *m_phase) {
    return;
  }
  m_phase = phase;
  if (phase == RolloutPhase::kCompleted) {
    m_is_stopped = false;
  }
}

}  // namespace bramleybank
