// Guards against a budget that starves ordinary requests, closes the wrong
// connection or loses count of what is held.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "answer_buffer.h"
#include "bramleybank/limits.h"
#include "event_splitter.h"
#include "memory_account.h"
#include "memory_budget.h"
#include "process_limits.h"

namespace bramleybank {
namespace {

constexpr size_t kMb = 1024 * 1024;

struct Fixture {
  MemoryBudget::OwnerId Add() {
    const auto index = ids.size();
    ids.push_back(budget.Open(
        {.on_room = [this, index] { woken.push_back(ids[index]); },
         .on_evicted = [this, index] { evicted.push_back(ids[index]); },
         .refresh = nullptr}));
    return ids.back();
  }

  TimePoint now{};
  int pressure = 0;
  MemoryBudget budget{8 * kMb, [this] { return now; }, [this] { ++pressure; }};
  std::vector<MemoryBudget::OwnerId> ids;
  std::vector<MemoryBudget::OwnerId> woken;
  std::vector<MemoryBudget::OwnerId> evicted;
};

using Owners = std::vector<MemoryBudget::OwnerId>;

// Guards against answers that take more memory than the budget has granted.
TEST_CASE("a buffered answer reserves the memory that it takes") {
  for (const size_t piece : {size_t{1}, size_t{700}, size_t{16'384}, 3 * kMb}) {
    CAPTURE(piece);
    Fixture f;
    AnswerBuffer buffer(&f.budget);
    std::string sent;
    for (char letter = 'a'; sent.size() < 64 * piece; ++letter) {
      const std::string data(piece, letter == 'z' ? letter = 'a' : letter);
      if (!buffer.Append(data)) {
        break;
      }
      sent += data;
      size_t taken = 0;
      for (const std::string& block : buffer.blocks()) {
        taken += block.capacity();
      }
      REQUIRE(taken <= f.budget.held_bytes());
    }
    std::string kept;
    for (const std::string& block : buffer.blocks()) {
      kept += block;
    }
    CHECK(kept.starts_with(sent));
    CHECK(f.budget.held_bytes() <= kMaxWholeAnswerBytes);
    buffer.Clear();
    CHECK(f.budget.held_bytes() == 0);
  }
}

// Guards against other callers' requests that fail because of a server whose
// answers never end.
TEST_CASE("small answers get memory when large ones have used their part") {
  Fixture f;
  std::vector<std::unique_ptr<AnswerBuffer>> endless;
  for (int i = 0; i < 60; ++i) {
    endless.push_back(std::make_unique<AnswerBuffer>(&f.budget));
  }
  // In turn, until none gets more.
  const std::string data(16'384, 'x');
  for (bool has_grown = true; has_grown;) {
    has_grown = false;
    for (const auto& buffer : endless) {
      has_grown = buffer->Append(data) || has_grown;
    }
  }
  AnswerBuffer sound(&f.budget);
  CHECK(sound.Append(std::string(800, 'x')));
  EventSplitter events(&f.budget);
  CHECK(events.Feed("id: 1\ndata: a\n\n"));
}

TEST_CASE("a small VM buffers one answer of the largest size") {
  Fixture f;
  AnswerBuffer buffer(&f.budget);
  const std::string data(kMaxWholeAnswerBytes / 1000, 'x');
  size_t size = 0;
  while (size + data.size() <= kMaxWholeAnswerBytes) {
    REQUIRE(buffer.Append(data));
    size += data.size();
  }
  CHECK(buffer.Append(std::string(kMaxWholeAnswerBytes - size, 'x')));
  CHECK_FALSE(buffer.Append("x"));
}

TEST_CASE("one owner of the largest body is served when nothing else is held") {
  Fixture f;
  const auto owner = f.Add();
  CHECK(f.budget.Reserve(owner, 4 * kMb));
  CHECK(f.budget.held_bytes() == 4 * kMb);
  CHECK(f.budget.Reserve(owner, kMb));
  CHECK(f.budget.held_bytes() == kMb);
  CHECK(f.pressure == 0);
  CHECK_FALSE(f.budget.Check());
}

TEST_CASE("small owners get memory when large ones have used their part") {
  Fixture f;
  const auto large = f.Add();
  CHECK(f.budget.Reserve(large, 6 * kMb));
  CHECK_FALSE(f.budget.Reserve(f.Add(), kMaxSmallOwnerBytes + 1));
  CHECK(f.pressure == 1);
  CHECK(f.budget.Reserve(f.Add(), kMaxSmallOwnerBytes));
}

// Guards against ordinary idle connections that are closed, one after the
// other, while a large request waits for memory.
TEST_CASE("owners that hold little are not evicted for one that waits") {
  Fixture f;
  const auto idle = f.Add();
  f.budget.Record(idle, 45);
  const auto large = f.Add();
  CHECK(f.budget.Reserve(large, 5 * kMb));
  const auto waiting = f.Add();
  CHECK_FALSE(f.budget.Reserve(waiting, 2 * kMb));
  f.budget.Wait(waiting, 2 * kMb);
  f.now += Duration(kMinStall) * 60;
  f.budget.OnProgress(large);
  f.budget.Check();
  CHECK(f.evicted.empty());
  f.now += kMinStall;
  f.budget.Check();
  CHECK(f.evicted == Owners{large});
  CHECK(f.woken == Owners{waiting});
}

// Guards against a request that has ended and for which others are evicted.
TEST_CASE("a cancelled wait evicts nobody") {
  Fixture f;
  CHECK(f.budget.Reserve(f.Add(), 6 * kMb));
  const auto waiting = f.Add();
  CHECK_FALSE(f.budget.Reserve(waiting, kMb));
  f.budget.Wait(waiting, kMb);
  f.budget.Check();
  f.budget.CancelWait(waiting);
  f.now += kMinStall;
  CHECK_FALSE(f.budget.Check());
  CHECK(f.evicted.empty());
}

TEST_CASE("an owner that waits continues when another one has ended") {
  Fixture f;
  const auto first = f.Add();
  const auto second = f.Add();
  CHECK(f.budget.Reserve(first, 4 * kMb));
  CHECK(f.budget.Reserve(second, 2 * kMb));
  CHECK_FALSE(f.budget.Reserve(second, 4 * kMb));
  f.budget.Wait(second, 4 * kMb);
  CHECK(f.budget.Check());
  CHECK(f.woken.empty());
  f.budget.Close(first);
  CHECK_FALSE(f.budget.Check());
  CHECK(f.woken == Owners{second});
  CHECK(f.evicted.empty());
  CHECK(f.budget.held_bytes() == 4 * kMb);
  CHECK(f.budget.waits() == 1);
}

TEST_CASE("the owner with the most memory and the least progress is evicted") {
  Fixture f;
  const auto stalled = f.Add();
  const auto active = f.Add();
  const auto small = f.Add();
  const auto waiting = f.Add();
  f.budget.Record(stalled, 3 * kMb);
  f.budget.Record(active, 3 * kMb);
  f.budget.Record(small, 1000);
  CHECK_FALSE(f.budget.Reserve(waiting, kMb));
  f.budget.Wait(waiting, kMb);
  f.now += kMinStall - std::chrono::milliseconds(1);
  f.budget.OnProgress(active);
  CHECK(f.budget.Check());
  CHECK(f.evicted.empty());
  f.now += std::chrono::milliseconds(1);
  CHECK_FALSE(f.budget.Check());
  CHECK(f.evicted == Owners{stalled});
  CHECK(f.woken == Owners{waiting});
}

TEST_CASE("owners beyond the budget are evicted until it is kept") {
  Fixture f;
  for (int i = 0; i < 5; ++i) {
    f.budget.Record(f.Add(), 4 * kMb);
  }
  CHECK(f.pressure > 0);
  f.now += kMinStallWhenFull;
  CHECK_FALSE(f.budget.Check());
  CHECK(f.evicted.size() == 3);
  CHECK(f.budget.held_bytes() == 8 * kMb);
}

TEST_CASE("an owner that waits for this process is not evicted") {
  Fixture f;
  MemoryBudget::OwnerId served = 0;
  served = f.budget.Open({.on_room = nullptr,
                          .on_evicted = [&] { f.evicted.push_back(served); },
                          .refresh = [&] { f.budget.OnProgress(served); }});
  f.budget.Record(served, 9 * kMb);
  f.now += std::chrono::seconds(20);
  CHECK(f.budget.Check());
  CHECK(f.evicted.empty());
}

TEST_CASE(
    "an account returns what it holds when it is closed by its eviction") {
  Fixture f;
  std::map<int, std::unique_ptr<MemoryAccount>> accounts;
  for (int i = 0; i < 3; ++i) {
    accounts[i] = std::make_unique<MemoryAccount>(
        &f.budget, MemoryBudget::OwnerHooks{
                       .on_room = nullptr,
                       .on_evicted = [&accounts, i] { accounts.erase(i); },
                       .refresh = nullptr});
    accounts[i]->Record(3 * kMb);
  }
  f.now += kMinStall;
  f.budget.Check();
  CHECK(accounts.size() == 2);
  accounts.clear();
  CHECK(f.budget.held_bytes() == 0);
  CHECK(f.budget.evictions() == 1);
}

TEST_CASE("answers have a limit of their own") {
  Fixture f;
  CHECK(f.budget.ReserveAnswer(kMaxWholeAnswerBytes, kMaxWholeAnswerBytes));
  CHECK_FALSE(f.budget.ReserveAnswer(1, kMaxSmallAnswerBytes + 1));
  CHECK(f.budget.ReserveAnswer(kMaxSmallAnswerBytes, kMaxSmallAnswerBytes));
  f.budget.ReleaseAnswer(kMaxSmallAnswerBytes);
  f.budget.ReleaseAnswer(kMaxWholeAnswerBytes);
  CHECK(f.budget.held_bytes() == 0);
}

TEST_CASE("limits that the settings leave open follow from the VM") {
  const ProcessResources vm{.memory_bytes = 120 * kMb, .descriptors = 3075};
  const MemorySettings limits = ResolveLimits({}, vm);
  CHECK(limits.budget_bytes == 30 * kMb);
  CHECK(limits.max_callers == 2307);
  CHECK(limits.max_peer_connections == 192);
  CHECK(limits.max_operator_connections == 96);
  MemorySettings named{.budget_bytes = 5 * kMb, .max_callers = 7};
  named.max_operator_connections = 3;
  CHECK(ResolveLimits(named, vm).budget_bytes == 5 * kMb);
  CHECK(ResolveLimits(named, vm).max_callers == 7);
  CHECK(ResolveLimits(named, vm).max_operator_connections == 3);
  CHECK(ReadProcessResources().memory_bytes > kMb);
  CHECK(ReadProcessResources().descriptors > 0);
}

}  // namespace
}  // namespace bramleybank
