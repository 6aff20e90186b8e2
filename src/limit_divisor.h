// The number of daemons that share a limit.
#ifndef BRAMLEYBANK_SRC_LIMIT_DIVISOR_H_
#define BRAMLEYBANK_SRC_LIMIT_DIVISOR_H_

#include <algorithm>
#include <deque>

#include "bramleybank/limits.h"
#include "hooks.h"

namespace bramleybank {

/// Divides limits of the whole fleet by the larger of the live members and
/// half of the greatest membership of the last 10 minutes. A daemon that is cut
/// off sees few members; with the half, the parts of a partition together still
/// admit at most twice the limit.
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
    // Smaller counts that end before a greater one can't be the maximum again,
    // so the history falls from the front to the back.
    while (!m_history.empty() && m_history.back().members <= live_members) {
      m_history.pop_back();
    }
    m_live = std::max(1, live_members);
    m_history.push_back({m_live, now});
  }

  /// @returns at least 1.
  int Get() {
    Expire(m_now());
    const int greatest = m_history.empty()
                             ? m_live
                             : std::max(m_live, m_history.front().members);
    return std::max(m_live, (greatest + 1) / 2);
  }

 private:
  struct Entry {
    int members = 0;
    /// When the count ended; of no meaning for the last entry.
    TimePoint until;
  };

  void Expire(TimePoint now) {
    while (m_history.size() > 1 &&
           m_history.front().until + kMembershipWindow < now) {
      m_history.pop_front();
    }
  }

  ClockHook m_now;
  int m_live = 1;
  // Strictly falling, so never longer than the greatest membership.
  std::deque<Entry> m_history;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LIMIT_DIVISOR_H_
