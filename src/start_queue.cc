// Limits, deadlines and order of the waiting requests.
#include "start_queue.h"

#include <algorithm>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// A request waits for at most 1/3 of its caller's timeout. A caller gives up on
// a gateway that has not answered by then.
constexpr int kClientTimeoutDivisor = 3;

}  // namespace

StartQueue::StartQueue(TimePoint started_at)
    : m_closes_at(started_at + kMaxStartWait) {}

bool StartQueue::Add(const WaitingRequest& request, TimePoint now) {
  if (now >= m_closes_at || m_requests.size() >= kMaxStartWaiters ||
      m_bytes + request.bytes > kMaxStartWaitBytes) {
    return false;
  }
  TimePoint expires_at = m_closes_at;
  if (request.client_timeout) {
    expires_at = std::min(
        expires_at, now + *request.client_timeout / kClientTimeoutDivisor);
  }
  m_bytes += request.bytes;
  m_requests.emplace(request.number,
                     Entry{.request = request, .expires_at = expires_at});
  return true;
}

void StartQueue::Erase(std::map<uint64_t, Entry>::iterator it) {
  m_bytes -= it->second.request.bytes;
  m_requests.erase(it);
}

void StartQueue::Remove(uint64_t number) {
  const auto it = m_requests.find(number);
  if (it != m_requests.end()) {
    Erase(it);
  }
}

std::vector<uint64_t> StartQueue::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (auto it = m_requests.begin(); it != m_requests.end();) {
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
    for (const auto& [number, entry] : m_requests) {
      if (entry.request.resumes == resumes) {
        numbers.push_back(number);
      }
    }
  }
  m_requests.clear();
  m_bytes = 0;
  return numbers;
}

}  // namespace bramleybank
