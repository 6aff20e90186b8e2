// Comparison of the members' confirmed configuration numbers with one number.
#include "config_confirmations.h"

#include "member_table.h"

namespace bramleybank {

ConfigConfirmations CheckConfirmations(const MemberTable& table,
                                       uint64_t number) {
  ConfigConfirmations result{
      .number = number, .in_force = false, .waiting = {}, .unreachable = {}};
  for (const auto& [peer, row] : table.rows()) {
    if (row.info.state == MemberState::kDead) {
      result.unreachable.push_back(row.info);
    } else if (IsLive(row.info.state) && row.info.config_number < number) {
      result.waiting.push_back(row.info);
    }
  }
  result.in_force = result.waiting.empty();
  return result;
}

}  // namespace bramleybank
