// Guards against copies that accept tokens from a daemon that no longer owns
// the stream, that return wrong tokens, or that grow without bound.
#include <doctest/doctest.h>

#include "stream_copy_store.h"

namespace bramleybank {
namespace {

using enum CopyAppendStatus;

constexpr uint64_t kGeneration = 77;
const CopyIdentity kIdentity{0xabcdU, "m", "v1", "", "127.0.0.9:9000"};

/// A store with a manual clock and shorthands for its operations.
struct StoreFixture {
  TimePoint now{};
  StreamCopyStore store{[this] { return now; }, 64 * 1024};

  CopyAppendResult Append(const std::string& owner,
                          uint32_t attempt,
                          uint64_t first,
                          StreamTokenList tokens,
                          uint64_t generation = kGeneration) {
    CopyAppendEntry entry{.generation = generation,
                          .attempt = attempt,
                          .first_position = first,
                          .tokens = std::move(tokens)};
    if (first == 1) {
      entry.identity = kIdentity;
    }
    return store.Append({.owner = owner, .entries = {entry}}).results.at(0);
  }

  CopyClaimReply Claim(const std::string& claimant, uint32_t minimum) {
    return store.Claim({.generation = kGeneration,
                        .request_hash = kIdentity.request_hash,
                        .minimum_attempt = minimum,
                        .claimant = claimant});
  }
};

const CopyAppendResult kStaleAt4{kStale, 0, 4};

TEST_CASE_FIXTURE(StoreFixture, "a claim returns all tokens in order") {
  CHECK(Append("d1", 1, 1, {"a", "b"}) == CopyAppendResult{kAcked, 2});
  CHECK(Append("d1", 1, 3, {"c"}) == CopyAppendResult{kAcked, 3});
  const CopyClaimReply reply = Claim("d2", 1);
  CHECK(reply.status == CopyClaimStatus::kFound);
  CHECK(reply.attempt == 2);
  CHECK(reply.identity == kIdentity);
  CHECK(reply.tokens == StreamTokenList{"a", "b", "c"});
}

TEST_CASE_FIXTURE(StoreFixture, "a batch that is sent twice repeats no token") {
  Append("d1", 1, 1, {"a", "b"});
  CHECK(Append("d1", 1, 2, {"b", "c"}) == CopyAppendResult{kAcked, 3});
  CHECK(Append("d1", 1, 1, {"a"}) == CopyAppendResult{kAcked, 3});
  CHECK(Claim("d2", 1).tokens == StreamTokenList{"a", "b", "c"});
}

TEST_CASE_FIXTURE(StoreFixture, "a gap is never acknowledged") {
  CHECK(Append("d1", 1, 2, {"b"}).status == kNeedWholeCopy);
  Append("d1", 1, 1, {"a"});
  CHECK(Append("d1", 1, 3, {"c"}).status == kNeedWholeCopy);
  CHECK(Claim("d2", 1).tokens == StreamTokenList{"a"});
}

TEST_CASE_FIXTURE(StoreFixture, "an owner that was paused is refused") {
  Append("d1", 1, 1, {"a"});
  CHECK(Claim("d2", 3).attempt == 4);
  CHECK(Append("d1", 3, 2, {"x"}) == kStaleAt4);
  SUBCASE("also when it has reached the attempt issued to the claimant") {
    CHECK(Append("d1", 4, 2, {"x"}) == kStaleAt4);
    CHECK(Append("d1", 9, 2, {"x"}) == kStaleAt4);
  }
  CHECK(Append("d2", 4, 2, {"b"}) == CopyAppendResult{kAcked, 2});
  CHECK(Append("d2", 5, 3, {"c"}) == CopyAppendResult{kAcked, 3});
  CHECK(Claim("d3", 0).tokens == StreamTokenList{"a", "b", "c"});
}

TEST_CASE_FIXTURE(StoreFixture, "of two claimants the later one wins") {
  Append("d1", 1, 1, {"a"});
  CHECK(Claim("d2", 1).attempt == 2);
  CHECK(Claim("d3", 1).attempt == 3);
  CHECK(Append("d2", 2, 2, {"x"}).status == kStale);
  CHECK(Append("d3", 3, 2, {"b"}).status == kAcked);
  CHECK(Claim("d1", 1).attempt == 4);
  CHECK(Append("d1", 4, 3, {"c"}).status == kAcked);
  CHECK(Claim("d4", 1).tokens == StreamTokenList{"a", "b", "c"});
}

TEST_CASE_FIXTURE(StoreFixture,
                  "tokens of two owners with the same attempt do not mix") {
  Append("d1", 2, 1, {"a"});
  CHECK(Append("d2", 2, 2, {"x"}).status == kStale);
  CHECK(Claim("d3", 2).tokens == StreamTokenList{"a"});
}

TEST_CASE_FIXTURE(StoreFixture,
                  "a takeover without a claim replaces later tokens") {
  Append("d1", 1, 1, {"a", "b", "c"});
  CHECK(Append("d2", 2, 2, {"x"}) == CopyAppendResult{kAcked, 2});
  CHECK(Append("d1", 1, 4, {"d"}).status == kStale);
  SUBCASE("and a gap drops the tokens of the older attempt") {
    CHECK(Append("d3", 3, 9, {"y"}).status == kNeedWholeCopy);
    CHECK(Claim("d4", 3).status == CopyClaimStatus::kNotFound);
    return;
  }
  CHECK(Claim("d4", 1).tokens == StreamTokenList{"a", "x"});
}

TEST_CASE_FIXTURE(StoreFixture,
                  "claims of an unknown stream get increasing attempts") {
  const CopyClaimReply reply = Claim("d2", 3);
  CHECK(reply.status == CopyClaimStatus::kNotFound);
  CHECK(reply.attempt == 4);
  CHECK(Claim("d3", 3).attempt == 5);
  CHECK(Append("d2", 4, 1, {"a"}).status == kStale);
  CHECK(Append("d3", 5, 1, {"a"}).status == kAcked);
}

TEST_CASE_FIXTURE(StoreFixture,
                  "a claim with a different request hash is refused") {
  Append("d1", 1, 1, {"a"});
  const CopyClaimReply reply = store.Claim(
      {.generation = kGeneration, .request_hash = 1, .claimant = "d2"});
  CHECK(reply == CopyClaimReply{.status = CopyClaimStatus::kRequestMismatch});
  CHECK(Append("d1", 1, 2, {"b"}).status == kAcked);
}

TEST_CASE_FIXTURE(StoreFixture, "the highest attempt does not wrap around") {
  CHECK(Claim("d2", 0xffffffffU).attempt == 0xffffffffU);
}

TEST_CASE_FIXTURE(StoreFixture,
                  "a paused owner cannot recreate an ended copy") {
  Append("d1", 1, 1, {"a"});
  Claim("d2", 1);
  CHECK_FALSE(store.End(kGeneration, 1));
  CopyAppend end{.owner = "d2",
                 .entries = {{.generation = kGeneration,
                              .attempt = 2,
                              .first_position = 2,
                              .tokens = {"b"},
                              .ends = true}}};
  const CopyAppendResult acked{kAcked, 2};
  CHECK(store.Append(end).results.at(0) == acked);
  CHECK(store.Append(end).results.at(0) == acked);
  CHECK(Append("d2", 2, 2, {"b"}) == acked);
  CHECK(Append("d1", 1, 1, {"a"}).status == kStale);
  CHECK(Claim("d3", 2).status == CopyClaimStatus::kNotFound);
  CHECK(Append("d3", 3, 1, {"a", "b"}) == acked);
  CHECK(Claim("d4", 3).tokens == StreamTokenList{"a", "b"});
}

TEST_CASE_FIXTURE(StoreFixture, "copies expire 30 s after the last message") {
  Append("d1", 1, 1, {"a"});
  now += std::chrono::seconds(20);
  Append("d1", 1, 1, {"z"}, 5);
  Append("d1", 1, 2, {"b"});
  now += kCopyIdleLifetime - std::chrono::seconds(1);
  CHECK(store.Expire(now) == 0);
  now += std::chrono::seconds(1);
  Append("d1", 1, 3, {"c"});
  CHECK(store.Expire(now) == 1);
  CHECK(Append("d1", 1, 2, {"y"}, 5).status == kNeedWholeCopy);
  CHECK(store.Expire(now + kCopyIdleLifetime) == 1);
  CHECK(store.size() == 0);
  CHECK(store.bytes() == 0);
}

TEST_CASE_FIXTURE(StoreFixture, "memory use is bounded") {
  const std::string text(500, 'x');
  uint64_t generation = 1;
  while (Append("d1", 1, 1, {text}, generation).status == kAcked) {
    REQUIRE(++generation < 1000);
  }
  CHECK(store.full_refusals() == 1);
  CHECK(store.bytes() < 80 * 1024);
  CHECK(store.size() == generation - 1);
  // Above the limit, a claim of an unknown stream creates no record.
  CHECK(Claim("d2", 1).attempt == 2);
  CHECK(store.size() == generation - 1);
  // Existing copies may still grow, up to a bound.
  CHECK(Append("d1", 1, 2, {text}, 1).status == kAcked);
  uint64_t position = 3;
  while (Append("d1", 1, position, {text}, 1).status == kAcked) {
    REQUIRE(++position < 1000);
  }
  CHECK(store.bytes() < 100 * 1024);
}

TEST_CASE_FIXTURE(StoreFixture, "a copy too large for a reply is refused") {
  StreamCopyStore large([this] { return now; });
  CopyAppendEntry entry{.generation = 1, .identity = kIdentity};
  entry.tokens.Append(std::string(kMaxCopyBytes + 1, 'x'));
  const CopyAppend batch{.owner = "d1", .entries = {entry}};
  CHECK(large.Append(batch).results.at(0).status == kFull);
  CHECK(large.size() == 0);
}

}  // namespace
}  // namespace bramleybank
