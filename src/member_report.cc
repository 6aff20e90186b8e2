// Log lines, metrics and JSON status of the membership.
#include "member_report.h"

#include <array>
#include <nlohmann/json.hpp>
#include <vector>

#include "config_confirmations.h"
#include "log_event.h"
#include "member_protocol.h"
#include "metric_registry.h"

namespace bramleybank {
namespace {

using nlohmann::json;

/// Name and log event of a state; kStates is in the order of MemberState.
struct StateInfo {
  const char* name;
  LogEventId event;
};
constexpr std::array<StateInfo, 4> kStates{{
    {"alive", LogEventId::kMemberAlive},
    {"suspect", LogEventId::kMemberSuspect},
    {"dead", LogEventId::kMemberDead},
    {"left", LogEventId::kMemberLeft},
}};

const StateInfo& StateInfoOf(const MemberInfo& member) {
  return kStates.at(static_cast<size_t>(member.state));
}

json PeerAddressesOf(const std::vector<MemberInfo>& members) {
  json peers = json::array();
  for (const MemberInfo& member : members) {
    peers.push_back(member.peer);
  }
  return peers;
}

}  // namespace

void LogMemberChange(const MemberInfo& member) {
  LogLine(StateInfoOf(member).event)
      .Field("peer", member.peer)
      .Field("start_number", static_cast<long long>(member.start_number))
      .Field("incarnation", static_cast<long long>(member.incarnation))
      .Field("failure_domain", member.failure_domain);
}

void SetMemberMetrics(const MemberProtocol& protocol, MetricRegistry* metrics) {
  std::array<double, kStates.size()> counts{};
  for (const auto& [peer, row] : protocol.table().rows()) {
    counts.at(static_cast<size_t>(row.info.state)) += 1;
  }
  for (size_t i = 0; i < kStates.size(); ++i) {
    metrics->SetGauge(std::string("bramleybank_members_") + kStates.at(i).name,
                      counts.at(i));
  }
  const auto set = [&](const char* name, uint64_t value) {
    metrics->SetGauge(std::string("bramleybank_member_") + name,
                      static_cast<double>(value));
  };
  const MemberCounters& counters = protocol.counters();
  set("sent_bytes", protocol.sent().bytes);
  set("sent_datagrams", protocol.sent().datagrams);
  set("suppressed_datagrams", protocol.sent().suppressed);
  set("received_datagrams", counters.received);
  set("malformed_datagrams", counters.malformed);
  set("too_new_datagrams", counters.too_new);
  set("foreign_datagrams", counters.foreign);
  set("probes", counters.probes);
  set("probes_failed", counters.probes_failed);
  set("suspicions", counters.suspicions);
  set("deaths", counters.deaths);
  set("refutations", counters.refutations);
  set("pauses", counters.pauses);
  set("table_full_drops", protocol.table().dropped_when_full());
  set("timeout_multiplier",
      static_cast<uint64_t>(protocol.health_multiplier()));
}

std::string FormatMemberStatus(const MemberProtocol& protocol) {
  const MemberTable& table = protocol.table();
  json status = {{"self", table.self().peer},
                 {"live", table.Live().size()},
                 {"timeout_multiplier", protocol.health_multiplier()},
                 {"members", json::array()},
                 {"notices", json::array()}};
  for (const auto& [peer, row] : table.rows()) {
    const MemberInfo& info = row.info;
    status["members"].push_back({{"peer", peer},
                                 {"start_number", info.start_number},
                                 {"region", info.region},
                                 {"failure_domain", info.failure_domain},
                                 {"state", StateInfoOf(info).name},
                                 {"incarnation", info.incarnation},
                                 {"config_number", info.config_number}});
  }
  for (const auto& [key, row] : protocol.notices().rows()) {
    if (row.notice.active) {
      const bool leaving = key.first == NoticeKind::kEndpointLeaving;
      status["notices"].push_back(
          {{"kind", leaving ? "endpoint_leaving" : "version_stopped"},
           {"key", key.second}});
    }
  }
  const ConfigConfirmations confirmations =
      CheckConfirmations(table, table.highest_config());
  status["configuration"] = {
      {"number", confirmations.number},
      {"in_force_everywhere", confirmations.in_force},
      {"waiting_for", PeerAddressesOf(confirmations.waiting)},
      {"unreachable", PeerAddressesOf(confirmations.unreachable)}};
  // Names are received from other processes and may be invalid UTF-8, for which
  // dump() would throw without the replacing error handler.
  return status.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace bramleybank
