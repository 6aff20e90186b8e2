// Guards against an engine model that admits requests in the wrong order,
// exceeds its slots or its cache, or applies faults to the wrong requests.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "standin_engine_batch.h"
#include "standin_engine_cache.h"
#include "standin_engine_faults.h"
#include "standin_engine_load.h"

namespace bramleybank::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{};

BatchSettings Settings() {
  return {.slots = 4,
          .token_interval = milliseconds(10),
          .knee = 2,
          .slope = 1,
          .prefill_tokens_per_s = 1000};
}

TEST_CASE("slots go to the highest priority, then to the oldest request") {
  BatchModel batch(Settings());
  for (const auto& [run, priority] :
       {std::pair{1, 0}, {2, 5}, {3, 0}, {4, 5}, {5, 1}, {6, -1}}) {
    batch.Enqueue(static_cast<uint64_t>(run), priority);
  }
  CHECK(batch.Admit() == std::vector<uint64_t>{2, 4, 5, 1});
  CHECK(batch.waiting() == 2);
  batch.Remove(3);
  batch.Remove(4);
  CHECK(batch.Admit() == std::vector<uint64_t>{6});
  CHECK(batch.running() == 4);
}

TEST_CASE("the token interval grows above the knee") {
  BatchModel batch(Settings());
  for (uint64_t run = 1; run <= 4; ++run) {
    batch.Enqueue(run, 0);
  }
  CHECK(batch.StepInterval() == milliseconds(10));
  batch.Admit();
  CHECK(batch.StepInterval() == milliseconds(20));
  batch.Remove(1);
  CHECK(batch.StepInterval() == milliseconds(15));
  batch.Remove(2);
  CHECK(batch.StepInterval() == milliseconds(10));
}

TEST_CASE("prefills queue behind each other") {
  BatchModel batch(Settings());
  CHECK(batch.StartPrefill(kStart, 100, 1) == kStart + milliseconds(100));
  CHECK(batch.StartPrefill(kStart, 50, 2) == kStart + milliseconds(200));
  CHECK(batch.StartPrefill(kStart + seconds(1), 10, 1) ==
        kStart + milliseconds(1010));
}

TEST_CASE("the cache finds common prefixes and stays bounded") {
  PrefixCache cache(4 * kCacheBlockTokens, 0);
  const std::string shared(128, 'a');
  CHECK(cache.LookUpAndStore(shared + std::string(64, 'b'), kStart) == 0);
  CHECK(cache.LookUpAndStore(shared + std::string(64, 'c'), kStart) ==
        2 * kCacheBlockTokens);
  // A different block in the middle ends the match.
  CHECK(cache.LookUpAndStore(std::string(64, 'x') + std::string(64, 'a'),
                             kStart) == 0);
  CHECK(cache.tokens() == 4 * kCacheBlockTokens);
  // The end of the first prompt was evicted, the shared start was not.
  CHECK(cache.LookUpAndStore(shared, kStart) == 2 * kCacheBlockTokens);
}

TEST_CASE("cache events are in order, delayed and with gaps") {
  PrefixCache cache(2 * kCacheBlockTokens, 3);
  cache.LookUpAndStore(std::string(64, 'a'), kStart);
  cache.LookUpAndStore(std::string(64, 'b'), kStart + seconds(1));
  cache.LookUpAndStore(std::string(64, 'c'), kStart + seconds(2));
  CHECK(cache.Events(0, kStart).size() == 1);
  const auto events = cache.Events(1, kStart + seconds(2));
  // Event 3, the removal of the first block, is dropped.
  REQUIRE(events.size() == 2);
  CHECK(events[0].sequence == 2);
  CHECK(events[1].sequence == 4);
  CHECK(events[1].added);
}

TEST_CASE("load reports lag") {
  LoadHistory history(milliseconds(500));
  CHECK(history.Report(kStart).running == 0);
  for (int i = 0; i <= 30; ++i) {
    history.Record({.time = kStart + milliseconds(100 * i),
                    .running = static_cast<size_t>(i),
                    .tokens = static_cast<uint64_t>(10 * i)});
  }
  const LoadReport report = history.Report(kStart + milliseconds(3050));
  CHECK(report.running == 25);
  CHECK(report.age == milliseconds(550));
  CHECK(report.tokens_per_s == doctest::Approx(100));
}

void Apply(EngineFaults* faults, const json& control) {
  std::string error;
  REQUIRE(faults->Apply(control, kStart, &error));
}

TEST_CASE("version faults start after requests or time") {
  EngineFaults faults;
  Apply(&faults,
        {{"version_fault", "fail"}, {"after_requests", 2}, {"after_s", 1}});
  const TimePoint late = kStart + seconds(1);
  CHECK_FALSE(faults.OnRequest("v1", "p", 0, kStart).fail);
  CHECK_FALSE(faults.OnRequest("v1", "p", 0, late).fail);
  CHECK_FALSE(faults.OnRequest("v1", "p", 0, kStart).fail);
  CHECK(faults.OnRequest("v1", "p", 0, late).fail);
}

TEST_CASE("version faults apply only to their version, load and route") {
  EngineFaults faults;
  Apply(&faults, {{"version_fault", "slow"},
                  {"version", "v2"},
                  {"above_load", 3},
                  {"route", "note"},
                  {"factor", 4}});
  CHECK(faults.OnRequest("v2", "a note", 4, kStart).slowdown == 4);
  CHECK(faults.OnRequest("v1", "a note", 4, kStart).slowdown == 1);
  CHECK(faults.OnRequest("v2", "a note", 3, kStart).slowdown == 1);
  CHECK(faults.OnRequest("v2", "report", 4, kStart).slowdown == 1);
  Apply(&faults, {{"clear", true}});
  CHECK(faults.OnRequest("v2", "a note", 4, kStart) == RequestEffect());
}

TEST_CASE("a stream fault is reserved for the streams that match it") {
  EngineFaults faults;
  Apply(&faults, {{"stream_fault", "skip"},
                  {"token", 5},
                  {"count", 2},
                  {"generation", "ab"}});
  CHECK(faults.TakeStreamFault("cd") == StreamFault());
  CHECK(faults.TakeStreamFault("ab").kind == StreamFaultKind::kSkip);
  CHECK(faults.TakeStreamFault("ab").token == 5);
  CHECK(faults.TakeStreamFault("ab") == StreamFault());
}

TEST_CASE("invalid control messages are refused") {
  EngineFaults faults;
  std::string error;
  for (const json& control :
       {json(5), json{{"stream_fault", "unknown"}}, json{{"version_fault", 1}},
        json{{"stream_fault", "skip"}, {"token", "x"}}}) {
    CAPTURE(control.dump());
    CHECK_FALSE(faults.Apply(control, kStart, &error));
    CHECK_FALSE(error.empty());
  }
}

}  // namespace
}  // namespace bramleybank::standin
