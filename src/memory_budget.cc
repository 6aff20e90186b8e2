// Accounts of all owners. Nothing here allocates or frees what they hold.
#include "memory_budget.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {

MemoryBudget::MemoryBudget(size_t capacity,
                           ClockHook clock,
                           std::function<void()> on_pressure)
    : m_capacity(capacity),
      m_clock(std::move(clock)),
      m_on_pressure(std::move(on_pressure)) {}

MemoryBudget::OwnerId MemoryBudget::Open(OwnerHooks hooks) {
  const OwnerId id = m_next_owner++;
  m_owners[id] = {.hooks = std::move(hooks), .progress_at = m_clock()};
  return id;
}

void MemoryBudget::Close(OwnerId owner) {
  const auto it = m_owners.find(owner);
  if (it != m_owners.end()) {
    m_held -= it->second.held;
    m_owners.erase(it);
  }
}

bool MemoryBudget::Fits(const Owner& owner, size_t bytes) const {
  if (bytes <= owner.held) {
    return true;
  }
  const size_t total = held_bytes() - owner.held + bytes;
  const auto large_limit =
      static_cast<size_t>(kLargeOwnerShare * static_cast<double>(m_capacity));
  return total <= (bytes <= kMaxSmallOwnerBytes ? m_capacity : large_limit);
}

bool MemoryBudget::Reserve(OwnerId owner, size_t bytes) {
  Owner& account = m_owners.at(owner);
  if (!Fits(account, bytes)) {
    m_has_denied = true;
    ReportPressure();
    return false;
  }
  m_held += bytes - account.held;
  account.held = bytes;
  return true;
}

void MemoryBudget::CancelWait(OwnerId owner) {
  m_owners.at(owner).wanted.reset();
}

void MemoryBudget::Wait(OwnerId owner, size_t bytes) {
  Owner& account = m_owners.at(owner);
  if (!std::exchange(account.wanted, bytes)) {
    ++m_waits;
  }
}

void MemoryBudget::Record(OwnerId owner, size_t bytes) {
  Owner& account = m_owners.at(owner);
  const bool grows = bytes > account.held;
  m_held += bytes - account.held;
  account.held = bytes;
  if (grows && held_bytes() > m_capacity) {
    ReportPressure();
  }
}

void MemoryBudget::OnProgress(OwnerId owner) {
  m_owners.at(owner).progress_at = m_clock();
}

bool MemoryBudget::ReserveAnswer(size_t bytes, size_t total) {
  // A single answer of the largest size is accepted on small VMs too.
  size_t limit = std::max(m_capacity / 2, kMaxWholeAnswerBytes);
  if (total <= kMaxSmallAnswerBytes) {
    limit += m_capacity / kSmallAnswerDivisor;
  }
  if (m_answers + bytes > limit) {
    return false;
  }
  m_answers += bytes;
  if (held_bytes() > m_capacity) {
    ReportPressure();
  }
  return true;
}

void MemoryBudget::ReleaseAnswer(size_t bytes) {
  m_answers -= bytes;
}

bool MemoryBudget::Check() {
  std::vector<OwnerId> ids;
  for (const auto& [id, owner] : m_owners) {
    if (owner.held > 0) {
      ids.push_back(id);
    }
  }
  for (const OwnerId id : ids) {
    const auto it = m_owners.find(id);
    if (it != m_owners.end() && it->second.hooks.refresh) {
      const auto refresh = it->second.hooks.refresh;
      refresh();
    }
  }
  // Evictions do not help while answers alone exceed the capacity.
  while (held_bytes() > m_capacity && m_answers < m_capacity) {
    const auto victim =
        SelectVictim(kMinStallWhenFull, kMinEvictedBytesWhenFull);
    if (!victim) {
      break;
    }
    Evict(*victim);
  }
  WakeWaiters();
  const bool has_denied = std::exchange(m_has_denied, false);
  if (has_denied || HasWaiters()) {
    if (const auto victim = SelectVictim(kMinStall, kMinEvictedBytes)) {
      Evict(*victim);
      WakeWaiters();
    }
  }
  return HasWaiters() || held_bytes() > m_capacity;
}

std::optional<MemoryBudget::OwnerId> MemoryBudget::SelectVictim(
    Duration min_stall,
    size_t min_bytes) const {
  std::optional<OwnerId> victim;
  double largest = 0;
  const TimePoint now = m_clock();
  for (const auto& [id, owner] : m_owners) {
    const Duration stall = now - owner.progress_at;
    const double weight =
        static_cast<double>(owner.held) * static_cast<double>(stall.count());
    if (stall >= min_stall && owner.held >= min_bytes && weight > largest) {
      largest = weight;
      victim = id;
    }
  }
  return victim;
}

void MemoryBudget::Evict(OwnerId owner) {
  Owner& account = m_owners.at(owner);
  ++m_evictions;
  // The account is empty from now on, even if the connection still delivers a
  // refusal, so that the owner is not selected twice.
  m_held -= std::exchange(account.held, 0);
  account.wanted.reset();
  const auto on_evicted = account.hooks.on_evicted;
  if (on_evicted) {
    on_evicted();
  }
}

void MemoryBudget::WakeWaiters() {
  std::vector<OwnerId> waiters;
  for (const auto& [id, owner] : m_owners) {
    if (owner.wanted) {
      waiters.push_back(id);
    }
  }
  for (const OwnerId id : waiters) {
    const auto it = m_owners.find(id);
    if (it == m_owners.end() || !it->second.wanted ||
        !Fits(it->second, *it->second.wanted)) {
      continue;
    }
    // The memory is reserved now, so that it does not go to several waiters.
    const size_t wanted = *std::exchange(it->second.wanted, std::nullopt);
    Reserve(id, std::max(wanted, it->second.held));
    it->second.progress_at = m_clock();
    const auto on_room = it->second.hooks.on_room;
    if (on_room) {
      on_room();
    }
  }
}

bool MemoryBudget::HasWaiters() const {
  return std::any_of(m_owners.begin(), m_owners.end(), [](const auto& entry) {
    return entry.second.wanted.has_value();
  });
}

void MemoryBudget::ReportPressure() {
  if (m_on_pressure) {
    m_on_pressure();
  }
}

}  // namespace bramleybank
