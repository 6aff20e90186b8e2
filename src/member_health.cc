// Score of the local health.
#include "member_health.h"

#include <algorithm>

namespace bramleybank {
namespace {

constexpr int kMaxScore = 3;

}  // namespace

void MemberHealth::OnProbe(bool answered) {
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
  // Fewer results say nothing about the group as a whole.
  constexpr size_t kLeast = 3;
  const size_t known = std::min(m_count, kWindow);
  const auto end = m_answered.begin() + static_cast<std::ptrdiff_t>(known);
  const auto failed =
      static_cast<size_t>(std::count(m_answered.begin(), end, false));
  return known >= kLeast && failed * 2 > known;
}

}  // namespace bramleybank
