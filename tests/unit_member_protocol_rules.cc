// Tests single rules of the membership protocol with one member. A test with a
// group would not detect the failure of such a rule, because another rule
// repairs its effect.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "member_protocol.h"
#include "member_report.h"

namespace bramleybank {
namespace {

using std::chrono::minutes;

/// A single protocol to which the tests pass datagrams.
struct SingleMember {
  SingleMember()
      : protocol(
            {.peer = "10.0.0.1:1",
             .start_number = 1,
             .region = {},
             .failure_domain = {}},
            [this] { return now; },
            [this] { return random++; }) {}

  static MemberInfo Other(const std::string& peer, MemberState state) {
    return {.peer = peer,
            .start_number = 1,
            .region = {},
            .failure_domain = {},
            .state = state};
  }

  void Receive(const MemberInfo& from,
               const std::vector<MemberUpdate>& updates,
               uint64_t cluster = 0,
               MemberMessageKind kind = MemberMessageKind::kGossip) {
    MemberMessageWriter writer(
        {.cluster = cluster, .kind = kind, .target = {}, .from = from}, {},
        kMaxMemberDatagramBytes);
    for (const MemberUpdate& item : updates) {
      writer.Add(item);
    }
    protocol.Receive(writer.Finish());
  }

  /// Adds `count` alive members to the table.
  void AddMembers(int count) {
    for (int i = 0; i < count; ++i) {
      Receive(Other(Peer(i), MemberState::kAlive), {});
    }
  }
  static std::string Peer(int index) {
    return "10.0.1." + std::to_string(index) + ":1";
  }

  /// @returns the datagrams sent during `ticks` ticks.
  std::vector<std::pair<std::string, MemberMessage>> Run(int ticks) {
    std::vector<std::pair<std::string, MemberMessage>> sent;
    for (int i = 0; i < ticks; ++i) {
      now += kMemberTick;
      protocol.Tick();
      for (const MemberDatagram& datagram : protocol.TakeOutput()) {
        sent.emplace_back(datagram.to, MemberMessage{});
        DecodeMemberMessage(datagram.bytes, &sent.back().second);
      }
    }
    return sent;
  }

  /// @returns how many datagrams tell `peer` that its state is `state`.
  int64_t CountStateReports(const std::string& peer,
                            MemberState state,
                            int ticks) {
    return std::ranges::count_if(Run(ticks), [&](const auto& sent) {
      return sent.first == peer &&
             std::ranges::any_of(sent.second.members,
                                 [&](const MemberUpdate& update) {
                                   return update.info.peer == peer &&
                                          update.info.state == state;
                                 });
    });
  }
  bool ReportsDeath(const std::string& peer) {
    return CountStateReports(peer, MemberState::kDead, 3) > 0;
  }

  TimePoint now{std::chrono::hours(1)};
  uint64_t random = 0;
  MemberProtocol protocol;
};

TEST_CASE("a live member is told that another daemon considers it dead") {
  SingleMember member;
  const MemberInfo alive =
      SingleMember::Other("10.0.0.3:1", MemberState::kAlive);
  const MemberInfo dead = SingleMember::Other("10.0.0.3:1", MemberState::kDead);
  const MemberInfo from =
      SingleMember::Other("10.0.0.2:1", MemberState::kAlive);
  member.Receive(from, {{alive, {}}});
  CHECK_FALSE(member.ReportsDeath(alive.peer));
  member.Receive(from, {{dead, minutes(1)}});
  CHECK(member.ReportsDeath(alive.peer));
}

TEST_CASE("a member that others have considered dead for long is probed next") {
  SingleMember member;
  member.AddMembers(40);
  const MemberInfo dead =
      SingleMember::Other(SingleMember::Peer(3), MemberState::kDead);
  member.Receive(
      SingleMember::Other(SingleMember::Peer(4), MemberState::kAlive),
      {{dead, minutes(1)}});
  const auto sent = member.Run(50);
  CHECK(std::ranges::any_of(sent, [&](const auto& datagram) {
    const MemberHeader& header = datagram.second.header;
    return datagram.first == dead.peer && header.sequence > 0 &&
           header.kind == MemberMessageKind::kPing;
  }));
}

TEST_CASE("a suspect gets only the update about itself") {
  SingleMember member;
  member.AddMembers(40);
  const MemberInfo suspect =
      SingleMember::Other(SingleMember::Peer(3), MemberState::kSuspect);
  member.Receive(
      SingleMember::Other(SingleMember::Peer(4), MemberState::kAlive),
      {{suspect, {}}});
  size_t datagrams = 0;
  for (const auto& [to, message] : member.Run(100)) {
    if (to == suspect.peer && message.header.kind == MemberMessageKind::kPing) {
      ++datagrams;
      CHECK(message.members.size() == 1);
    }
  }
  CHECK(datagrams > 0);
}

TEST_CASE(
    "a member that is dead in the table and sends a datagram is told so") {
  SingleMember member;
  const MemberInfo from =
      SingleMember::Other("10.0.0.2:1", MemberState::kAlive);
  const MemberInfo dead = SingleMember::Other("10.0.0.3:1", MemberState::kDead);
  member.Receive(from, {{dead, {}}});
  member.Run(180);
  member.Receive(SingleMember::Other("10.0.0.3:1", MemberState::kAlive), {});
  CHECK(member.ReportsDeath(dead.peer));
}

TEST_CASE("a flood of pings is answered within the byte cap") {
  SingleMember member;
  for (int i = 0; i < 1000; ++i) {
    member.Receive(SingleMember::Other("10.0.0.2:1", MemberState::kAlive), {},
                   0, MemberMessageKind::kPing);
  }
  size_t bytes = 0;
  for (const MemberDatagram& datagram : member.protocol.TakeOutput()) {
    bytes += datagram.bytes.size();
  }
  CHECK(bytes > 0);
  CHECK(bytes <= 2000);
  CHECK(member.protocol.sent().suppressed > 900);
}

TEST_CASE("many queued updates leave part of the byte budget to answers") {
  SingleMember member;
  member.AddMembers(200);
  for (int i = 0; i < 5; ++i) {
    member.Receive(
        SingleMember::Other(SingleMember::Peer(i), MemberState::kAlive), {}, 0,
        MemberMessageKind::kPing);
  }
  CHECK(member.protocol.TakeOutput().size() == 5);
  CHECK(member.protocol.sent().suppressed == 0);
}

TEST_CASE(
    "after a pause a suspect is pinged again before it is declared dead") {
  SingleMember member;
  const MemberInfo suspect =
      SingleMember::Other("10.0.0.3:1", MemberState::kSuspect);
  member.Receive(SingleMember::Other("10.0.0.2:1", MemberState::kAlive),
                 {{suspect, {}}});
  member.Run(1);
  member.now += minutes(2);
  CHECK(member.CountStateReports(suspect.peer, MemberState::kSuspect, 10) > 0);
  CHECK(member.protocol.table().Find(suspect.peer)->info.state ==
        MemberState::kSuspect);
  CHECK(member.protocol.counters().deaths == 0);
}

TEST_CASE("a daemon whose probe failed keeps pinging the suspect") {
  SingleMember member;
  member.AddMembers(40);
  while (member.protocol.counters().suspicions == 0) {
    member.Run(1);
  }
  std::string suspect;
  for (const MemberRow* row : member.protocol.table().Live()) {
    if (row->info.state == MemberState::kSuspect) {
      suspect = row->info.peer;
    }
  }
  // Other daemons would ping it in one of five seconds on average.
  CHECK(member.CountStateReports(suspect, MemberState::kSuspect, 50) >= 5);
}

TEST_CASE("a member that asks to join gets all members") {
  SingleMember member;
  member.AddMembers(40);
  const MemberInfo joiner =
      SingleMember::Other("10.0.0.9:1", MemberState::kAlive);
  member.Receive(joiner, {}, 0, MemberMessageKind::kJoin);
  std::set<std::string> told;
  for (const auto& [to, message] : member.Run(30)) {
    for (const MemberUpdate& update : message.members) {
      if (to == joiner.peer) {
        told.insert(update.info.peer);
      }
    }
  }
  CHECK(told.size() == 42);
}

TEST_CASE("a status with invalid UTF-8 in a name can be formatted") {
  SingleMember member;
  MemberInfo from = SingleMember::Other("10.0.0.2:1", MemberState::kAlive);
  from.region = "\xff\xfe";
  member.Receive(from, {});
  CHECK(FormatMemberStatus(member.protocol).find("10.0.0.2:1") !=
        std::string::npos);
}

TEST_CASE("datagrams of another deployment are dropped") {
  SingleMember member;
  member.Receive(SingleMember::Other("10.0.0.2:1", MemberState::kAlive), {}, 5);
  CHECK(member.protocol.counters().foreign == 1);
  CHECK(member.protocol.table().rows().size() == 1);
}

}  // namespace
}  // namespace bramleybank
