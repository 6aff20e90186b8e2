// The number of daemons that share a limit.
#ifndef BRAMLEYBANK_SRC_LIMIT_DIVISOR_H_
#define BRAMLEYBANK_SRC_LIMIT_DIVISOR_H_

#include <algorithm>
#include <deque>

#include "bramleybank/limits.h"
#include "hooks.h"

namespace bramleybank {

/// Number by which limits of the whole fleet are divided: the larger of the
/// live members and half of the largest membership of the last 10 minutes. A
/// daemon behind a network partition sees few members. Because of the half, all
/// sides of the partition together still admit at most twice the limit.
class LimitDivisor {
 public:
  explicit LimitDivisor(ClockHook now) : m_now(std::move(now)) {}

  /// @param live_members members known to be live, this daemon included.
  void OnMembers(int live_members) {
    const TimePoint now = m_now();
    if (!m_history.empty()) {
      m_history.back().until = now;
    }
    Expire(now);
    // A count that an equal or larger one follows cannot become the maximum
    // again, so the counts in the history decrease from front to back.
    while (!m_history.empty() && m_history.back().members <= live_members) {
      m_history.pop_back();
    }
    m_live_members = std::max(1, live_members);
    m_history.push_back({m_live_members, now});
  }

  /// @returns at least 1.
  int Get() {
    Expire(m_now());
    const int max_members =
        m_history.empty() ? m_live_members
                          : std::max(m_live_members, m_history.front().members);
    return std::max(m_live_members, (max_members + 1) / 2);
  }

 private:
  struct Entry {
    int members = 0;
    /// Time at which the count was replaced; unused in the last entry.
    TimePoint until;
  };

  void Expire(TimePoint now) {
    while (m_history.size() > 1 &&
           m_history.front().until + kMembershipWindow < now) {
      m_history.pop_front();
    }
  }

  ClockHook m_now;
  int m_live_members = 1;
  // Strictly decreasing counts, so never longer than the largest membership.
  std::deque<Entry> m_history;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LIMIT_DIVISOR_H_
