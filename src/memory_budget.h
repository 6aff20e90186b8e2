// Decides how much memory a process may hold for others, who has to wait for
// more, and whose connection is closed when it runs out.
#ifndef BRAMLEYBANK_SRC_MEMORY_BUDGET_H_
#define BRAMLEYBANK_SRC_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "hooks.h"

namespace bramleybank {

/// One budget for all connections of a process. An owner is one connection; it
/// is counted with what it really holds, spare capacity of buffers included.
///
/// Owners that hold much may use kLargeOwnerShare of the budget together, so
/// that small requests are still read while large ones wait. An owner that gets
/// no more memory stops reading. If it is not served within kMinStall, the
/// owner with the largest product of held bytes and time without progress is
/// evicted, and further ones until the others can continue. Connections that
/// hold little, such as idle ones, are not evicted for others.
class MemoryBudget {
 public:
  using OwnerId = uint64_t;

  struct OwnerHooks {
    /// The owner may read again.
    std::function<void()> on_room;
    /// The owner must release what it holds, usually by closing its connection.
    std::function<void()> on_evicted;
    /// Called before an owner is selected: calls Record() and, if its peer has
    /// read or if the owner waits for this process, OnProgress().
    std::function<void()> refresh;
  };

  /// @param on_pressure an owner waits or the budget is exceeded; Check() is to
  /// be called soon and outside this call. May be null.
  MemoryBudget(size_t capacity,
               ClockHook clock,
               std::function<void()> on_pressure);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  OwnerId Open(OwnerHooks hooks);
  void Close(OwnerId owner);

  /// Asks for memory before it is allocated.
  /// @param bytes what the owner will hold in total.
  /// @returns false, leaving the owner's share unchanged, when it has to wait
  /// or to do without.
  bool Reserve(OwnerId owner, size_t bytes);
  /// The owner was refused `bytes` and does not continue before it gets them;
  /// on_room is called then.
  void Wait(OwnerId owner, size_t bytes);
  /// The owner continues, or ends, without the memory.
  void CancelWait(OwnerId owner);
  /// Sets what an owner holds, even if that exceeds the budget.
  void Record(OwnerId owner, size_t bytes);
  /// The owner's peer has sent or read something.
  void OnProgress(OwnerId owner);

  /// Asks for memory for the answer of an endpoint. Answers that hold little
  /// have a reserve of their own, so that they get through beside large ones.
  /// @param total what this answer holds then.
  bool ReserveAnswer(size_t bytes, size_t total);
  void ReleaseAnswer(size_t bytes);

  /// Evicts owners and lets others continue, as far as needed now.
  /// @returns whether it must be called again soon.
  bool Check();

  size_t capacity() const { return m_capacity; }
  size_t held_bytes() const { return m_held + m_answers; }
  uint64_t evictions() const { return m_evictions; }
  uint64_t waits() const { return m_waits; }

 private:
  struct Owner {
    OwnerHooks hooks;
    size_t held = 0;
    TimePoint progress_at;
    // What a waiting owner will hold in total.
    std::optional<size_t> wanted;
  };

  bool Fits(const Owner& owner, size_t bytes) const;
  /// @param min_stall owners with more recent progress are not selected.
  /// @param min_bytes nor are those that hold less.
  std::optional<OwnerId> SelectVictim(Duration min_stall,
                                      size_t min_bytes) const;
  void Evict(OwnerId owner);
  void WakeWaiters();
  bool HasWaiters() const;
  void ReportPressure();

  const size_t m_capacity;
  const ClockHook m_clock;
  const std::function<void()> m_on_pressure;
  // By id; ids increase, so that waiters are served in the order of arrival.
  std::map<OwnerId, Owner> m_owners;
  OwnerId m_next_owner = 1;
  // Invariant: the sum of `held` of all owners.
  size_t m_held = 0;
  size_t m_answers = 0;
  // An owner was refused memory since the last check.
  bool m_has_denied = false;
  uint64_t m_evictions = 0;
  uint64_t m_waits = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMORY_BUDGET_H_
