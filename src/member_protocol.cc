// Probing, suspicion, gossip and anti-entropy of the membership.
#include "member_protocol.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using enum MemberMessageKind;

constexpr size_t kIndirectProbes = 3;
constexpr Duration kGossipInterval = milliseconds(200);
constexpr Duration kAntiEntropyInterval = seconds(30);
constexpr Duration kReconnectInterval = seconds(5);
constexpr Duration kJoinInterval = seconds(1);
constexpr Duration kSuspicionCheckInterval = seconds(1);
// Within the timeout the suspicion must reach the suspect, and its refutation
// all other members. Both take a number of gossip rounds that grows with the
// logarithm of the group size.
constexpr Duration kBaseSuspicionTimeout = seconds(4);
constexpr double kSuspicionPerDoublingMs = 500;
constexpr Duration kLateTimerThreshold = milliseconds(200);
// Expected number of members that ping one suspect each second.
constexpr uint64_t kSuspectPingsPerSecond = 8;
constexpr size_t kJoinTargets = 3;
constexpr size_t kLeaveTargets = 8;
constexpr size_t kMaxRefutationRequests = 512;
constexpr int kRefutationRequestsPerTick = 2;

MemberInfo MakeSelfInfo(const MemberOptions& options) {
  assert(IsPeerAddress(options.peer));
  return {
      .peer = options.peer,
      .start_number = options.start_number,
      .region = options.region.substr(0, kMaxRegionNameBytes),
      .failure_domain = options.failure_domain.substr(0, kMaxRegionNameBytes)};
}

}  // namespace

MemberProtocol::MemberProtocol(const MemberOptions& options,
                               ClockHook clock,
                               RandomHook random)
    : m_clock(std::move(clock)),
      m_random(std::move(random)),
      m_cluster(options.cluster),
      m_table(MakeSelfInfo(options), m_clock()),
      m_sender(options.cluster, &m_table, &m_notices),
      m_last_tick(m_clock()) {
  const auto phase = [this](Duration interval) {
    return m_last_tick + Duration(static_cast<int64_t>(RandomBelow(
                             static_cast<uint64_t>(interval.count()))));
  };
  m_next_probe = phase(kProbePeriod);
  m_next_suspicion_check = phase(kSuspicionCheckInterval);
  m_next_gossip = phase(kGossipInterval);
  m_next_reconnect = m_last_tick;
  m_next_anti_entropy = phase(kAntiEntropyInterval);
}

void MemberProtocol::SetSeeds(const std::vector<std::string>& peers) {
  m_seeds.clear();
  for (const std::string& peer : peers) {
    if (m_seeds.size() < kMaxMembers && IsPeerAddress(peer) &&
        peer != m_table.self().peer) {
      m_seeds.push_back(peer);
    }
  }
}

void MemberProtocol::ReportTimerDelay(Duration delay) {
  if (delay > kMemberPauseThreshold) {
    OnPause(m_clock());
  } else if (delay > kLateTimerThreshold) {
    m_health.OnLateTimer();
  }
}

void MemberProtocol::CheckPause(TimePoint now) {
  if (now - m_last_tick > kMemberTick + kMemberPauseThreshold) {
    OnPause(now);
  }
}

void MemberProtocol::OnPause(TimePoint now) {
  // A late timer and a datagram that arrives late report the same pause; it is
  // counted once.
  const bool reported =
      m_counters.pauses > 0 && now - m_last_pause < kMemberPauseThreshold;
  if (reported) {
    return;
  }
  ++m_counters.pauses;
  m_last_pause = now;
  m_last_tick = now;
  m_health.OnPause();
  // Answers may have arrived while this process did not read the socket.
  m_probe.Cancel();
  m_next_probe = now;
  // Suspects are pinged again, with timeouts that are four times as long,
  // before any of them is declared dead.
  m_table.RestartSuspicions(now);
  for (const MemberRow* row : m_table.Live()) {
    if (row->info.state == MemberState::kSuspect) {
      RequestRefutation(row->info.peer);
    }
  }
}

// Received datagrams.

void MemberProtocol::Receive(std::string_view datagram) {
  if (m_left) {
    return;
  }
  const TimePoint now = m_clock();
  CheckPause(now);
  ++m_counters.received;
  MemberMessage message;
  switch (DecodeMemberMessage(datagram, &message)) {
    case MemberDecodeResult::kOk:
      break;
    case MemberDecodeResult::kMalformed:
      ++m_counters.malformed;
      return;
    case MemberDecodeResult::kTooNew:
      ++m_counters.too_new;
      return;
  }
  const MemberHeader& header = message.header;
  if (header.cluster != m_cluster || header.from.peer == m_table.self().peer) {
    ++m_counters.foreign;
    return;
  }
  MergeSender(header, now);
  for (const MemberUpdate& update : message.members) {
    MergeUpdate(update, now);
  }
  for (const NoticeUpdate& update : message.notices) {
    if (m_notices.Merge(update.notice, update.age, now)) {
      m_sender.QueueGossip(
          MemberNotices::Key{update.notice.kind, update.notice.key});
      if (m_hooks.on_notice) {
        m_hooks.on_notice(update.notice);
      }
    }
  }
  MergeConfirmations(message);
  HandleMessage(header, now);
}

void MemberProtocol::MergeSender(const MemberHeader& header, TimePoint now) {
  MergeUpdate({.info = header.from}, now);
  const MemberRow* row = m_table.Find(header.from.peer);
  const bool views_differ =
      row != nullptr && (row->info.start_number > header.from.start_number ||
                         row->info.state != header.from.state);
  // A ping is answered in any case, and that datagram tells the sender its
  // state in the local table.
  if (views_differ && header.kind != kPing) {
    RequestRefutation(header.from.peer);
  }
}

void MemberProtocol::MergeUpdate(const MemberUpdate& update, TimePoint now) {
  if (update.info.peer == m_table.self().peer) {
    MergeUpdateAboutSelf(update.info);
    return;
  }
  const MemberRow* row = m_table.Find(update.info.peer);
  const bool was_not_live = row != nullptr && !IsLive(row->info.state);
  const MemberMergeResult merge =
      m_table.Merge(update.info, update.age, SuspicionTimeout() / 2, now);
  if (merge.needs_refutation) {
    RequestRefutation(update.info.peer, update);
    ProbeNext(update.info.peer);
  }
  ApplyMerge(update.info.peer, merge, was_not_live);
}

void MemberProtocol::MergeUpdateAboutSelf(const MemberInfo& update) {
  const MemberInfo& self = m_table.self();
  if (update.start_number > self.start_number) {
    // An earlier process at this address had a higher start number, because the
    // clock that the numbers are taken from was set back.
    m_table.RaiseStartNumber(update.start_number);
    Announce(self.peer);
    return;
  }
  const bool reported_not_alive = update.state != MemberState::kAlive &&
                                  update.incarnation >= self.incarnation;
  if (update.start_number == self.start_number &&
      (reported_not_alive || update.incarnation > self.incarnation)) {
    m_table.Refute(update.incarnation);
    ++m_counters.refutations;
    Announce(self.peer);
  }
}

void MemberProtocol::ApplyMerge(const std::string& peer,
                                MemberMergeResult merge,
                                bool was_not_live) {
  if (merge.config_changed) {
    m_sender.QueueConfirmations();
  }
  if (!merge.changed) {
    return;
  }
  Announce(peer);
  const MemberState state = m_table.Find(peer)->info.state;
  if (state != MemberState::kSuspect) {
    m_own_suspects.erase(peer);
  }
  if (state == MemberState::kDead) {
    ++m_counters.deaths;
  }
  if (was_not_live && IsLive(state)) {
    // It may have been partitioned together with members that it knows and this
    // daemon does not.
    m_sender.StartSync(peer);
  }
}

void MemberProtocol::MergeConfirmations(const MemberMessage& message) {
  const ConfirmationUpdate& update = message.confirmations;
  if (update.number > 0 && m_table.MergeConfirmationBits(
                               update.number, update.live_hash, update.bits)) {
    m_sender.QueueConfirmations();
  }
  const MemberInfo& from = message.header.from;
  const uint64_t own = m_table.self().config_number;
  if (!m_hooks.on_higher_config) {
    return;
  }
  if (from.config_number > own) {
    m_hooks.on_higher_config(from.peer, from.config_number);
  } else if (update.number > own) {
    m_hooks.on_higher_config({}, update.number);
  }
}

void MemberProtocol::HandleMessage(const MemberHeader& header, TimePoint now) {
  const std::string& from = header.from.peer;
  switch (header.kind) {
    case kPing:
      Send(from, kAck, header.sequence, m_table.self().peer, now);
      return;
    case kAck:
      OnAck(header, now);
      return;
    case kPingRequest: {
      const uint64_t sequence = m_next_sequence++;
      const MemberRelay relay{from, header.sequence, header.target,
                              now + 2 * kProbePeriod};
      if (!header.target.empty() && m_relays.Add(sequence, relay)) {
        Send(header.target, kPing, sequence, {}, now);
      }
      return;
    }
    case kJoin:
      m_sender.StartSync(from);
      return;
    case kGossip:
      return;
  }
}

void MemberProtocol::OnAck(const MemberHeader& header, TimePoint now) {
  if (m_probe.OnAck(header.sequence, header.target)) {
    m_health.OnProbeResult(true);
  } else if (const auto relay =
                 m_relays.Take(header.sequence, header.from.peer)) {
    Send(relay->requester, kAck, relay->sequence, relay->target, now);
  }
}

// Periodic work.

void MemberProtocol::Tick() {
  if (m_left) {
    return;
  }
  const TimePoint now = m_clock();
  CheckPause(now);
  m_last_tick = now;
  TickProbe(now);
  TickSuspicions(now);
  TickGossip(now);
  TickReconnect(now);
  TickAntiEntropy(now);
}

void MemberProtocol::TickProbe(TimePoint now) {
  switch (m_probe.Advance(now, m_health.multiplier())) {
    case MemberProbe::Step::kWait:
      break;
    case MemberProbe::Step::kPingAndIndirect:
      SendIndirect(now);
      [[fallthrough]];
    case MemberProbe::Step::kPing:
      Send(m_probe.peer(), kPing, m_probe.sequence(), {}, now);
      break;
    case MemberProbe::Step::kFailed:
      OnProbeFailed(now);
      break;
  }
  if (!m_probe.is_active() && now >= m_next_probe) {
    StartProbe(now);
  }
}

void MemberProtocol::StartProbe(TimePoint now) {
  m_next_probe = now + kProbePeriod;
  while (true) {
    if (m_probe_round.empty()) {
      m_probe_round = RandomLive(kMaxMembers, {});
      if (m_probe_round.empty()) {
        return;
      }
    }
    const std::string peer = std::move(m_probe_round.back());
    m_probe_round.pop_back();
    const MemberRow* row = m_table.Find(peer);
    if (row != nullptr && IsLive(row->info.state)) {
      m_probe.Start(peer, m_next_sequence++, now);
      ++m_counters.probes;
      Send(peer, kPing, m_probe.sequence(), {}, now);
      return;
    }
  }
}

void MemberProtocol::ProbeNext(const std::string& peer) {
  std::erase(m_probe_round, peer);
  m_probe_round.push_back(peer);
}

void MemberProtocol::SendIndirect(TimePoint now) {
  for (const std::string& relay : RandomLive(kIndirectProbes, m_probe.peer())) {
    Send(relay, kPingRequest, m_probe.sequence(), m_probe.peer(), now);
  }
}

void MemberProtocol::OnProbeFailed(TimePoint now) {
  const std::string& peer = m_probe.peer();
  m_health.OnProbeResult(false);
  ++m_counters.probes_failed;
  if (m_table.DeclareSuspect(peer, now)) {
    ++m_counters.suspicions;
    m_own_suspects.insert(peer);
    Announce(peer);
    RequestRefutation(peer);
  }
}

void MemberProtocol::TickSuspicions(TimePoint now) {
  if (now < m_next_suspicion_check) {
    return;
  }
  m_next_suspicion_check = now + kSuspicionCheckInterval;
  m_table.Expire(now);
  m_notices.Expire(now);
  m_relays.Expire(now);
  const Duration limit = SuspicionTimeout() * m_health.multiplier();
  std::vector<std::string> dead;
  const auto& live = m_table.Live();
  for (const MemberRow* row : live) {
    if (row->info.state != MemberState::kSuspect) {
      continue;
    }
    if (now - row->since >= limit) {
      dead.push_back(row->info.peer);
    } else if (m_own_suspects.contains(row->info.peer) ||
               RandomBelow(live.size()) < kSuspectPingsPerSecond) {
      RequestRefutation(row->info.peer);
    }
  }
  for (const std::string& peer : dead) {
    m_table.DeclareDead(peer, now);
    m_own_suspects.erase(peer);
    ++m_counters.deaths;
    Announce(peer);
  }
}

void MemberProtocol::TickGossip(TimePoint now) {
  for (int i = 0;
       i < kRefutationRequestsPerTick && !m_refutation_requests.empty(); ++i) {
    // A random choice prevents many daemons from sending to the same members
    // first.
    const auto skip =
        static_cast<std::ptrdiff_t>(RandomBelow(m_refutation_requests.size()));
    const auto entry = m_refutation_requests.extract(
        std::next(m_refutation_requests.begin(), skip));
    m_sender.Send({.to = entry.key(),
                   .kind = kPing,
                   .sequence = 0,
                   .target = {},
                   .claim = entry.mapped()},
                  now);
  }
  if (now < m_next_gossip) {
    return;
  }
  m_next_gossip = now + kGossipInterval;
  if (!m_sender.has_pending_gossip()) {
    return;
  }
  for (const std::string& peer : RandomLive(1, {})) {
    Send(peer, kGossip, 0, {}, now);
  }
}

void MemberProtocol::TickReconnect(TimePoint now) {
  if (now < m_next_reconnect) {
    return;
  }
  const bool alone = m_table.Live().size() == 1;
  m_next_reconnect = now + (alone ? kJoinInterval : kReconnectInterval);
  std::vector<std::string> seeds;
  for (const std::string& seed : m_seeds) {
    const MemberRow* row = m_table.Find(seed);
    if (row == nullptr || !IsLive(row->info.state)) {
      seeds.push_back(seed);
    }
  }
  std::vector<std::string> dead;
  for (const auto& [peer, row] : m_table.rows()) {
    if (row.info.state == MemberState::kDead) {
      dead.push_back(peer);
    }
  }
  const size_t joins = alone ? kJoinTargets : 1;
  for (size_t i = 0; i < joins && !seeds.empty(); ++i) {
    const auto at = static_cast<std::ptrdiff_t>(RandomBelow(seeds.size()));
    Send(seeds[static_cast<size_t>(at)], kJoin, 0, {}, now);
    seeds.erase(seeds.begin() + at);
  }
  // Dead members are pinged at this interval too, so that the two sides of a
  // healed network partition find each other again.
  if (!dead.empty()) {
    Send(dead[RandomBelow(dead.size())], kPing, 0, {}, now);
  }
}

void MemberProtocol::TickAntiEntropy(TimePoint now) {
  if (now >= m_next_anti_entropy) {
    m_next_anti_entropy = now + kAntiEntropyInterval;
    for (const std::string& peer : RandomLive(1, {})) {
      m_sender.StartSync(peer);
    }
  }
  m_sender.ContinueSync(now);
}

// Calls from the owner.

void MemberProtocol::ConfirmConfig(uint64_t number) {
  if (number > m_table.self().config_number) {
    m_table.ConfirmConfig(number);
    m_sender.QueueConfirmations();
  }
}

bool MemberProtocol::Publish(NoticeKind kind,
                             const std::string& key,
                             bool active) {
  const auto notice = m_notices.Publish(kind, key, active, m_clock());
  if (!notice) {
    return false;
  }
  m_sender.QueueGossip(MemberNotices::Key{kind, key});
  if (m_hooks.on_notice) {
    m_hooks.on_notice(*notice);
  }
  return true;
}

void MemberProtocol::Leave() {
  const TimePoint now = m_clock();
  m_left = true;
  const std::vector<std::string> targets = RandomLive(kLeaveTargets, {});
  m_table.MarkSelfLeft(now);
  for (const std::string& peer : targets) {
    Send(peer, kGossip, 0, {}, now);
  }
}

// Helpers.

void MemberProtocol::Send(const std::string& to,
                          MemberMessageKind kind,
                          uint64_t sequence,
                          const std::string& target,
                          TimePoint now) {
  m_sender.Send({.to = to,
                 .kind = kind,
                 .sequence = sequence,
                 .target = target,
                 .claim = {}},
                now);
}

void MemberProtocol::Announce(const std::string& peer) {
  m_sender.QueueGossip(peer);
  if (m_hooks.on_member) {
    m_hooks.on_member(m_table.Find(peer)->info);
  }
}

void MemberProtocol::RequestRefutation(
    const std::string& peer,
    const std::optional<MemberUpdate>& claim) {
  if (m_refutation_requests.size() < kMaxRefutationRequests) {
    m_refutation_requests.insert_or_assign(peer, claim);
  }
}

Duration MemberProtocol::SuspicionTimeout() const {
  const auto members = static_cast<double>(m_table.Live().size());
  return kBaseSuspicionTimeout +
         milliseconds(std::lround(kSuspicionPerDoublingMs *
                                  std::log2(std::max(members, 1.0))));
}

uint64_t MemberProtocol::RandomBelow(uint64_t bound) {
  return m_random() % bound;
}

std::vector<std::string> MemberProtocol::RandomLive(size_t count,
                                                    const std::string& except) {
  std::vector<const MemberRow*> rows;
  for (const MemberRow* row : m_table.Live()) {
    if (row->info.peer != m_table.self().peer && row->info.peer != except) {
      rows.push_back(row);
    }
  }
  std::vector<std::string> picked;
  const size_t wanted = std::min(count, rows.size());
  for (size_t i = 0; i < wanted; ++i) {
    std::swap(rows[i], rows[i + RandomBelow(rows.size() - i)]);
    picked.push_back(rows[i]->info.peer);
  }
  return picked;
}

}  // namespace bramleybank
