// Whether a configuration is in force everywhere.
#ifndef BRAMLEYBANK_SRC_CONFIG_CONFIRMATIONS_H_
#define BRAMLEYBANK_SRC_CONFIG_CONFIRMATIONS_H_

#include <cstdint>
#include <vector>

#include "member_info.h"

namespace bramleybank {

class MemberTable;

/// State of one configuration number among the members.
struct ConfigConfirmations {
  uint64_t number = 0;
  /// Every live member has this number or a higher one in force.
  bool in_force = false;
  /// Live members that have not confirmed it.
  std::vector<MemberInfo> waiting;
  /// Members that are dead here. They may run on a side that is cut off, with
  /// the configuration that they had.
  std::vector<MemberInfo> unreachable;

  friend bool operator==(const ConfigConfirmations&,
                         const ConfigConfirmations&) = default;
};

ConfigConfirmations CheckConfirmations(const MemberTable& table,
                                       uint64_t number);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_CONFIRMATIONS_H_
