// Membership protocol: a SWIM-like failure detector with gossip. It uses no
// sockets and reads the time from a hook.
#ifndef BRAMLEYBANK_SRC_MEMBER_PROTOCOL_H_
#define BRAMLEYBANK_SRC_MEMBER_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"
#include "member_health.h"
#include "member_message.h"
#include "member_notices.h"
#include "member_probe.h"
#include "member_relays.h"
#include "member_sender.h"
#include "member_table.h"

namespace bramleybank {

/// What this daemon reports about itself to the other members.
struct MemberOptions {
  /// "ip:port" of the peer port, TCP and UDP.
  std::string peer;
  /// Must increase with each start at the same address, for example the start
  /// time in ms.
  uint64_t start_number = 0;
  std::string region;
  std::string failure_domain;
  /// Identifies the deployment; datagrams of other deployments are dropped.
  uint64_t cluster = 0;
};

/// Callbacks of the protocol; each may be empty. They run inside Receive(),
/// Tick() and the other methods that change state.
struct MemberHooks {
  /// A member is new, was replaced or changed its state or incarnation.
  std::function<void(const MemberInfo& member)> on_member;
  std::function<void(const Notice& notice)> on_notice;
  /// A configuration number above that of this daemon is known. `peer` is a
  /// member at which it is in force; empty when only the number is known.
  std::function<void(const std::string& peer, uint64_t number)>
      on_higher_config;
};

struct MemberCounters {
  uint64_t received = 0;
  uint64_t malformed = 0;
  uint64_t too_new = 0;
  uint64_t foreign = 0;
  uint64_t probes = 0;
  uint64_t probes_failed = 0;
  uint64_t suspicions = 0;
  uint64_t deaths = 0;
  uint64_t refutations = 0;
  uint64_t pauses = 0;
};

/// The protocol of one member. The owner passes received datagrams to
/// Receive(), calls Tick() every kMemberTick and sends the datagrams that
/// TakeOutput() returns.
class MemberProtocol {
 public:
  MemberProtocol(const MemberOptions& options,
                 ClockHook clock,
                 RandomHook random);

  void SetHooks(MemberHooks hooks) { m_hooks = std::move(hooks); }

  /// Replaces the seeds: addresses to which join requests are sent while they
  /// are not known as live members. The address of this daemon is ignored.
  void SetSeeds(const std::vector<std::string>& peers);

  void Receive(std::string_view datagram);
  void Tick();
  std::vector<MemberDatagram> TakeOutput() { return m_sender.TakeOutput(); }

  /// Reports how late a timer of the event loop ran. A delay of more than
  /// kMemberPauseThreshold counts as a pause of this process.
  void ReportTimerDelay(Duration delay);

  /// Records and gossips that a configuration is in force at this daemon.
  void ConfirmConfig(uint64_t number);

  /// Sets or withdraws a notice. @returns false when nothing changed or the
  /// set of notices is full.
  bool Publish(NoticeKind kind, const std::string& key, bool active);

  /// Queues datagrams that tell some members that this daemon stops. Afterwards
  /// Receive() and Tick() do nothing.
  void Leave();

  const MemberTable& table() const { return m_table; }
  const MemberNotices& notices() const { return m_notices; }
  const MemberCounters& counters() const { return m_counters; }
  const MemberSender::Counters& sent() const { return m_sender.counters(); }
  int health_multiplier() const { return m_health.multiplier(); }

 private:
  void CheckPause(TimePoint now);
  void OnPause(TimePoint now);

  void MergeSender(const MemberHeader& header, TimePoint now);
  void MergeUpdate(const MemberUpdate& update, TimePoint now);
  void MergeUpdateAboutSelf(const MemberInfo& update);
  void ApplyMerge(const std::string& peer,
                  MemberMergeResult merge,
                  bool was_not_live);
  void MergeConfirmations(const MemberMessage& message);
  void HandleMessage(const MemberHeader& header, TimePoint now);
  void OnAck(const MemberHeader& header, TimePoint now);

  void TickProbe(TimePoint now);
  void StartProbe(TimePoint now);
  /// Makes a member the next one to be probed. A daemon that missed the gossip
  /// about a death thus detects it by its own probe, long before the member's
  /// turn in the probe round.
  void ProbeNext(const std::string& peer);
  void SendIndirect(TimePoint now);
  void OnProbeFailed(TimePoint now);
  void TickSuspicions(TimePoint now);
  void TickGossip(TimePoint now);
  void TickReconnect(TimePoint now);
  void TickAntiEntropy(TimePoint now);

  void Send(const std::string& to,
            MemberMessageKind kind,
            uint64_t sequence,
            const std::string& target,
            TimePoint now);
  /// Queues gossip about a member that changed and calls
  /// MemberHooks::on_member.
  void Announce(const std::string& peer);
  /// Queues a ping that tells a member its state in the local table, so that it
  /// can refute a suspicion.
  /// @param claim update of another daemon that is sent instead of the local
  /// state.
  void RequestRefutation(
      const std::string& peer,
      const std::optional<MemberUpdate>& claim = std::nullopt);
  Duration SuspicionTimeout() const;
  uint64_t RandomBelow(uint64_t bound);
  std::vector<std::string> RandomLive(size_t count, const std::string& except);

  ClockHook m_clock;
  RandomHook m_random;
  MemberHooks m_hooks;
  uint64_t m_cluster;
  MemberTable m_table;
  MemberNotices m_notices;
  MemberSender m_sender;
  MemberHealth m_health;
  MemberCounters m_counters;

  bool m_left = false;
  TimePoint m_last_tick;
  TimePoint m_last_pause;
  TimePoint m_next_probe;
  TimePoint m_next_suspicion_check;
  TimePoint m_next_gossip;
  TimePoint m_next_reconnect;
  TimePoint m_next_anti_entropy;

  MemberProbe m_probe;
  uint64_t m_next_sequence = 1;
  // Members that remain to be probed in this round, in random order. The last
  // one is probed next.
  std::vector<std::string> m_probe_round;
  MemberRelays m_relays;
  // Members that must be told that they are considered suspect or dead. The
  // value is the claim of another daemon; empty when the state in the local
  // table is sent. At most kMaxRefutationRequests entries.
  std::map<std::string, std::optional<MemberUpdate>> m_refutation_requests;
  // Members that became suspect through a failed probe of this daemon.
  std::set<std::string> m_own_suspects;
  std::vector<std::string> m_seeds;
};

inline constexpr Duration kMemberTick = std::chrono::milliseconds(100);
/// A process that did not run for this long has missed answers to its probes.
inline constexpr Duration kMemberPauseThreshold =
    std::chrono::milliseconds(700);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_PROTOCOL_H_
