// Calculation of the local health score.
#include "member_health.h"

#include <algorithm>

namespace bramleybank {
namespace {

constexpr int kMaxScore = 3;

}  // namespace

void MemberHealth::OnProbeResult(bool answered) {
  m_answered[m_count++ % kWindow] = answered;
  if (answered) {
    m_score = std::max(m_score - 1, 0);
  } else if (MostProbesFail()) {
    m_score = std::min(m_score + 1, kMaxScore);
  }
}

void MemberHealth::OnLateTimer() {
  m_score = std::min(m_score + 1, kMaxScore);
}

void MemberHealth::OnPause() {
  m_score = kMaxScore;
  m_count = 0;
}

bool MemberHealth::MostProbesFail() const {
  // Fewer results do not tell the state of the group as a whole.
  constexpr size_t kMinResults = 3;
  const size_t result_count = std::min(m_count, kWindow);
  const auto end =
      m_answered.begin() + static_cast<std::ptrdiff_t>(result_count);
  const auto failed =
      static_cast<size_t>(std::count(m_answered.begin(), end, false));
  return result_count >= kMinResults && failed * 2 > result_count;
}

}  // namespace bramleybank
