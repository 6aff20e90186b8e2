// Checks whether all members have put a configuration into force.
#ifndef BRAMLEYBANK_SRC_CONFIG_CONFIRMATIONS_H_
#define BRAMLEYBANK_SRC_CONFIG_CONFIRMATIONS_H_

#include <cstdint>
#include <vector>

#include "member_info.h"

namespace bramleybank {

class MemberTable;

/// Which members have confirmed a configuration number.
struct ConfigConfirmations {
  uint64_t number = 0;
  /// Every live member has this number or a higher one in force.
  bool in_force = false;
  /// Live members that have not confirmed this number yet.
  std::vector<MemberInfo> waiting;
  /// Members that this daemon considers dead. They may still run on the other
  /// side of a network partition, with their previous configuration.
  std::vector<MemberInfo> unreachable;

  friend bool operator==(const ConfigConfirmations&,
                         const ConfigConfirmations&) = default;
};

/// Compares the numbers that the members have confirmed with `number`.
ConfigConfirmations CheckConfirmations(const MemberTable& table,
                                       uint64_t number);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_CONFIRMATIONS_H_
