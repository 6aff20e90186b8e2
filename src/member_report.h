// What operators see of the membership: log lines, metrics and status.
#ifndef BRAMLEYBANK_SRC_MEMBER_REPORT_H_
#define BRAMLEYBANK_SRC_MEMBER_REPORT_H_

#include <string>

namespace bramleybank {

class MemberProtocol;
class MetricRegistry;
struct MemberInfo;

/// Writes one log line for a change of a member. Fits MemberHooks::on_member.
void LogMemberChange(const MemberInfo& member);

/// Sets the gauges of the membership; call it before metrics are rendered.
void SetMemberMetrics(const MemberProtocol& protocol, MetricRegistry* metrics);

/// @returns the part of /status on members, as a JSON object: the members, the
/// notices in force, and which members have not confirmed the highest known
/// configuration number.
std::string FormatMemberStatus(const MemberProtocol& protocol);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_REPORT_H_
