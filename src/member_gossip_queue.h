// News that waits to be piggybacked on datagrams.
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

/// Names what the news is about; the text is made from the tables when it is
/// sent, so newer news about the same subject replaces older news by itself.
class MemberGossipQueue {
 public:
  /// Address of a member, or key of a notice.
  using Subject = std::variant<std::string, MemberNotices::Key>;

  /// Adds news, or starts its transmissions anew.
  void Add(const Subject& subject);
  void Remove(const Subject& subject);

  /// Offers the news that was sent least often, until `write` returns false.
  /// Counts a transmission for each subject that was written.
  /// @param max_transmissions news is dropped after this many.
  void Take(int max_transmissions,
            const std::function<bool(const Subject& subject)>& write);

  bool empty() const { return m_order.empty(); }
  size_t size() const { return m_order.size(); }

 private:
  // Transmissions so far, then order of arrival.
  using Rank = std::pair<int, uint64_t>;

  std::map<Rank, Subject> m_order;
  // Both maps hold the same subjects.
  std::map<Subject, Rank> m_ranks;
  uint64_t m_next = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_GOSSIP_QUEUE_H_
