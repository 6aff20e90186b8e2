// Identity of a rollout order over the eras of the store.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_ORDER_HISTORY_H_
#define BRAMLEYBANK_SRC_ROLLOUT_ORDER_HISTORY_H_

#include <cstdint>
#include <vector>

#include "rollout_order.h"
#include "store_version.h"

namespace bramleybank {

/// The order that a service's rollout follows, and those before it.
///
/// After the store was restored from an older copy, an order has another id:
/// that of the row with which its operator repeats it. Within one era, an
/// operator who writes an order again wants another rollout.
class RolloutOrderHistory {
 public:
  /// What an order row means for the rollout.
  enum class Relation : uint8_t {
    /// The row is known, or of an earlier era.
    kKnown,
    /// The order is in a restored store: it was repeated, or was never lost.
    kRepeated,
    /// A restored store has an earlier order of the service instead, whose
    /// successor was lost.
    kFormer,
    kNew,
  };

  explicit RolloutOrderHistory(RolloutOrder order);

  const RolloutOrder& order() const { return m_order; }
  Relation RelationOf(const RolloutOrder& row) const;
  /// The order has another id in a new era.
  void ContinueAs(const StoreVersion& id);
  /// Another order follows.
  void ReplaceBy(RolloutOrder order);
  /// Learns the order's ids of earlier eras from a decision of its own.
  void LearnFrom(const RolloutDecision& decision);
  const std::vector<StoreVersion>& earlier_ids() const { return m_earlier; }
  /// @returns whether a decision or report belongs to the order. Numbers are
  /// assigned again after a restore, so a number alone proves it only in a row
  /// of a release that writes nothing else.
  bool Owns(const RolloutOrderRef& ref) const;

 private:
  bool IsEarlier(const StoreVersion& id) const;
  void AddEarlier(const StoreVersion& id);

  RolloutOrder m_order;
  // Ids of the order in earlier eras; at most kMaxFormerRolloutOrders.
  std::vector<StoreVersion> m_earlier;
  // Whether m_earlier holds all of them. Until then, rows of earlier eras with
  // the order's content belong to it.
  bool m_is_earlier_known = false;
  // Earlier orders of the service, with all their ids; at most
  // kMaxFormerRolloutOrders.
  std::vector<RolloutOrder> m_former;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_ORDER_HISTORY_H_
