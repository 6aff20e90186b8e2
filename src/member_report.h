// Log lines, metrics and status report of the membership for operators.
#ifndef BRAMLEYBANK_SRC_MEMBER_REPORT_H_
#define BRAMLEYBANK_SRC_MEMBER_REPORT_H_

#include <string>

namespace bramleybank {

class MemberProtocol;
class MetricRegistry;
struct MemberInfo;

/// Writes one log line for a change of a member. Can be used as
/// MemberHooks::on_member.
void LogMemberChange(const MemberInfo& member);

/// Sets the membership gauges. Call it before metrics are rendered.
void SetMemberMetrics(const MemberProtocol& protocol, MetricRegistry* metrics);

/// @returns the membership part of /status as a JSON object: the members, the
/// active notices, and the members that have not confirmed the highest known
/// configuration number.
std::string FormatMemberStatus(const MemberProtocol& protocol);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_REPORT_H_
