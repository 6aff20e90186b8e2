// Guards against messages that lose a field or cannot be exchanged between
// releases, and against malformed bytes that make the decoder throw or allocate
// too much memory.
#include <doctest/doctest.h>

#include <msgpack.hpp>
#include <random>

#include "bramleybank/limits.h"
#include "peer_message.h"

namespace bramleybank {
namespace {

const CopyIdentity kIdentity{0xfeedbeefU, "m", "v2", "a", "127.0.0.9:9000"};

const CopyAppend kAppend{
    .owner = "127.0.0.1:7103",
    .entries = {{.generation = 0xffffffffffffffffULL,
                 .attempt = 2,
                 .first_position = 70000,
                 .tokens = {"a", "", "long text"}},
                {.generation = 5, .attempt = 1, .ends = true},
                {.generation = 6, .tokens = {"x"}, .identity = kIdentity}}};

template <typename Message>
void CheckRoundTrip(const Message& message) {
  CHECK(DecodePeerMessage<Message>(EncodePeerMessage(message)) == message);
}

TEST_CASE("all fields survive encoding and decoding") {
  CheckRoundTrip(kAppend);
  CheckRoundTrip(
      CopyAppendReply{.results = {{.position = 9},
                                  {CopyAppendStatus::kStale, 0, 7},
                                  {.status = CopyAppendStatus::kNeedWholeCopy},
                                  {.status = CopyAppendStatus::kFull}}});
  CheckRoundTrip(CopyClaim{.generation = 1,
                           .request_hash = 2,
                           .minimum_attempt = 3,
                           .claimant = "c"});
  CheckRoundTrip(CopyClaimReply{.status = CopyClaimStatus::kFound,
                                .attempt = 4,
                                .identity = kIdentity,
                                .tokens = {"x", "y"}});
  CheckRoundTrip(StreamRelease{
      .generation = 1, .request_hash = 2, .attempt = 3, .claimant = "c"});
  CheckRoundTrip(StreamReleaseReply{
      .found = true, .attempt = 4, .identity = kIdentity, .tokens = {"z"}});
}

TEST_CASE("fields of a newer release are skipped, missing ones defaulted") {
  msgpack::sbuffer newer;
  msgpack::packer<msgpack::sbuffer> packer(newer);
  packer.pack_array(7);
  packer.pack(9);
  packer.pack(uint64_t{77}).pack(1).pack_nil().pack("127.0.0.2:1");
  packer.pack_map(1).pack("new").pack(std::vector<int>{1, 2});
  packer.pack(1.5);
  const auto claim = DecodePeerMessage<CopyClaim>({newer.data(), newer.size()});
  REQUIRE(claim);
  CHECK(*claim == CopyClaim{.format = 9,
                            .generation = 77,
                            .request_hash = 1,
                            .claimant = "127.0.0.2:1"});

  msgpack::sbuffer older;
  msgpack::packer<msgpack::sbuffer>(older).pack_array(2).pack(1).pack(77);
  const auto short_claim =
      DecodePeerMessage<CopyClaim>({older.data(), older.size()});
  REQUIRE(short_claim);
  CHECK(*short_claim == CopyClaim{.generation = 77});
}

TEST_CASE("a length with too few values after it is refused") {
  using namespace std::string_literals;
  Reason reason;
  for (const std::string& bytes :
       {""s, "\x90"s, "\x91\x00"s, "\xdd\xff\xff\xff\xff\x01"s,
        "\x93\x01\xa0\xdd\xff\xff\xff\xff"s,
        "\x93\x01\xa0\x91\xdb\xff\xff\xff\xff"s, std::string(100000, '\x91'),
        "\x94\x01\xa0\x90"s + std::string(100000, '\x91') + "\xc0"s,
        EncodePeerMessage(kAppend) + "\x01"}) {
    reason = {};
    CHECK_FALSE(DecodePeerMessage<CopyAppend>(bytes, &reason));
    CHECK(reason.code == ResultCode::kPeerBadMessage);
  }
}

TEST_CASE("a message with too many values is refused before decoding") {
  std::string bytes("\xdd\x00\x10\x00\x00\x01", 6);
  bytes.append(0xfffff, '\xc0');
  REQUIRE(bytes.size() < kMaxPeerBodyBytes);
  CHECK_FALSE(DecodePeerMessage<CopyAppend>(bytes));
}

TEST_CASE("position 0 is refused because holders subtract 1 from it") {
  CopyAppend append = kAppend;
  append.entries[0].first_position = 0;
  CHECK_FALSE(DecodePeerMessage<CopyAppend>(EncodePeerMessage(append)));
}

TEST_CASE("mutated bytes never throw; decoded messages can be encoded") {
  std::mt19937_64 random(20240611);
  const std::string good = EncodePeerMessage(kAppend);
  size_t decoded = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = good;
    for (uint64_t change = random() % 4 + 1; change > 0; --change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % 4 == 0 ? random() % bytes.size() : bytes.size());
    DecodePeerMessage<CopyAppendReply>(bytes);
    DecodePeerMessage<CopyClaimReply>(bytes);
    DecodePeerMessage<StreamReleaseReply>(bytes);
    if (const auto append = DecodePeerMessage<CopyAppend>(bytes)) {
      ++decoded;
      CHECK(DecodePeerMessage<CopyAppend>(EncodePeerMessage(*append)) ==
            append);
    }
  }
  CHECK(decoded > 0);
}

}  // namespace
}  // namespace bramleybank
