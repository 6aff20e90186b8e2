// Queue of updates to piggyback on datagrams.
#ifndef BRAMLEYBANK_SRC_MEMBER_GOSSIP_QUEUE_H_
#define BRAMLEYBANK_SRC_MEMBER_GOSSIP_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "member_notices.h"

namespace bramleybank {

/// Holds only the subjects of the updates. Their contents are read from the
/// tables when a datagram is built, so each transmission carries the latest
/// state of its subject.
class MemberGossipQueue {
 public:
  /// Address of a member or key of a notice.
  using Subject = std::variant<std::string, MemberNotices::Key>;

  /// Queues an update. Resets the transmission count of a subject that is
  /// queued already.
  void Add(const Subject& subject);
  void Remove(const Subject& subject);

  /// Passes subjects to `write`, least often sent first, until it returns
  /// false. Counts one transmission for each subject that was written.
  /// @param max_transmissions a subject is removed after this many.
  void Take(int max_transmissions,
            const std::function<bool(const Subject& subject)>& write);

  bool empty() const { return m_order.empty(); }
  size_t size() const { return m_order.size(); }

 private:
  // Number of transmissions so far, then order of arrival.
  using Rank = std::pair<int, uint64_t>;

  std::map<Rank, Subject> m_order;
  // Both maps hold the same subjects.
  std::map<Subject, Rank> m_ranks;
  uint64_t m_next = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_GOSSIP_QUEUE_H_
