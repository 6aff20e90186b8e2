// Tests the merge rules. Guards against stale updates that restore a dead
// member or undo a stop.
#include <doctest/doctest.h>

#include "bramleybank/limits.h"
#include "member_notices.h"
#include "member_table.h"

namespace bramleybank {
namespace {

using std::chrono::seconds;
using enum MemberState;

constexpr Duration kNoAge{0};
constexpr Duration kMinSuspicion = seconds(2);
constexpr TimePoint kStart{std::chrono::hours(10)};

MemberInfo Member(MemberState state, uint64_t incarnation, uint64_t start = 5) {
  return {.peer = "10.0.0.2:7103",
          .start_number = start,
          .region = "r",
          .failure_domain = "d",
          .state = state,
          .incarnation = incarnation};
}

MemberTable NewTable() {
  return MemberTable({.peer = "10.0.0.1:7103",
                      .start_number = 1,
                      .region = {},
                      .failure_domain = {}},
                     kStart);
}

TEST_CASE("state after each pair of updates about one member") {
  struct Row {
    MemberInfo first;
    MemberInfo second;
    MemberState state;
    uint64_t incarnation;
  };
  const Row rows[] = {
      {Member(kSuspect, 1), Member(kAlive, 1), kSuspect, 1},
      {Member(kSuspect, 1), Member(kAlive, 2), kAlive, 2},
      {Member(kAlive, 2), Member(kSuspect, 1), kAlive, 2},
      {Member(kAlive, 2), Member(kSuspect, 2), kSuspect, 2},
      {Member(kDead, 2), Member(kAlive, 2), kDead, 2},
      {Member(kDead, 2), Member(kSuspect, 2), kDead, 2},
      {Member(kDead, 2), Member(kAlive, 3), kAlive, 3},
      {Member(kLeft, 2), Member(kAlive, 9), kLeft, 2},
      {Member(kDead, 2), Member(kAlive, 0, 6), kAlive, 0},
      {Member(kAlive, 2), Member(kDead, 9, 4), kAlive, 2},
      {Member(kLeft, 2), Member(kAlive, 0, 6), kAlive, 0},
  };
  for (const Row& row : rows) {
    MemberTable table = NewTable();
    table.Merge(row.first, kNoAge, kMinSuspicion, kStart);
    table.Merge(row.second, kNoAge, kMinSuspicion, kStart);
    const MemberInfo& info = table.Find("10.0.0.2:7103")->info;
    CAPTURE(&row - rows);
    CHECK(info.state == row.state);
    CHECK(info.incarnation == row.incarnation);
  }
}

TEST_CASE(
    "a reported death is accepted only after a minimum time of suspicion") {
  MemberTable table = NewTable();
  table.Merge(Member(kAlive, 1), kNoAge, kMinSuspicion, kStart);
  CHECK(table.Merge(Member(kDead, 1), kNoAge, kMinSuspicion, kStart)
            .needs_refutation);
  CHECK(table.Find("10.0.0.2:7103")->info.state == kSuspect);
  table.Merge(Member(kDead, 1), kNoAge, kMinSuspicion, kStart + seconds(1));
  CHECK(table.Find("10.0.0.2:7103")->info.state == kSuspect);
  table.Merge(Member(kDead, 1), kNoAge, kMinSuspicion, kStart + seconds(2));
  CHECK(table.Find("10.0.0.2:7103")->info.state == kDead);
}

TEST_CASE(
    "a report of an old death leaves a live member alive but must be refuted") {
  MemberTable table = NewTable();
  table.Merge(Member(kAlive, 1), kNoAge, kMinSuspicion, kStart);
  CHECK(table.Merge(Member(kDead, 1), seconds(20), kMinSuspicion, kStart) ==
        MemberMergeResult{.changed = false,
                          .config_changed = false,
                          .needs_refutation = true});
  CHECK(table.Find("10.0.0.2:7103")->info.state == kAlive);
}

TEST_CASE("dead members are kept for the retention, counted from their death") {
  MemberTable table = NewTable();
  const Duration age = std::chrono::minutes(50);
  table.Merge(Member(kDead, 1), age, kMinSuspicion, kStart);
  table.Expire(kStart + std::chrono::minutes(9));
  CHECK(table.Find("10.0.0.2:7103") != nullptr);
  table.Expire(kStart + std::chrono::minutes(11));
  CHECK(table.Find("10.0.0.2:7103") == nullptr);
  table.Merge(Member(kDead, 1), kDeadMemberRetention, kMinSuspicion, kStart);
  CHECK(table.Find("10.0.0.2:7103") == nullptr);
}

TEST_CASE("a full table evicts dead members and no live ones") {
  MemberTable table = NewTable();
  table.Merge(Member(kDead, 1), kNoAge, kMinSuspicion, kStart);
  MemberInfo info = Member(kAlive, 0);
  for (size_t i = 0; i < kMaxMembers + 10; ++i) {
    info.peer = "10.1." + std::to_string(i / 200) + "." +
                std::to_string(i % 200) + ":7103";
    table.Merge(info, kNoAge, kMinSuspicion, kStart);
  }
  CHECK(table.rows().size() == kMaxMembers);
  CHECK(table.Live().size() == kMaxMembers);
  CHECK(table.Find("10.0.0.2:7103") == nullptr);
  CHECK(table.dropped_when_full() == 11);
}

TEST_CASE("confirmation bits count only for the same members") {
  MemberTable one = NewTable();
  MemberTable two = NewTable();
  one.Merge(Member(kAlive, 1), kNoAge, kMinSuspicion, kStart);
  two.Merge(Member(kAlive, 1, 6), kNoAge, kMinSuspicion, kStart);
  MemberInfo confirmed = Member(kAlive, 1);
  confirmed.config_number = 9;
  one.Merge(confirmed, kNoAge, kMinSuspicion, kStart);
  CHECK_FALSE(
      two.MergeConfirmationBits(9, one.LiveHash(), one.ConfirmationBits(9)));
  MemberTable three = NewTable();
  three.Merge(Member(kAlive, 1), kNoAge, kMinSuspicion, kStart);
  CHECK(
      three.MergeConfirmationBits(9, one.LiveHash(), one.ConfirmationBits(9)));
  CHECK(three.Find("10.0.0.2:7103")->info.config_number == 9);
  CHECK(three.highest_config() == 9);
}

TEST_CASE("an older update does not undo a stop") {
  MemberNotices notices;
  const auto kind = NoticeKind::kVersionStopped;
  const Notice stop{.kind = kind, .key = "m/v2", .version = 3, .active = true};
  Notice release = stop;
  release.active = false;
  CHECK(notices.Merge(release, kNoAge, kStart));
  CHECK(notices.Merge(stop, kNoAge, kStart));
  CHECK_FALSE(notices.Merge(release, kNoAge, kStart));
  release.version = 2;
  CHECK_FALSE(notices.Merge(release, kNoAge, kStart));
  CHECK(notices.IsActive(kind, "m/v2"));
  CHECK(notices.Publish(kind, "m/v2", false, kStart)->version == 4);
  CHECK_FALSE(notices.Merge(stop, kNoAge, kStart));
  CHECK_FALSE(notices.IsActive(kind, "m/v2"));
}

TEST_CASE("the set of notices is bounded and keeps active ones") {
  MemberNotices notices;
  const auto kind = NoticeKind::kEndpointLeaving;
  notices.Merge({.kind = kind, .key = "gone", .version = 1, .active = false},
                kNoAge, kStart);
  for (size_t i = 0; i < kMaxNotices; ++i) {
    CHECK(notices.Publish(kind, std::to_string(i), true, kStart));
  }
  CHECK_FALSE(notices.Publish(kind, "one more", true, kStart));
  CHECK(notices.rows().size() == kMaxNotices);
}

}  // namespace
}  // namespace bramleybank
