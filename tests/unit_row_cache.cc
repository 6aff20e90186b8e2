// The cached copy from which a relay answers other gateways.
#include "row_cache.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "relay_fleet.h"

namespace bramleybank {
namespace {

TEST_CASE("a relay's cache answers reads and waits as the store does") {
  RowCache cache;
  CHECK_FALSE(cache.ChangesAfter(0).has_value());
  cache.AddPage(true, MakeRows(5, {MakeRow("a", 1), MakeRow("b", 2)}));
  cache.AddChanges(5, MakeRows(7, {MakeRow("c", 6), MakeDeleted("a", 7)}));
  CHECK(KeysOf(*cache.ChangesAfter(5)) == Keys{"+c", "-a"});
  CHECK(cache.ChangesAfter(7)->rows.empty());
  CHECK(KeysOf(cache.PageAfter("")) == Keys{"+b", "+c"});
  CHECK(KeysOf(cache.PageAfter("b")) == Keys{"+c"});
  // Guards against changes that a follower misses: rows deleted before the copy
  // was read are not known.
  CHECK_FALSE(cache.ChangesAfter(4).has_value());
}

// Guards against a row that is replaced by an older version when an answer
// arrives late.
TEST_CASE("an older answer does not overwrite a newer row") {
  RowCache cache;
  cache.AddPage(true, MakeRows(5, {MakeRow("a", 1)}));
  cache.AddChanges(5, MakeRows(9, {MakeRow("a", 9)}));
  cache.AddChanges(5, MakeRows(7, {MakeRow("a", 7)}));
  CHECK(cache.version() == 9);
  CHECK(cache.PageAfter("").rows == std::vector{MakeRow("a", 9)});
}

// Guards against a relay that serves a copy in which changes are missing.
TEST_CASE("changes that are not contiguous make the cache incomplete") {
  RowCache cache;
  cache.AddPage(true, MakeRows(5, {MakeRow("a", 1)}));
  cache.AddChanges(8, MakeRows(9, {MakeRow("b", 9)}));
  CHECK_FALSE(cache.is_complete());
  cache.AddPage(true, MakeRows(10, {MakeRow("b", 9)}));
  CHECK(cache.is_complete());
  // Rows that a read no longer contains are reported as deleted.
  CHECK(KeysOf(cache.PageAfter("")) == Keys{"+b"});
  CHECK_FALSE(cache.ChangesAfter(9).has_value());
}

// Guards against memory that grows with the number of all endpoints that ever
// existed.
TEST_CASE("deleted rows are dropped, and followers read again") {
  RowCache cache;
  cache.AddPage(true, MakeRows(1, {}));
  for (uint64_t i = 2; i < kMaxRelayTombstones + 12; ++i) {
    cache.AddChanges(i - 1, MakeRows(i, {MakeDeleted(std::to_string(i), i)}));
  }
  CHECK_FALSE(cache.ChangesAfter(5).has_value());
  CHECK(cache.ChangesAfter(20)->rows.size() <= kMaxRelayTombstones);
}

// Guards against rows of one transaction that are split between two answers.
TEST_CASE("an answer is split between versions only") {
  RowCache cache;
  std::vector<StoreRow> rows;
  for (int i = 0; i < 20; ++i) {
    StoreRow row = MakeRow("k" + std::to_string(i), i < 10 ? 5 : 6);
    row.value.assign(kMaxRelayAnswerBytes / 8, 'x');
    rows.push_back(row);
  }
  cache.AddPage(true, MakeRows(1, {}));
  cache.AddChanges(1, MakeRows(6, rows));
  const auto first = cache.ChangesAfter(1);
  REQUIRE(first.has_value());
  CHECK(first->rows.size() == 10);
  CHECK(first->version == 5);
  CHECK(cache.ChangesAfter(first->version)->rows.size() == 10);
}

TEST_CASE("a copy of another era replaces the cached one when it is complete") {
  RowCache cache;
  cache.AddPage(true, MakeRows(9, {MakeRow("a", 8), MakeRow("lost", 9)}));
  StoreRows first = MakeRows({5, 1}, {MakeRow("a", {3, 1})});
  CHECK_FALSE(cache.AddChanges(9, first));
  first.has_more = true;
  CHECK_FALSE(cache.AddPage(true, first));
  CHECK(cache.is_complete());
  CHECK(KeysOf(cache.PageAfter("")) == Keys{"+a", "+lost"});
  // A page of yet another era belongs to another read.
  CHECK_FALSE(cache.AddPage(false, MakeRows({5, 2}, {MakeRow("x", {5, 2})})));

  CHECK(cache.AddPage(false, MakeRows({6, 1}, {MakeRow("b", {6, 1})})));
  CHECK(KeysOf(cache.PageAfter("")) == Keys{"+a", "+b"});
  CHECK(cache.version() == StoreVersion(5, 1));
  CHECK_FALSE(cache.ChangesAfter(9).has_value());
  CHECK_FALSE(cache.ChangesAfter({9, 2}).has_value());
  CHECK(cache.ChangesAfter({6, 1})->rows.empty());
}

}  // namespace
}  // namespace bramleybank
