// Compares orders by content across eras, and by number within an era.
#include "rollout_order_history.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

bool HasSameContent(const RolloutOrder& a, const RolloutOrder& b) {
  return a.service == b.service && a.version == b.version &&
         a.duration == b.duration;
}

template <typename Item>
void DropOldest(std::vector<Item>* orders) {
  if (orders->size() > kMaxFormerRolloutOrders) {
    orders->erase(
        orders->begin(),
        orders->end() - static_cast<std::ptrdiff_t>(kMaxFormerRolloutOrders));
  }
}

}  // namespace

RolloutOrderHistory::RolloutOrderHistory(RolloutOrder order)
    : m_order(std::move(order)) {}

RolloutOrderHistory::Relation RolloutOrderHistory::RelationOf(
    const RolloutOrder& row) const {
  if (row.id == m_order.id || row.id.era < m_order.id.era) {
    return Relation::kKnown;
  }
  if (row.id.era == m_order.id.era) {
    return Relation::kNew;
  }
  const bool is_same = HasSameContent(row, m_order);
  // An order of the same content as a former one is either that one or its
  // repeat, unless it may be a repeat of the present order.
  const bool is_former =
      std::ranges::any_of(m_former, [&](const RolloutOrder& former) {
        return HasSameContent(row, former) &&
               (!is_same || row.id.number == former.id.number);
      });
  if (is_former) {
    return Relation::kFormer;
  }
  return is_same ? Relation::kRepeated : Relation::kNew;
}

void RolloutOrderHistory::ContinueAs(const StoreVersion& id) {
  AddEarlier(std::exchange(m_order.id, id));
}

void RolloutOrderHistory::ReplaceBy(RolloutOrder order) {
  for (const StoreVersion& id : m_earlier) {
    m_former.push_back(m_order);
    m_former.back().id = id;
  }
  m_former.push_back(std::exchange(m_order, std::move(order)));
  DropOldest(&m_former);
  m_earlier.clear();
  m_is_earlier_known = false;
}

void RolloutOrderHistory::LearnFrom(const RolloutDecision& decision) {
  m_is_earlier_known |= decision.order.id == m_order.id;
  for (const StoreVersion& id : decision.earlier_ids) {
    AddEarlier(id);
  }
  AddEarlier(decision.order.id);
}

bool RolloutOrderHistory::IsEarlier(const StoreVersion& id) const {
  return std::ranges::find(m_earlier, id) != m_earlier.end();
}

void RolloutOrderHistory::AddEarlier(const StoreVersion& id) {
  if (id.era < m_order.id.era && !IsEarlier(id)) {
    m_earlier.push_back(id);
    DropOldest(&m_earlier);
  }
}

bool RolloutOrderHistory::Owns(const RolloutOrderRef& ref) const {
  if (ref.version.empty()) {
    return ref.id.number == m_order.id.number;
  }
  if (ref.version != m_order.version || ref.duration != m_order.duration) {
    return false;
  }
  if (ref.id.era == m_order.id.era) {
    return ref.id.number == m_order.id.number;
  }
  if (m_is_earlier_known && ref.id.era < m_order.id.era) {
    return IsEarlier(ref.id);
  }
  return std::ranges::none_of(m_former, [&](const RolloutOrder& former) {
    return HasSameContent(former, m_order) && former.id.number == ref.id.number;
  });
}

}  // namespace bramleybank
