// Guards the merge rules: old news never brings a member or a stop back.
#include <doctest/doctest.h>

#include "bramleybank/limits.h"
#include "member_notices.h"
#include "member_table.h"

namespace bramleybank {
namespace {

using std::chrono::seconds;
using enum MemberState;

constexpr Duration kNoAge{0};
constexpr Duration kHalf = seconds(2);
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

TEST_CASE("state after each pair of news about one member") {
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
    table.Merge(row.first, kNoAge, kHalf, kStart);
    table.Merge(row.second, kNoAge, kHalf, kStart);
    const MemberInfo& info = table.Find("10.0.0.2:7103")->info;
    CAPTURE(&row - rows);
    CHECK(info.state == row.state);
    CHECK(info.incarnation == row.incarnation);
  }
}

TEST_CASE("hearsay of a death kills only a member suspect for a while") {
  MemberTable table = NewTable();
  table.Merge(Member(kAlive, 1), kNoAge, kHalf, kStart);
  CHECK(table.Merge(Member(kDead, 1), kNoAge, kHalf, kStart).accused);
  CHECK(table.Find("10.0.0.2:7103")->info.state == kSuspect);
  table.Merge(Member(kDead, 1), kNoAge, kHalf, kStart + seconds(1));
  CHECK(table.Find("10.0.0.2:7103")->info.state == kSuspect);
  table.Merge(Member(kDead, 1), kNoAge, kHalf, kStart + seconds(2));
  CHECK(table.Find("10.0.0.2:7103")->info.state == kDead);
}

TEST_CASE("an old death does not touch a live member but accuses it") {
  MemberTable table = NewTable();
  table.Merge(Member(kAlive, 1), kNoAge, kHalf, kStart);
  CHECK(
      table.Merge(Member(kDead, 1), seconds(20), kHalf, kStart) ==
      MemberMerge{.changed = false, .config_changed = false, .accused = true});
  CHECK(table.Find("10.0.0.2:7103")->info.state == kAlive);
}

TEST_CASE("dead members are kept for the retention, wherever they died") {
  MemberTable table = NewTable();
  const Duration age = std::chrono::minutes(50);
  table.Merge(Member(kDead, 1), age, kHalf, kStart);
  table.Expire(kStart + std::chrono::minutes(9));
  CHECK(table.Find("10.0.0.2:7103") != nullptr);
  table.Expire(kStart + std::chrono::minutes(11));
  CHECK(table.Find("10.0.0.2:7103") == nullptr);
  table.Merge(Member(kDead, 1), kDeadMemberRetention, kHalf, kStart);
  CHECK(table.Find("10.0.0.2:7103") == nullptr);
}

TEST_CASE("a full table gives up dead members and no live ones") {
  MemberTable table = NewTable();
  table.Merge(Member(kDead, 1), kNoAge, kHalf, kStart);
  MemberInfo info = Member(kAlive, 0);
  for (size_t i = 0; i < kMaxMembers + 10; ++i) {
    info.peer = "10.1." + std::to_string(i / 200) + "." +
                std::to_string(i % 200) + ":7103";
    table.Merge(info, kNoAge, kHalf, kStart);
  }
  CHECK(table.rows().size() == kMaxMembers);
  CHECK(table.Live().size() == kMaxMembers);
  CHECK(table.Find("10.0.0.2:7103") == nullptr);
  CHECK(table.dropped_when_full() == 11);
}

TEST_CASE("confirmation bits count only for the same members") {
  MemberTable one = NewTable();
  MemberTable two = NewTable();
  one.Merge(Member(kAlive, 1), kNoAge, kHalf, kStart);
  two.Merge(Member(kAlive, 1, 6), kNoAge, kHalf, kStart);
  MemberInfo confirmed = Member(kAlive, 1);
  confirmed.config_number = 9;
  one.Merge(confirmed, kNoAge, kHalf, kStart);
  CHECK_FALSE(
      two.MergeConfirmationBits(9, one.LiveHash(), one.ConfirmationBits(9)));
  MemberTable three = NewTable();
  three.Merge(Member(kAlive, 1), kNoAge, kHalf, kStart);
  CHECK(
      three.MergeConfirmationBits(9, one.LiveHash(), one.ConfirmationBits(9)));
  CHECK(three.Find("10.0.0.2:7103")->info.config_number == 9);
  CHECK(three.highest_config() == 9);
}

TEST_CASE("older news does not undo a stop") {
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
