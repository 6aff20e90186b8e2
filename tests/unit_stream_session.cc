// Guards against streams with missing or repeated tokens or tokens of another
// stream or attempt, and against streams that continue where they must not.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "stream_session.h"

namespace bramleybank {
namespace {

constexpr uint64_t kGeneration = 0xabcdef;

/// A session with a manual clock; records the delivered tokens.
class SessionHarness {
 public:
  explicit SessionHarness(StreamInitialState start = {})
      : m_session(
            WithGeneration(std::move(start)),
            [this] { return m_now; },
            [] { return uint64_t{7}; }) {}

  StreamSession& session() { return m_session; }
  void Advance(Duration time) { m_now += time; }

  StreamActions Run(StreamActions actions) {
    for (const StreamAction& action : actions) {
      if (const auto* token = std::get_if<DeliverToken>(&action)) {
        positions.push_back(token->position);
        texts += token->text;
      }
    }
    return actions;
  }

  StreamActions Chunk(uint32_t attempt, uint64_t index, const char* text) {
    return Run(m_session.OnChunk(attempt, kGeneration, attempt, index, text));
  }

  std::vector<uint64_t> positions;
  std::string texts;

 private:
  static StreamInitialState WithGeneration(StreamInitialState start) {
    start.generation = kGeneration;
    return start;
  }

  TimePoint m_now{};
  StreamSession m_session;
};

template <typename T>
const T* FindAction(const StreamActions& actions) {
  for (const StreamAction& action : actions) {
    if (const T* typed = std::get_if<T>(&action)) {
      return typed;
    }
  }
  return nullptr;
}

TEST_CASE("tokens are delivered in order, each once") {
  SessionHarness harness;
  CHECK(harness.session().Start() == StreamActions{StartAttempt{1, 0}});
  harness.Chunk(1, 1, "a");
  harness.Chunk(1, 1, "a");
  harness.Chunk(1, 2, "b");
  CHECK(harness.texts == "ab");
  CHECK(harness.session().drops().duplicate == 1);
  const auto end =
      harness.Run(harness.session().OnEnd(1, kGeneration, 1, 2, "stop"));
  CHECK(end == StreamActions{FinishStream{"stop", 2}});
  CHECK(harness.session().is_over());
}

TEST_CASE("a lost attempt is resumed after the tokens received") {
  SessionHarness harness;
  harness.session().Start();
  harness.Chunk(1, 1, "a");
  harness.Chunk(1, 2, "b");
  const auto lost = harness.session().OnLost(1, AttemptLoss::kBroken);
  CHECK(FindAction<CancelAttempt>(lost));
  REQUIRE(FindAction<ScheduleResume>(lost));
  CHECK(FindAction<ScheduleResume>(lost)->delay == Duration{0});
  CHECK(harness.session().OnResumeDue() == StreamActions{StartAttempt{2, 2}});
  harness.Chunk(2, 3, "c");
  CHECK(harness.texts == "abc");
}

TEST_CASE("late chunks of an abandoned attempt are dropped") {
  SessionHarness harness;
  harness.session().Start();
  harness.Chunk(1, 1, "a");
  harness.session().OnLost(1, AttemptLoss::kStalled);
  harness.Chunk(1, 2, "x");
  harness.session().OnResumeDue();
  harness.Chunk(1, 2, "y");
  // The connection of the new attempt carries a chunk of the old one.
  harness.Run(harness.session().OnChunk(2, kGeneration, 1, 2, "z"));
  harness.Chunk(2, 2, "b");
  CHECK(harness.texts == "ab");
  CHECK(harness.session().drops().late_attempt == 3);
}

TEST_CASE("chunks of another request are dropped") {
  SessionHarness harness;
  harness.session().Start();
  harness.Run(harness.session().OnChunk(1, kGeneration + 1, 1, 1, "x"));
  CHECK(harness.texts.empty());
  CHECK(harness.session().drops().other_request == 1);
}

TEST_CASE("a skipped index and a wrong count end the attempt") {
  for (const bool skip : {true, false}) {
    SessionHarness harness;
    harness.session().Start();
    harness.Chunk(1, 1, "a");
    const auto actions =
        skip ? harness.Chunk(1, 3, "c")
             : harness.session().OnEnd(1, kGeneration, 1, 2, "stop");
    CHECK(FindAction<ScheduleResume>(actions));
    CHECK(harness.texts == "a");
  }
}

TEST_CASE("protected tokens wait for the ack of their copy") {
  SessionHarness harness({.is_protected = true});
  harness.session().Start();
  CHECK(FindAction<CopyToken>(harness.Chunk(1, 1, "a")));
  harness.Chunk(1, 2, "b");
  CHECK(harness.texts.empty());
  harness.Run(harness.session().OnCopied(1));
  CHECK(harness.texts == "a");
  harness.Run(harness.session().OnEnd(1, kGeneration, 1, 2, "stop"));
  CHECK_FALSE(harness.session().is_over());
  const auto end = harness.Run(harness.session().OnCopied(2));
  CHECK(FindAction<FinishStream>(end));
  CHECK(harness.texts == "ab");
}

TEST_CASE("tokens of an unprotected stream do not wait for the copy") {
  SessionHarness harness({.is_protected = true});
  harness.session().Start();
  harness.Chunk(1, 1, "a");
  harness.Run(harness.session().OnUnprotected());
  harness.Chunk(1, 2, "b");
  CHECK(harness.texts == "ab");
}

TEST_CASE("a stream resumed from its copy continues after the caller's token") {
  SessionHarness harness({.first_attempt = 4,
                          .delivered = 1,
                          .tokens = {"a", "b"},
                          .attach = true});
  const auto start = harness.Run(harness.session().Start());
  CHECK(harness.texts == "b");
  REQUIRE(FindAction<AttachAttempt>(start));
  CHECK(*FindAction<AttachAttempt>(start) == AttachAttempt{4, 2});
  // The engine no longer has the stream, so another one continues from the
  // copy.
  harness.session().OnLost(4, AttemptLoss::kNotAttached);
  CHECK(harness.session().OnResumeDue() == StreamActions{StartAttempt{5, 2}});
}

TEST_CASE("without the earlier tokens a stream cannot change its engine") {
  SessionHarness harness({.delivered = 5, .attach = true});
  harness.session().Start();
  harness.Chunk(1, 6, "f");
  const auto lost = harness.session().OnLost(1, AttemptLoss::kBroken);
  REQUIRE(FindAction<GiveUpStream>(lost));
  CHECK(FindAction<GiveUpStream>(lost)->reason.code ==
        ResultCode::kResumeImpossible);
  CHECK(FindAction<GiveUpStream>(lost)->position == 6);
}

TEST_CASE("attempts without progress are limited and backed off") {
  SessionHarness harness;
  harness.session().Start();
  harness.Chunk(1, 1, "a");
  int attempts = 1;
  while (!harness.session().is_over()) {
    const auto lost = harness.session().OnLost(harness.session().attempt(),
                                               AttemptLoss::kRefused);
    if (FindAction<ScheduleResume>(lost)) {
      harness.session().OnResumeDue();
      ++attempts;
    }
  }
  CHECK(attempts == kMaxStreamAttempts);
}

TEST_CASE("progress resets the count of attempts") {
  SessionHarness harness;
  harness.session().Start();
  for (uint32_t i = 1; i <= 3 * kMaxStreamAttempts; ++i) {
    harness.Chunk(i, i, "a");
    harness.session().OnLost(i, AttemptLoss::kBroken);
    harness.session().OnResumeDue();
  }
  CHECK_FALSE(harness.session().is_over());
}

TEST_CASE("without output a missing endpoint is refused immediately") {
  SessionHarness harness;
  harness.session().Start();
  const auto actions =
      harness.session().OnNoEndpoint(1, {ResultCode::kOverloaded, "busy"});
  REQUIRE(FindAction<GiveUpStream>(actions));
  CHECK(FindAction<GiveUpStream>(actions)->reason.code ==
        ResultCode::kOverloaded);
}

TEST_CASE("a stream with output waits for an endpoint for a limited time") {
  SessionHarness harness;
  harness.session().Start();
  harness.Chunk(1, 1, "a");
  harness.session().OnLost(1, AttemptLoss::kBroken);
  harness.session().OnResumeDue();
  const Reason reason{ResultCode::kNoEndpoint, "none"};
  CHECK(FindAction<ScheduleResume>(harness.session().OnNoEndpoint(2, reason)));
  harness.session().OnResumeDue();
  harness.Advance(kMaxInterruption);
  CHECK(FindAction<GiveUpStream>(harness.session().OnNoEndpoint(3, reason)));
}

TEST_CASE("a caller that reconnects gets the tokens after its position") {
  SessionHarness harness;
  harness.session().Start();
  harness.Chunk(1, 1, "a");
  harness.Chunk(1, 2, "b");
  harness.session().OnEnd(1, kGeneration, 1, 2, "stop");
  const auto actions = harness.session().OnCallerReconnected(1);
  REQUIRE(actions);
  CHECK(*actions ==
        StreamActions{DeliverToken{2, "b"}, FinishStream{"stop", 2}});
  CHECK_FALSE(harness.session().OnCallerReconnected(3));
}

TEST_CASE("a stream taken over by another daemon ends here") {
  SessionHarness harness;
  harness.session().Start();
  harness.Chunk(1, 1, "a");
  const auto actions = harness.session().OnSuperseded();
  REQUIRE(FindAction<GiveUpStream>(actions));
  harness.Chunk(1, 2, "b");
  CHECK(harness.texts == "a");
}

}  // namespace
}  // namespace bramleybank
