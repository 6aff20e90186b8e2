// Decides on membership: a SWIM-like failure detector with gossip, without
// sockets or clocks of its own.
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

/// What this daemon tells the others about itself.
struct MemberOptions {
  /// "ip:port" of the peer port, TCP and UDP.
  std::string peer;
  /// Must grow with each start at one address, such as the time in ms.
  uint64_t start_number = 0;
  std::string region;
  std::string failure_domain;
  /// Tells deployments apart; datagrams of another one are dropped.
  uint64_t cluster = 0;
};

/// Calls out of the protocol; each may be empty. They run inside Receive(),
/// Tick() and the other methods that change state.
struct MemberHooks {
  /// A member is new, was replaced, or changed its state or incarnation.
  std::function<void(const MemberInfo& member)> on_member;
  std::function<void(const Notice& notice)> on_notice;
  /// A configuration number above the own one is known. `peer` has it in
  /// force; empty when only the number is known.
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

/// One member's part in the group. The caller passes datagrams in, calls
/// Tick() every kMemberTick and sends what TakeOutput() returns.
class MemberProtocol {
 public:
  MemberProtocol(const MemberOptions& options,
                 ClockHook clock,
                 RandomHook random);

  void SetHooks(MemberHooks hooks) { m_hooks = std::move(hooks); }

  /// Replaces the addresses that are asked to join when they are not known as
  /// live members. The own address is ignored.
  void SetSeeds(const std::vector<std::string>& peers);

  void Receive(std::string_view datagram);
  void Tick();
  std::vector<MemberDatagram> TakeOutput() { return m_sender.TakeOutput(); }

  /// Tells how late a timer of the event loop ran. A delay of more than
  /// kMemberPause counts as a pause of this process.
  void ReportTimerDelay(Duration delay);

  /// Tells the others that this daemon has a configuration in force.
  void ConfirmConfig(uint64_t number);

  /// Sets or withdraws a notice. @returns false when nothing changed or the
  /// set of notices is full.
  bool Publish(NoticeKind kind, const std::string& key, bool active);

  /// Tells some members that this daemon stops. Afterwards Receive() and
  /// Tick() do nothing.
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
  void MergeNews(const MemberNews& news, TimePoint now);
  void MergeOwnNews(const MemberInfo& news);
  void ApplyMerge(const std::string& peer, MemberMerge merge, bool was_gone);
  void MergeConfirmations(const MemberMessage& message);
  void Answer(const MemberHeader& header, TimePoint now);
  void OnAck(const MemberHeader& header, TimePoint now);

  void TickProbe(TimePoint now);
  void StartProbe(TimePoint now);
  /// Moves a member to the front of the round. Who has missed the news of a
  /// death finds out by itself, long before its round comes to that member.
  void ProbeNext(const std::string& peer);
  void SendIndirect(TimePoint now);
  void OnProbeFailed(TimePoint now);
  void TickSuspicions(TimePoint now);
  void TickGossip(TimePoint now);
  void TickContacts(TimePoint now);
  void TickAntiEntropy(TimePoint now);

  void Send(const std::string& to,
            MemberMessageKind kind,
            uint64_t sequence,
            const std::string& about,
            TimePoint now);
  void Announce(const std::string& peer);
  /// Queues a ping that tells a member in which state it is held here.
  /// @param claim news of another daemon that is told instead.
  void Accuse(const std::string& peer,
              const std::optional<MemberNews>& claim = std::nullopt);
  Duration SuspicionTime() const;
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
  TimePoint m_next_contact;
  TimePoint m_next_anti_entropy;

  MemberProbe m_probe;
  uint64_t m_next_sequence = 1;
  // Members still to be probed in this round, in random order.
  std::vector<std::string> m_round;
  MemberRelays m_relays;
  // Members that must be told that someone takes them for suspect or dead, with
  // the claim when it is not the state held here. At most kMaxAccused.
  std::map<std::string, std::optional<MemberNews>> m_accused;
  // Suspects that this daemon's own probe has found.
  std::set<std::string> m_own_suspects;
  std::vector<std::string> m_seeds;
};

inline constexpr Duration kMemberTick = std::chrono::milliseconds(100);
/// A process that did not run for this long has missed answers to its probes.
inline constexpr Duration kMemberPause = std::chrono::milliseconds(700);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_PROTOCOL_H_
