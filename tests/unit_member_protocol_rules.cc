// Guards single rules of the membership protocol that a group would cover up,
// because another rule repairs what one of them misses.
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

/// One protocol that is fed with single datagrams.
struct Lone {
  Lone()
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
               const std::vector<MemberNews>& news,
               uint64_t cluster = 0,
               MemberMessageKind kind = MemberMessageKind::kGossip) {
    MemberMessageWriter writer(
        {.cluster = cluster, .kind = kind, .about = {}, .from = from}, {},
        kMaxMemberDatagramBytes);
    for (const MemberNews& item : news) {
      writer.Add(item);
    }
    protocol.Receive(writer.Finish());
  }

  /// Makes `count` members known.
  void Meet(int count) {
    for (int i = 0; i < count; ++i) {
      Receive(Other(Peer(i), MemberState::kAlive), {});
    }
  }
  static std::string Peer(int index) {
    return "10.0.1." + std::to_string(index) + ":1";
  }

  /// @returns the datagrams of some ticks.
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

  /// @returns how many datagrams tell `peer` that it is in `state`.
  int64_t Accusations(const std::string& peer, MemberState state, int ticks) {
    return std::ranges::count_if(Run(ticks), [&](const auto& sent) {
      return sent.first == peer &&
             std::ranges::any_of(
                 sent.second.members, [&](const MemberNews& news) {
                   return news.info.peer == peer && news.info.state == state;
                 });
    });
  }
  bool Accuses(const std::string& peer) {
    return Accusations(peer, MemberState::kDead, 3) > 0;
  }

  TimePoint now{std::chrono::hours(1)};
  uint64_t random = 0;
  MemberProtocol protocol;
};

TEST_CASE("a live member is told that another daemon takes it for dead") {
  Lone lone;
  const MemberInfo alive = Lone::Other("10.0.0.3:1", MemberState::kAlive);
  const MemberInfo dead = Lone::Other("10.0.0.3:1", MemberState::kDead);
  const MemberInfo from = Lone::Other("10.0.0.2:1", MemberState::kAlive);
  lone.Receive(from, {{alive, {}}});
  CHECK_FALSE(lone.Accuses(alive.peer));
  lone.Receive(from, {{dead, minutes(1)}});
  CHECK(lone.Accuses(alive.peer));
}

TEST_CASE("a member that others hold dead for long is probed next") {
  Lone lone;
  lone.Meet(40);
  const MemberInfo dead = Lone::Other(Lone::Peer(3), MemberState::kDead);
  lone.Receive(Lone::Other(Lone::Peer(4), MemberState::kAlive),
               {{dead, minutes(1)}});
  const auto sent = lone.Run(50);
  CHECK(std::ranges::any_of(sent, [&](const auto& datagram) {
    const MemberHeader& header = datagram.second.header;
    return datagram.first == dead.peer && header.sequence > 0 &&
           header.kind == MemberMessageKind::kPing;
  }));
}

TEST_CASE("a suspect gets no other news") {
  Lone lone;
  lone.Meet(40);
  const MemberInfo suspect = Lone::Other(Lone::Peer(3), MemberState::kSuspect);
  lone.Receive(Lone::Other(Lone::Peer(4), MemberState::kAlive),
               {{suspect, {}}});
  size_t datagrams = 0;
  for (const auto& [to, message] : lone.Run(100)) {
    if (to == suspect.peer && message.header.kind == MemberMessageKind::kPing) {
      ++datagrams;
      CHECK(message.members.size() == 1);
    }
  }
  CHECK(datagrams > 0);
}

TEST_CASE("a member that is dead here and sends news is told so") {
  Lone lone;
  const MemberInfo from = Lone::Other("10.0.0.2:1", MemberState::kAlive);
  const MemberInfo dead = Lone::Other("10.0.0.3:1", MemberState::kDead);
  lone.Receive(from, {{dead, {}}});
  lone.Run(180);
  lone.Receive(Lone::Other("10.0.0.3:1", MemberState::kAlive), {});
  CHECK(lone.Accuses(dead.peer));
}

TEST_CASE("a flood of pings is answered within the byte cap") {
  Lone lone;
  for (int i = 0; i < 1000; ++i) {
    lone.Receive(Lone::Other("10.0.0.2:1", MemberState::kAlive), {}, 0,
                 MemberMessageKind::kPing);
  }
  size_t bytes = 0;
  for (const MemberDatagram& datagram : lone.protocol.TakeOutput()) {
    bytes += datagram.bytes.size();
  }
  CHECK(bytes > 0);
  CHECK(bytes <= 2000);
  CHECK(lone.protocol.sent().suppressed > 900);
}

TEST_CASE("much news leaves bytes for answers") {
  Lone lone;
  lone.Meet(200);
  for (int i = 0; i < 5; ++i) {
    lone.Receive(Lone::Other(Lone::Peer(i), MemberState::kAlive), {}, 0,
                 MemberMessageKind::kPing);
  }
  CHECK(lone.protocol.TakeOutput().size() == 5);
  CHECK(lone.protocol.sent().suppressed == 0);
}

TEST_CASE("after a pause a suspect is asked again before it counts as dead") {
  Lone lone;
  const MemberInfo suspect = Lone::Other("10.0.0.3:1", MemberState::kSuspect);
  lone.Receive(Lone::Other("10.0.0.2:1", MemberState::kAlive), {{suspect, {}}});
  lone.Run(1);
  lone.now += minutes(2);
  CHECK(lone.Accusations(suspect.peer, MemberState::kSuspect, 10) > 0);
  CHECK(lone.protocol.table().Find(suspect.peer)->info.state ==
        MemberState::kSuspect);
  CHECK(lone.protocol.counters().deaths == 0);
}

TEST_CASE("who suspects a member keeps asking it") {
  Lone lone;
  lone.Meet(40);
  while (lone.protocol.counters().suspicions == 0) {
    lone.Run(1);
  }
  std::string suspect;
  for (const MemberRow* row : lone.protocol.table().Live()) {
    if (row->info.state == MemberState::kSuspect) {
      suspect = row->info.peer;
    }
  }
  // Others ask it in one of five seconds on average.
  CHECK(lone.Accusations(suspect, MemberState::kSuspect, 50) >= 5);
}

TEST_CASE("who asks to join gets all members") {
  Lone lone;
  lone.Meet(40);
  const MemberInfo joiner = Lone::Other("10.0.0.9:1", MemberState::kAlive);
  lone.Receive(joiner, {}, 0, MemberMessageKind::kJoin);
  std::set<std::string> told;
  for (const auto& [to, message] : lone.Run(30)) {
    for (const MemberNews& news : message.members) {
      if (to == joiner.peer) {
        told.insert(news.info.peer);
      }
    }
  }
  CHECK(told.size() == 42);
}

TEST_CASE("a status with foreign bytes in a name can be formatted") {
  Lone lone;
  MemberInfo from = Lone::Other("10.0.0.2:1", MemberState::kAlive);
  from.region = "\xff\xfe";
  lone.Receive(from, {});
  CHECK(FormatMemberStatus(lone.protocol).find("10.0.0.2:1") !=
        std::string::npos);
}

TEST_CASE("datagrams of another deployment are not heard") {
  Lone lone;
  lone.Receive(Lone::Other("10.0.0.2:1", MemberState::kAlive), {}, 5);
  CHECK(lone.protocol.counters().foreign == 1);
  CHECK(lone.protocol.table().rows().size() == 1);
}

}  // namespace
}  // namespace bramleybank
