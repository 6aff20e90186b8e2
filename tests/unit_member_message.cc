// Guards against membership datagrams that lose fields in encoding, that newer
// or older releases cannot read, or that break the decoder when they are
// malformed.
#include <doctest/doctest.h>

#include <random>

#include "bramleybank/limits.h"
#include "member_message.h"

namespace bramleybank {
namespace {

const MemberInfo kMember{.peer = "10.0.0.1:7103",
                         .start_number = 1764800000000,
                         .region = "north",
                         .failure_domain = "north-1",
                         .state = MemberState::kSuspect,
                         .incarnation = 4,
                         .config_number = 70000};
const MemberHeader kHeader{.format_version = 1,
                           .lowest_reader = 1,
                           .cluster = 77,
                           .kind = MemberMessageKind::kPingRequest,
                           .sequence = 12,
                           .target = "10.0.0.9:7103",
                           .from = kMember};

TEST_CASE("a datagram is unchanged after encoding and decoding") {
  const ConfirmationUpdate confirmations{
      .number = 70000, .live_hash = 5, .bits = std::string("\x07\x00", 2)};
  const MemberUpdate member{kMember, std::chrono::seconds(3)};
  const NoticeUpdate notice{{.kind = NoticeKind::kVersionStopped,
                             .key = "m/v2",
                             .version = 2,
                             .active = false},
                            std::chrono::seconds(8)};
  MemberMessageWriter writer(kHeader, confirmations, kMaxMemberDatagramBytes);
  REQUIRE(writer.Add(member));
  REQUIRE(writer.Add(notice));
  MemberMessage read;
  REQUIRE(DecodeMemberMessage(writer.Finish(), &read) ==
          MemberDecodeResult::kOk);
  CHECK(read == MemberMessage{kHeader, {member}, {notice}, confirmations});
}

TEST_CASE("a writer stops at the size limit") {
  MemberMessageWriter writer(kHeader, {}, 400);
  int added = 0;
  while (writer.Add(MemberUpdate{kMember, {}})) {
    ++added;
  }
  CHECK(added > 1);
  CHECK(writer.Finish().size() <= 400);
}

TEST_CASE("a datagram above the size limit is malformed") {
  MemberMessageWriter writer(kHeader, {}, 2 * kMaxMemberDatagramBytes);
  while (writer.Add(MemberUpdate{kMember, {}})) {
  }
  MemberMessage read;
  CHECK(DecodeMemberMessage(writer.Finish(), &read) ==
        MemberDecodeResult::kMalformed);
}

// A datagram as a later release may send it: with additional fields in each
// array, and with a member state and kinds that this release does not know.
std::string LaterDatagram(uint32_t lowest_reader) {
  msgpack::sbuffer out;
  msgpack::packer<msgpack::sbuffer> packer(out);
  const auto pack_member = [&](const std::string& peer, int state) {
    packer.pack_array(10);
    packer.pack(peer);
    packer.pack(7);
    packer.pack("north");
    packer.pack("north-1");
    packer.pack(state);
    packer.pack(0);
    packer.pack(0);
    packer.pack(0);
    packer.pack(std::map<std::string, int>{{"cores", 4}});
    packer.pack("later");
  };
  packer.pack_array(12);
  packer.pack(2);
  packer.pack(lowest_reader);
  packer.pack(77);
  packer.pack(40);
  packer.pack(1);
  packer.pack("");
  pack_member("10.0.0.1:7103", 0);
  packer.pack_array(2);
  pack_member("10.0.0.2:7103", 9);
  pack_member("10.0.0.3:7103", 0);
  packer.pack_array(1);
  packer.pack_array(6);
  packer.pack(31);
  packer.pack("key");
  packer.pack(1);
  packer.pack(true);
  packer.pack(0);
  packer.pack("later");
  packer.pack_nil();
  packer.pack("later");
  packer.pack(std::vector<int>{1, 2});
  return {out.data(), out.size()};
}

TEST_CASE("a datagram of a later release is read without its new fields") {
  MemberMessage read;
  REQUIRE(DecodeMemberMessage(LaterDatagram(1), &read) ==
          MemberDecodeResult::kOk);
  CHECK(read.header.kind == MemberMessageKind::kGossip);
  CHECK(read.header.from.peer == "10.0.0.1:7103");
  REQUIRE(read.members.size() == 1);
  CHECK(read.members[0].info.peer == "10.0.0.3:7103");
  CHECK(read.notices.empty());
  CHECK(DecodeMemberMessage(LaterDatagram(2), &read) ==
        MemberDecodeResult::kTooNew);
}

TEST_CASE("a datagram of an earlier release lacks trailing fields") {
  msgpack::sbuffer out;
  msgpack::packer<msgpack::sbuffer> packer(out);
  packer.pack_array(7);
  for (const int field : {1, 1, 77, 0, 5}) {
    packer.pack(field);
  }
  packer.pack("");
  packer.pack_array(2);
  packer.pack("10.0.0.1:7103");
  packer.pack(3);
  MemberMessage read;
  CHECK(DecodeMemberMessage({out.data(), out.size()}, &read) ==
        MemberDecodeResult::kOk);
  CHECK(read.header.from.start_number == 3);
}

TEST_CASE("corrupted and truncated datagrams are malformed") {
  std::mt19937_64 random(5);
  MemberMessageWriter writer(kHeader, {}, kMaxMemberDatagramBytes);
  writer.Add(MemberUpdate{kMember, {}});
  const std::string good = writer.Finish();
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (uint64_t n = random() % 4 + 1; n > 0; --n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    MemberMessage read;
    if (DecodeMemberMessage(bytes, &read) == MemberDecodeResult::kOk) {
      CHECK(IsPeerAddress(read.header.from.peer));
    }
  }
  for (size_t length = 0; length < good.size(); ++length) {
    MemberMessage read;
    CHECK(DecodeMemberMessage(good.substr(0, length), &read) ==
          MemberDecodeResult::kMalformed);
  }
}

TEST_CASE("only an IPv4 address with a port is a peer address") {
  for (const char* bad : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "a:1",
                          "10.0.0.1:65536", "10.0.0.1:1x", "1.2.3:4"}) {
    CHECK_FALSE(IsPeerAddress(bad));
  }
  CHECK(IsPeerAddress("10.0.0.1:7103"));
}

}  // namespace
}  // namespace bramleybank
