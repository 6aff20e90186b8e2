// Bounds and order of requests that wait for the first configuration.
#include "start_queue.h"

#include <algorithm>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// A caller gives up on a gateway that has not answered in this part of its
// time.
constexpr int kPatienceParts = 3;

}  // namespace

StartQueue::StartQueue(TimePoint started_at)
    : m_closes_at(started_at + kMaxStartWait) {}

bool StartQueue::Add(const StartWaiter& waiter, TimePoint now) {
  if (now >= m_closes_at || m_waiters.size() >= kMaxStartWaiters ||
      m_bytes + waiter.bytes > kMaxStartWaitBytes) {
    return false;
  }
  TimePoint expires_at = m_closes_at;
  if (waiter.patience) {
    expires_at = std::min(expires_at, now + *waiter.patience / kPatienceParts);
  }
  m_bytes += waiter.bytes;
  m_waiters.emplace(waiter.number,
                    Entry{.waiter = waiter, .expires_at = expires_at});
  return true;
}

void StartQueue::Erase(std::map<uint64_t, Entry>::iterator it) {
  m_bytes -= it->second.waiter.bytes;
  m_waiters.erase(it);
}

void StartQueue::Remove(uint64_t number) {
  const auto it = m_waiters.find(number);
  if (it != m_waiters.end()) {
    Erase(it);
  }
}

std::vector<uint64_t> StartQueue::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (auto it = m_waiters.begin(); it != m_waiters.end();) {
    const auto current = it++;
    if (now >= current->second.expires_at) {
      expired.push_back(current->first);
      Erase(current);
    }
  }
  return expired;
}

std::vector<uint64_t> StartQueue::TakeAll() {
  std::vector<uint64_t> numbers;
  for (const bool resumes : {true, false}) {
    for (const auto& [number, entry] : m_waiters) {
      if (entry.waiter.resumes == resumes) {
        numbers.push_back(number);
      }
    }
  }
  m_waiters.clear();
  m_bytes = 0;
  return numbers;
}

}  // namespace bramleybank
