// Target and delay of retried requests.
#include "load_gen_retry.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bramleybank {
namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);

}  // namespace

TargetRing::TargetRing(std::vector<std::string> targets)
    : m_targets(std::move(targets)) {
  assert(!m_targets.empty());
}

const std::string& TargetRing::Next() {
  const std::string& target = m_targets[m_next];
  m_next = (m_next + 1) % m_targets.size();
  return target;
}

const std::string& TargetRing::After(const std::string& failed) const {
  const auto it = std::ranges::find(m_targets, failed);
  assert(it != m_targets.end());
  const auto index = static_cast<size_t>(it - m_targets.begin());
  return m_targets[(index + 1) % m_targets.size()];
}

RetryBackoff::RetryBackoff(Duration limit, RandomHook random)
    : m_limit(limit), m_random(std::move(random)) {}

std::optional<Duration> RetryBackoff::NextDelay(TimePoint now) {
  if (!m_first_loss) {
    m_first_loss = now;
  }
  Duration delay{0};
  if (m_attempts > 0) {
    const Duration bound = std::min(
        kMaxBackoff, kFirstBackoff * (1 << std::min(m_attempts - 1, 10)));
    delay = Duration(static_cast<int64_t>(
        m_random() % (static_cast<uint64_t>(bound.count()) + 1)));
  }
  ++m_attempts;
  if (now + delay > *m_first_loss + m_limit) {
    return std::nullopt;
  }
  return delay;
}

void RetryBackoff::Reset() {
  m_first_loss.reset();
  m_attempts = 0;
}

}  // namespace bramleybank
