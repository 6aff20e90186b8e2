// Guards the rules for one non-idempotent call. Each case delivers the answers
// in an order in which a weaker rule would fail.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "bramleybank/limits.h"
#include "call_machine.h"

namespace bramleybank {
namespace {

using Kind = CallActionKind;
using std::chrono::seconds;

constexpr TableWriteResult kUnknownWrite{.status = TableWriteStatus::kUnknown,
                                         .version = 0};
constexpr TableWriteResult kConflict{.status = TableWriteStatus::kConflict,
                                     .version = 0};
const TableReadResult kUnavailableRead{};

TableWriteResult Written(uint64_t version) {
  return {.status = TableWriteStatus::kWritten, .version = version};
}

TableReadResult Found(const CallRow& row, uint64_t version) {
  return {.status = TableReadStatus::kFound,
          .row = {.value = FormatCallRow(row), .version = version}};
}

TableReadResult NotFound() {
  return {.status = TableReadStatus::kNotFound, .row = {}};
}

/// A machine with a manual clock and a list of endpoints.
struct Fixture {
  TimePoint now{seconds(100)};
  std::mt19937_64 random{7};
  std::vector<std::string> endpoints = {"e1", "e2"};
  CallMachine machine;

  Fixture()
      : machine(
            {.owner = "d1-0",
             .request_hash = "h",
             .clock = [this] { return now; },
             .random = [this] { return random(); },
             .choose_endpoint = [this](const std::vector<std::string>& avoid)
                 -> std::optional<std::string> {
               for (const std::string& endpoint : endpoints) {
                 if (std::ranges::find(avoid, endpoint) == avoid.end()) {
                   return endpoint;
                 }
               }
               return std::nullopt;
             }}) {}

  CallRow MakeRow(CallRowState state, const std::string& claim) const {
    CallRow row{.state = state,
                .claim = claim,
                .request_hash = "h",
                .answer = {},
                .object = {}};
    if (state == CallRowState::kDone) {
      row.answer = {.status = 201, .headers = {{"A", "b"}}, .body = "\xff ok"};
    }
    return row;
  }
  CallRow OwnRow(CallRowState state) const {
    return MakeRow(state, machine.claim());
  }
};

const CallAction* Find(const CallMachine::Actions& actions, Kind kind) {
  const auto it = std::ranges::find(actions, kind, &CallAction::kind);
  return it == actions.end() ? nullptr : &*it;
}

CallRow Parse(const CallAction* write) {
  REQUIRE(write != nullptr);
  const auto row = ParseCallRow(write->value);
  REQUIRE(row);
  return *row;
}

void CheckRefused(const CallMachine::Actions& actions,
                  ResultCode code,
                  RefusalOutcome outcome) {
  const CallAction* refusal = Find(actions, Kind::kRefuse);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->refusal.code == code);
  CHECK(refusal->refusal.outcome == outcome);
  CHECK(Find(actions, Kind::kDispatch) == nullptr);
}

TEST_CASE_FIXTURE(Fixture, "claim, dispatch, record, answer") {
  auto actions = machine.Start();
  const CallAction* claim = Find(actions, Kind::kWriteRow);
  CHECK(Parse(claim) == OwnRow(CallRowState::kClaimed));
  CHECK(claim->expected_version == kNoRow);
  actions = machine.OnWriteResult(Written(1));
  REQUIRE(Find(actions, Kind::kDispatch) != nullptr);
  actions = machine.OnAnswer({.status = 201, .headers = {}, .body = "ok"});
  CHECK(Find(actions, Kind::kAnswer) == nullptr);
  const CallAction* record = Find(actions, Kind::kWriteRow);
  CHECK(Parse(record).state == CallRowState::kDone);
  CHECK(record->expected_version == 1);
  actions = machine.OnWriteResult(Written(2));
  REQUIRE(Find(actions, Kind::kAnswer) != nullptr);
  CHECK(Find(actions, Kind::kAnswer)->answer.body == "ok");
  CHECK(machine.is_settled());
}

TEST_CASE_FIXTURE(Fixture, "a lost claim answer is read back and dispatched") {
  machine.Start();
  CHECK(Find(machine.OnWriteResult(kUnknownWrite), Kind::kReadRow) != nullptr);
  const auto actions =
      machine.OnReadResult(Found(OwnRow(CallRowState::kClaimed), 1));
  CHECK(Find(actions, Kind::kDispatch) != nullptr);
}

TEST_CASE_FIXTURE(Fixture, "an unverified claim is given up and released") {
  machine.Start();
  machine.OnWriteResult(kUnknownWrite);
  CallMachine::Actions actions;
  SUBCASE("no row") {
    actions = machine.OnReadResult(NotFound());
    CheckRefused(actions, ResultCode::kPlatformAnswerLost,
                 RefusalOutcome::kNotRun);
  }
  SUBCASE("table down") {
    actions = machine.OnReadResult(kUnavailableRead);
    CheckRefused(actions, ResultCode::kPlatformDown, RefusalOutcome::kNotRun);
  }
  SUBCASE("caller gone") {
    CHECK(machine.OnCallerGone().empty());
    actions = machine.OnReadResult(Found(OwnRow(CallRowState::kClaimed), 1));
  }
  const CallAction* release = Find(actions, Kind::kWriteRow);
  CHECK(Parse(release) == OwnRow(CallRowState::kReleased));
  CHECK_FALSE(machine.is_settled());
  machine.OnWriteResult(Written(2));
  CHECK(machine.is_settled());
}

TEST_CASE_FIXTURE(Fixture, "a release is retried until the table holds it") {
  machine.Start();
  machine.OnWriteResult(kUnknownWrite);
  auto actions = machine.OnReadResult(NotFound());
  SUBCASE("a late claim is found and released") {
    CHECK(Find(machine.OnWriteResult(kConflict), Kind::kReadRow) != nullptr);
    actions = machine.OnReadResult(Found(OwnRow(CallRowState::kClaimed), 1));
    CHECK(Find(actions, Kind::kWriteRow)->expected_version == 1);
  }
  SUBCASE("the release is retried until the table takes it") {
    for (int i = 0; i < 5; ++i) {
      actions = machine.OnWriteResult(kUnknownWrite);
      CHECK(Find(actions, Kind::kSchedule)->timer == CallTimer::kBackoff);
      now += seconds(2);
      actions = machine.OnTimer(CallTimer::kBackoff);
      CHECK(Parse(Find(actions, Kind::kWriteRow)).state ==
            CallRowState::kReleased);
    }
  }
  machine.OnWriteResult(Written(2));
  CHECK(machine.is_settled());
}

TEST_CASE_FIXTURE(Fixture,
                  "a reclaim that may take effect late is not trusted") {
  machine.Start();
  machine.OnWriteResult(kConflict);
  auto actions =
      machine.OnReadResult(Found(MakeRow(CallRowState::kReleased, "other"), 4));
  CHECK(Find(actions, Kind::kWriteRow)->expected_version == 4);
  machine.OnWriteResult(kUnknownWrite);
  // The old row is unchanged, so the reclaim can still take effect at any time.
  actions =
      machine.OnReadResult(Found(MakeRow(CallRowState::kReleased, "other"), 4));
  CheckRefused(actions, ResultCode::kPlatformAnswerLost,
               RefusalOutcome::kNotRun);
  CHECK(Parse(Find(actions, Kind::kWriteRow)).state == CallRowState::kReleased);
  CHECK(Find(actions, Kind::kWriteRow)->expected_version == 4);
}

TEST_CASE_FIXTURE(Fixture, "a table that fails while another claim is known") {
  machine.Start();
  machine.OnWriteResult(kUnknownWrite);
  machine.OnReadResult(Found(MakeRow(CallRowState::kClaimed, "other"), 1));
  machine.OnTimer(CallTimer::kBackoff);
  // The other claimant may run the call, so not_run would be wrong.
  CHECK(Find(machine.OnReadResult(kUnavailableRead), Kind::kRefuse) == nullptr);
  now += kCallWaitTimeout;
  machine.OnTimer(CallTimer::kBackoff);
  CheckRefused(machine.OnReadResult(kUnavailableRead),
               ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
}

TEST_CASE_FIXTURE(Fixture, "after a pause the call is not dispatched") {
  machine.Start();
  now += kCallClaimTimeout;
  SUBCASE("the claim answer is handled first") {}
  SUBCASE("the deadline timer is handled first") {
    CheckRefused(machine.OnTimer(CallTimer::kDeadline),
                 ResultCode::kCallGivenUp, RefusalOutcome::kNotRun);
  }
  const auto actions = machine.OnWriteResult(Written(1));
  CHECK(Find(actions, Kind::kDispatch) == nullptr);
  CHECK(Parse(Find(actions, Kind::kWriteRow)).state == CallRowState::kReleased);
  CHECK(Find(actions, Kind::kWriteRow)->expected_version == 1);
}

TEST_CASE_FIXTURE(Fixture, "a claim that was not written needs no release") {
  machine.Start();
  CheckRefused(machine.OnWriteResult(
                   {.status = TableWriteStatus::kNotWritten, .version = 0}),
               ResultCode::kPlatformDown, RefusalOutcome::kNotRun);
  CHECK(machine.is_settled());
}

TEST_CASE_FIXTURE(Fixture,
                  "only a refused connection allows a second dispatch") {
  machine.Start();
  auto actions = machine.OnWriteResult(Written(1));
  CHECK(Find(actions, Kind::kDispatch)->endpoint == "e1");
  actions = machine.OnConnectFailed();
  CHECK(Find(actions, Kind::kDispatch)->endpoint == "e2");
  SUBCASE("no endpoint is left") {
    actions = machine.OnConnectFailed();
    CheckRefused(actions, ResultCode::kServiceUnreachable,
                 RefusalOutcome::kNotRun);
    CHECK(Parse(Find(actions, Kind::kWriteRow)).state ==
          CallRowState::kReleased);
  }
  SUBCASE("the caller has disconnected meanwhile") {
    machine.OnCallerGone();
    endpoints.emplace_back("e3");
    CHECK(Find(machine.OnConnectFailed(), Kind::kDispatch) == nullptr);
  }
  SUBCASE("bytes were sent") {
    actions = machine.OnAnswerLost();
    CheckRefused(actions, ResultCode::kOutcomeUnknown,
                 RefusalOutcome::kUnknown);
    CHECK(Parse(Find(actions, Kind::kWriteRow)).state == CallRowState::kLost);
    CHECK(machine.OnConnectFailed().empty());
    CHECK(machine.OnAnswer({}).empty());
  }
}

TEST_CASE_FIXTURE(Fixture, "the answer does not wait long for its record") {
  machine.Start();
  machine.OnWriteResult(Written(1));
  machine.OnAnswer({.status = 201, .headers = {}, .body = "ok"});
  CHECK(Find(machine.OnTimer(CallTimer::kAnswer), Kind::kAnswer) != nullptr);
  CHECK_FALSE(machine.is_settled());
  machine.OnWriteResult(kUnknownWrite);
  machine.OnTimer(CallTimer::kBackoff);
  // The first write of the record had taken effect.
  machine.OnWriteResult(kConflict);
  machine.OnReadResult(Found(OwnRow(CallRowState::kDone), 2));
  CHECK(machine.is_settled());
  CHECK_FALSE(machine.is_abandoned());
}

TEST_CASE_FIXTURE(Fixture, "a record that fails for too long is dropped") {
  machine.Start();
  machine.OnWriteResult(Written(1));
  machine.OnAnswer({});
  now += kCallBackgroundTimeout;
  machine.OnWriteResult(kUnknownWrite);
  CHECK(machine.is_settled());
  CHECK(machine.is_abandoned());
}

TEST_CASE_FIXTURE(Fixture, "a large result goes to the object store first") {
  const std::string body(kMaxInlineResultBytes + 1, 'x');
  machine.Start();
  machine.OnWriteResult(Written(1));
  auto actions = machine.OnAnswer({.status = 200, .headers = {}, .body = body});
  CHECK(Find(actions, Kind::kWriteRow) == nullptr);
  const CallAction put = *Find(actions, Kind::kPutObject);
  CHECK(put.value == body);
  machine.OnObjectPut(false);
  machine.OnTimer(CallTimer::kBackoff);
  actions = machine.OnObjectPut(true);
  const CallRow row = Parse(Find(actions, Kind::kWriteRow));
  CHECK(row.object == put.object);
  CHECK(row.answer.body.empty());
  actions = machine.OnWriteResult(Written(2));
  CHECK(Find(actions, Kind::kAnswer)->answer.body == body);
}

TEST_CASE_FIXTURE(Fixture, "an existing row decides on the reply") {
  machine.Start();
  machine.OnWriteResult(kConflict);
  SUBCASE("a result is replayed byte for byte") {
    const CallRow done = MakeRow(CallRowState::kDone, "other");
    const auto actions = machine.OnReadResult(Found(done, 2));
    REQUIRE(Find(actions, Kind::kAnswer) != nullptr);
    CHECK(Find(actions, Kind::kAnswer)->answer == done.answer);
    CHECK(Find(actions, Kind::kAnswer)->replayed);
  }
  SUBCASE("another request under the key is refused") {
    CallRow row = MakeRow(CallRowState::kDone, "other");
    row.request_hash = "h2";
    CheckRefused(machine.OnReadResult(Found(row, 2)), ResultCode::kKeyReuse,
                 RefusalOutcome::kNotRun);
  }
  SUBCASE("a lost call stays unknown") {
    CheckRefused(
        machine.OnReadResult(Found(MakeRow(CallRowState::kLost, "other"), 2)),
        ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
  }
  SUBCASE("a row of a newer format is never run") {
    CheckRefused(machine.OnReadResult(
                     {.status = TableReadStatus::kFound,
                      .row = {.value = R"({"format":2})", .version = 1}}),
                 ResultCode::kOutcomeUnknown, RefusalOutcome::kUnknown);
  }
  SUBCASE("polling for another claim ends as unknown") {
    const CallRow claim = MakeRow(CallRowState::kClaimed, "other");
    auto actions = machine.OnReadResult(Found(claim, 1));
    while (Find(actions, Kind::kRefuse) == nullptr) {
      REQUIRE(Find(actions, Kind::kSchedule) != nullptr);
      REQUIRE(now < TimePoint(seconds(200)));
      now += Find(actions, Kind::kSchedule)->delay;
      machine.OnTimer(CallTimer::kBackoff);
      actions = machine.OnReadResult(Found(claim, 1));
    }
    CheckRefused(actions, ResultCode::kOutcomeUnknown,
                 RefusalOutcome::kUnknown);
    CHECK(now >= TimePoint(seconds(100)) + kCallWaitTimeout);
  }
  CHECK(machine.is_settled());
}

TEST_CASE_FIXTURE(Fixture, "without an endpoint a result is still replayed") {
  endpoints.clear();
  auto actions = machine.Start();
  CHECK(Find(actions, Kind::kWriteRow) == nullptr);
  SUBCASE("recorded") {
    actions = machine.OnReadResult(Found(MakeRow(CallRowState::kDone, "o"), 2));
    CHECK(Find(actions, Kind::kAnswer) != nullptr);
  }
  SUBCASE("no row") {
    CheckRefused(machine.OnReadResult(NotFound()), ResultCode::kNoEndpoint,
                 RefusalOutcome::kNotRun);
  }
}

}  // namespace
}  // namespace bramleybank
