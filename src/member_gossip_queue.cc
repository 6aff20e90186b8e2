// Ordering of piggybacked updates: least often sent first.
#include "member_gossip_queue.h"

#include <vector>

namespace bramleybank {

void MemberGossipQueue::Add(const Subject& subject) {
  Remove(subject);
  const Rank rank{0, m_next++};
  m_order.emplace(rank, subject);
  m_ranks.emplace(subject, rank);
}

void MemberGossipQueue::Remove(const Subject& subject) {
  const auto it = m_ranks.find(subject);
  if (it != m_ranks.end()) {
    m_order.erase(it->second);
    m_ranks.erase(it);
  }
}

void MemberGossipQueue::Take(
    int max_transmissions,
    const std::function<bool(const Subject& subject)>& write) {
  std::vector<Rank> written;
  for (const auto& [rank, subject] : m_order) {
    if (!write(subject)) {
      break;
    }
    written.push_back(rank);
  }
  for (const Rank& rank : written) {
    auto node = m_order.extract(rank);
    const auto entry = m_ranks.find(node.mapped());
    if (rank.first + 1 >= max_transmissions) {
      m_ranks.erase(entry);
      continue;
    }
    node.key().first = rank.first + 1;
    entry->second = node.key();
    m_order.insert(std::move(node));
  }
}

}  // namespace bramleybank
