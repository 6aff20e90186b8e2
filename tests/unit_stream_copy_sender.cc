// Guards against tokens that are reported as copied although no holder has
// them, against lost or repeated tokens when the holder changes, and against
// owners that continue after another daemon has claimed their stream.
#include <doctest/doctest.h>

#include <random>

#include "bramleybank/limits.h"
#include "stream_copy_sender.h"
#include "stream_copy_store.h"

namespace bramleybank {
namespace {

using enum CopyAppendStatus;
using std::chrono::milliseconds;

constexpr CopyAppendStatus kLost = static_cast<CopyAppendStatus>(99);

struct SentBatch {
  std::string peer;
  CopyAppend batch;
  StreamCopySenderHooks::ReplyCallback callback;
};

/// A sender with a manual clock; records its batches and hook calls.
struct SenderFixture {
  TimePoint now{};
  std::vector<SentBatch> sent;
  std::vector<std::string> reports;
  std::vector<std::string> asked;
  std::optional<std::string> next_holder;
  std::optional<TimePoint> timer;
  StreamCopySender sender{"me", MakeHooks()};

  StreamCopySenderHooks MakeHooks() {
    return {.clock = [this] { return now; },
            .send =
                [this](const std::string& peer, const CopyAppend& batch,
                       StreamCopySenderHooks::ReplyCallback callback) {
                  sent.push_back({peer, batch, std::move(callback)});
                },
            .set_timer = [this](TimePoint due) { timer = due; },
            .choose_holder =
                [this](uint64_t /*generation*/, const std::string& failed) {
                  asked.push_back(failed);
                  return next_holder;
                },
            .on_acked =
                [this](uint64_t generation, uint64_t position) {
                  Report("acked", generation, position);
                },
            .on_unprotected =
                [this](uint64_t generation) {
                  Report("unprotected", generation, 0);
                },
            .on_superseded =
                [this](uint64_t generation, uint32_t attempt) {
                  Report("superseded", generation, attempt);
                }};
  }

  void Report(const std::string& what, uint64_t generation, uint64_t value) {
    reports.push_back(what + " " + std::to_string(generation) + " " +
                      std::to_string(value));
  }
  std::vector<std::string> TakeReports() { return std::exchange(reports, {}); }

  void Open(uint64_t generation, const std::string& holder) {
    sender.Open({.generation = generation, .attempt = 1, .holder = holder});
  }

  /// Advances the clock and runs the timer each time it is due.
  void Advance(Duration duration) {
    const TimePoint end = now + duration;
    while (timer && *timer <= end) {
      now = std::max(now, *timer);
      timer.reset();
      sender.OnTimer();
    }
    now = end;
  }

  /// Replies to the oldest batch in flight with `status` for all its entries.
  void Reply(CopyAppendStatus status) {
    REQUIRE_FALSE(sent.empty());
    const SentBatch first = std::move(sent.front());
    sent.erase(sent.begin());
    CopyAppendReply reply;
    for (const CopyAppendEntry& entry : first.batch.entries) {
      reply.results.push_back(
          {status, entry.first_position - 1 + entry.tokens.size(), 7});
    }
    first.callback(status == kLost ? std::nullopt : std::optional(reply));
  }
};

using Reports = std::vector<std::string>;

TEST_CASE_FIXTURE(SenderFixture,
                  "tokens accumulate while a batch is in flight") {
  Open(1, "h");
  Open(2, "h");
  sender.Append(1, "a");
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].batch.entries[0].identity);
  sender.Append(1, "b");
  sender.Append(2, "x");
  sender.Append(1, "c");
  Advance(milliseconds(10));
  REQUIRE(sent.size() == 1);
  Reply(kAcked);
  CHECK(TakeReports() == Reports{"acked 1 1"});
  REQUIRE(sent.size() == 1);
  const auto& entries = sent[0].batch.entries;
  REQUIRE(entries.size() == 2);
  CHECK(sent[0].batch.owner == "me");
  CHECK(entries[0] == CopyAppendEntry{.generation = 1,
                                      .attempt = 1,
                                      .first_position = 2,
                                      .tokens = {"b", "c"}});
  CHECK(entries[1].tokens == StreamTokenList{"x"});
  Reply(kAcked);
  CHECK(TakeReports() == Reports{"acked 1 3", "acked 2 1"});
}

TEST_CASE_FIXTURE(SenderFixture, "batches start at least 2 ms apart") {
  Open(1, "h");
  sender.Append(1, "a");
  Reply(kAcked);
  sender.Append(1, "b");
  Advance(kCopyFlushInterval - Duration(1));
  CHECK(sent.empty());
  Advance(Duration(1));
  CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(SenderFixture, "a first token does not wait for a batch") {
  // A wait of 2 ms would exceed the 1 ms that a daemon may add to the time to
  // first token.
  Open(1, "h");
  Open(2, "h");
  sender.Append(1, "a");
  Reply(kAcked);
  sender.Append(1, "b");
  CHECK(sent.empty());
  sender.Append(2, "x");
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].batch.entries.size() == 2);
  Reply(kAcked);
  sender.Append(2, "y");
  CHECK(sent.empty());
  Advance(milliseconds(2));
  CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(SenderFixture, "a long copy does not delay other streams") {
  Open(1, "h");
  for (int i = 0; i < 10; ++i) {
    sender.Append(1, std::string(kMaxCopyBatchBytes / 4, 'x'));
  }
  Open(2, "h");
  sender.Append(2, "y");
  Reply(kAcked);
  Advance(kCopyFlushInterval);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].batch.entries.size() == 1);
  CHECK(EncodePeerMessage(sent[0].batch).size() < kMaxCopyBatchBytes * 5 / 4);
  Reply(kAcked);
  Advance(kCopyFlushInterval);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].batch.entries.at(0).generation == 2);
  CHECK(EncodePeerMessage(sent[0].batch).size() < kMaxCopyBatchBytes * 5 / 4);
}

TEST_CASE_FIXTURE(SenderFixture,
                  "a holder that does not reply is replaced after 50 ms") {
  next_holder = "h2";
  Open(1, "h1");
  sender.Append(1, "a");
  Reply(kAcked);
  Advance(milliseconds(500));
  CHECK(TakeReports() == Reports{"acked 1 1"});
  sender.Append(1, "b");
  Advance(kCopyAckTimeout - Duration(1));
  CHECK(TakeReports().empty());
  Advance(Duration(1));
  CHECK(TakeReports() == Reports{"unprotected 1 0"});
  CHECK(asked == std::vector<std::string>{"h1"});
  REQUIRE(sent.size() == 2);
  CHECK(sent[1].peer == "h2");
  CHECK(sent[1].batch.entries[0].first_position == 1);
  CHECK(sent[1].batch.entries[0].tokens == StreamTokenList{"a", "b"});
  CHECK(sent[1].batch.entries[0].identity);
  SUBCASE("and its late reply is ignored") {
    Reply(kAcked);
    CHECK(TakeReports().empty());
    CHECK(sender.holder(1) == "h2");
    sender.Append(1, "c");
    Reply(kAcked);
    CHECK(TakeReports() == Reports{"acked 1 2"});
    Advance(kCopyAckTimeout);
    CHECK(TakeReports() == Reports{"unprotected 1 0"});
  }
  SUBCASE("but a late stale reply from it still stops the owner") {
    Reply(kStale);
    CHECK(TakeReports() == Reports{"superseded 1 7"});
    CHECK(sender.Append(1, "c") == 0);
  }
}

TEST_CASE_FIXTURE(SenderFixture,
                  "replies from an earlier assignment are ignored") {
  Open(1, "h1");
  sender.Append(1, "a");
  sender.SetHolder(1, "h2");
  sender.SetHolder(1, "h1");
  Reply(kAcked);
  CHECK(TakeReports().empty());
  Advance(kCopyFlushInterval);
  Reply(kAcked);  // From h2.
  CHECK(TakeReports().empty());
  Reply(kAcked);
  CHECK(TakeReports() == Reports{"acked 1 1"});
}

TEST_CASE_FIXTURE(SenderFixture,
                  "a moved copy without an ack is reported as unprotected") {
  Open(1, "h1");
  sender.Append(1, "a");
  Reply(kAcked);
  Advance(milliseconds(100));
  sender.SetHolder(1, "h2");
  Advance(kCopyAckTimeout);
  CHECK(TakeReports() == Reports{"acked 1 1", "unprotected 1 0"});
}

TEST_CASE_FIXTURE(SenderFixture, "a failed holder is replaced immediately") {
  next_holder = "h2";
  Open(1, "h1");
  sender.Append(1, "a");
  SUBCASE("no reply") {
    Reply(kLost);
  }
  SUBCASE("full") {
    Reply(kFull);
  }
  SUBCASE("requests the complete copy that it was just sent") {
    Reply(kNeedWholeCopy);
  }
  SUBCASE("acknowledges less than it was sent") {
    sent[0].callback(CopyAppendReply{.results = {{.position = 0}}});
    sent.erase(sent.begin());
  }
  SUBCASE("replies with the wrong number of results") {
    sent[0].callback(CopyAppendReply{});
    sent.erase(sent.begin());
  }
  SUBCASE("failure reported by the caller of OnHolderLost") {
    sender.OnHolderLost("h1");
    sent.erase(sent.begin());
  }
  CHECK(TakeReports().empty());
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].peer == "h2");
  CHECK(sent[0].batch.entries[0].tokens == StreamTokenList{"a"});
  Reply(kAcked);
  CHECK(TakeReports() == Reports{"acked 1 1"});
}

TEST_CASE_FIXTURE(SenderFixture, "retries back off when all holders fail") {
  next_holder = "h2";
  Open(1, "h1");
  sender.Append(1, "a");
  size_t tries = 0;
  for (int step = 0; step < 60'000; step += 10) {
    while (!sent.empty()) {
      ++tries;
      Reply(kLost);
    }
    Advance(milliseconds(10));
  }
  CHECK(TakeReports() == Reports{"unprotected 1 0"});
  CHECK(tries > 10);
  CHECK(tries < 25);
}

TEST_CASE_FIXTURE(SenderFixture,
                  "a stream without a holder can be assigned one later") {
  Open(1, "");
  sender.Append(1, "a");
  Advance(kCopyAckTimeout);
  CHECK(TakeReports() == Reports{"unprotected 1 0"});
  CHECK(sent.empty());
  sender.SetHolder(1, "h");
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].batch.entries[0].tokens == StreamTokenList{"a"});
}

TEST_CASE_FIXTURE(SenderFixture,
                  "a holder that restarted is sent the complete copy") {
  Open(1, "h");
  sender.Append(1, "a");
  Reply(kAcked);
  Advance(kCopyFlushInterval);
  sender.Append(1, "b");
  Reply(kNeedWholeCopy);
  Advance(kCopyFlushInterval);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].batch.entries[0].tokens == StreamTokenList{"a", "b"});
  CHECK(sent[0].batch.entries[0].identity);
  CHECK(asked.empty());
  Reply(kAcked);
  CHECK(TakeReports() == Reports{"acked 1 1", "acked 1 2"});
}

TEST_CASE_FIXTURE(SenderFixture,
                  "a claimed stream is continued after the held tokens") {
  sender.Open({.generation = 1,
               .attempt = 4,
               .tokens = {"a", "b"},
               .holder = "h",
               .held_position = 2});
  CHECK(sent.empty());
  CHECK(sender.Append(1, "c") == 3);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].batch.entries[0].first_position == 3);
  CHECK(sent[0].batch.entries[0].attempt == 4);
}

TEST_CASE_FIXTURE(SenderFixture,
                  "a new attempt sends the new engine to the holder") {
  Open(1, "h");
  sender.Append(1, "a");
  sender.SetAttempt(1, 2, "127.0.0.9:1");
  sender.Append(1, "b");
  Advance(kCopyFlushInterval);
  Reply(kAcked);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].batch.entries[0].attempt == 2);
  CHECK(sent[0].batch.entries[0].identity.value().engine == "127.0.0.9:1");
}

TEST_CASE_FIXTURE(SenderFixture, "the end of a stream is sent to its holder") {
  Open(1, "h");
  sender.Append(1, "a");
  sender.Append(1, "b");
  sender.Finish(1);
  Reply(kAcked);
  Advance(kCopyFlushInterval);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].batch.entries[0].ends);
  CHECK(sent[0].batch.entries[0].tokens == StreamTokenList{"b"});
  SUBCASE("") {
    Reply(kAcked);
  }
  SUBCASE("and is not sent to another holder") {
    next_holder = "h2";
    Reply(kLost);
    CHECK(sent.empty());
  }
  CHECK(sender.open_streams() == 0);
}

TEST_CASE("a reply after the destruction of the sender is ignored") {
  auto fixture = std::make_unique<SenderFixture>();
  fixture->Open(1, "h");
  fixture->sender.Append(1, "a");
  const auto callback = fixture->sent[0].callback;
  fixture.reset();
  callback(CopyAppendReply{.results = {{.position = 1}}});
}

// Holders lose batches, replies and all their copies at random. Once the faults
// end, the current holder of each stream must have exactly its tokens.
TEST_CASE_FIXTURE(SenderFixture, "random faults never corrupt a copy") {
  std::mt19937_64 random(99);
  std::map<std::string, std::unique_ptr<StreamCopyStore>> stores;
  const auto restart = [&](const std::string& peer) {
    stores[peer] = std::make_unique<StreamCopyStore>([this] { return now; });
  };
  restart("h0");
  restart("h1");
  constexpr uint64_t kStreams = 5;
  std::vector<uint64_t> lengths(kStreams + 1);
  for (uint64_t generation = 1; generation <= kStreams; ++generation) {
    Open(generation, "h0");
  }
  const auto settle = [&](bool faults) {
    while (!sent.empty()) {
      const SentBatch first = std::move(sent.front());
      sent.erase(sent.begin());
      const uint64_t fault = faults ? random() % 20 : 99;
      if (fault == 0) {
        restart(first.peer);
      }
      std::optional<CopyAppendReply> reply;
      if (fault != 1) {
        reply = stores.at(first.peer)->Append(first.batch);
      }
      first.callback(fault == 2 ? std::nullopt : reply);
    }
  };
  for (int step = 0; step < 5000; ++step) {
    next_holder = random() % 2 == 0 ? "h0" : "h1";
    const uint64_t generation = random() % kStreams + 1;
    sender.Append(generation, std::to_string(++lengths[generation]));
    if (random() % 3 != 0) {
      settle(true);
    }
    Advance(milliseconds(random() % 4));
  }
  for (int round = 0; round < 1000; ++round) {
    settle(false);
    Advance(milliseconds(10));
  }
  for (uint64_t generation = 1; generation <= kStreams; ++generation) {
    const auto reply =
        stores.at(sender.holder(generation))->Claim({.generation = generation});
    REQUIRE(reply.tokens.size() == lengths[generation]);
    for (size_t i = 0; i < reply.tokens.size(); ++i) {
      CHECK(reply.tokens[i] == std::to_string(i + 1));
    }
  }
}

}  // namespace
}  // namespace bramleybank
