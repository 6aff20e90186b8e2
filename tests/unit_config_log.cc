// Guards against changes that are applied partially or out of order, and
// against a configuration that goes back to an earlier number.
#include <doctest/doctest.h>

#include "config_confirmations.h"
#include "config_fake_platform.h"
#include "config_log.h"
#include "member_table.h"

namespace bramleybank {
namespace {

using testing::AddCustomer;

EndpointConfig Endpoint(const std::string& address) {
  return {.address = address,
          .kind = EndpointKind::kEngine,
          .group = "m",
          .version = "v1",
          .adapter = "",
          .region = "north",
          .failure_domain = "north-1"};
}

ConfigChange Change(uint64_t number,
                    ConfigAction action,
                    const ConfigSubject& subject) {
  return {number, "id-" + std::to_string(number), action, subject};
}

TEST_CASE("every kind of change can be serialized, parsed and applied") {
  const EndpointConfig first = Endpoint("10.1.0.1:9000");
  const EndpointConfig second = Endpoint("10.1.0.2:9000");
  EndpointConfig newer = first;
  newer.version = "v2";
  const ServiceConfig service{"booking", {"POST /rounds"}};
  const ConfigChange changes[] = {
      Change(1, ConfigAction::kAdd, first),
      Change(2, ConfigAction::kAdd, second),
      Change(3, ConfigAction::kReplace, newer),
      Change(4, ConfigAction::kMarkLeaving, second),
      Change(5, ConfigAction::kAdd, service),
      Change(6, ConfigAction::kAdd, CustomerConfig{.name = "a", .weight = 2}),
      Change(7, ConfigAction::kAdd, CustomerConfig{.name = "b"}),
      Change(8, ConfigAction::kRemove, CustomerConfig{.name = "a"}),
      Change(9, ConfigAction::kRemove, ServiceConfig{"booking", {}}),
      Change(10, ConfigAction::kReplace,
             CustomerConfig{.name = "b", .requests_per_s = 3})};
  ConfigLog log;
  REQUIRE(log.Load({}));
  for (const ConfigChange& change : changes) {
    Reason error;
    const auto read = ParseConfigChange(FormatConfigChange(change), &error);
    REQUIRE(read);
    CHECK(FormatConfigChange(*read) == FormatConfigChange(change));
    CHECK(log.Apply(*read) == ConfigApplyResult::kApplied);
  }
  EndpointConfig leaving = second;
  leaving.leaving = true;
  CHECK(*log.Snapshot() ==
        ConfigSnapshot{.number = 10,
                       .endpoints = {newer, leaving},
                       .services = {},
                       .customers = {{.name = "b", .requests_per_s = 3}}});
}

TEST_CASE("removing an element keeps the index of the others correct") {
  ConfigLog log;
  log.Load({.number = 0,
            .endpoints = {},
            .services = {},
            .customers = {{.name = "a"}, {.name = "b"}, {.name = "c"}}});
  log.Apply(Change(1, ConfigAction::kRemove, CustomerConfig{.name = "a"}));
  log.Apply(Change(2, ConfigAction::kReplace,
                   CustomerConfig{.name = "c", .weight = 5}));
  log.Apply(Change(3, ConfigAction::kRemove, CustomerConfig{.name = "b"}));
  CHECK(log.Snapshot()->customers ==
        std::vector<CustomerConfig>{{.name = "c", .weight = 5}});
}

TEST_CASE("an invalid change is refused with a reason and has no effect") {
  ConfigLog log;
  log.Load({});
  log.Apply(AddCustomer("a", "1", 1));
  const auto before = log.Snapshot();
  EndpointConfig bad = Endpoint("10.1.0.1:9000");
  bad.group.clear();
  for (const ConfigChange& change :
       {AddCustomer("a", "2", 2), AddCustomer("", "2", 2),
        AddCustomer("b", "", 2), Change(2, ConfigAction::kAdd, bad),
        Change(2, ConfigAction::kAdd, Endpoint("10.1.0.1")),
        Change(2, ConfigAction::kMarkLeaving, Endpoint("10.1.0.1:9000")),
        Change(2, ConfigAction::kMarkLeaving, CustomerConfig{.name = "a"}),
        Change(2, ConfigAction::kRemove, CustomerConfig{.name = "b"}),
        Change(2, ConfigAction::kAdd, ServiceConfig{"s", {"POST"}})}) {
    CHECK(log.Apply(change) == ConfigApplyResult::kRefused);
    CHECK_FALSE(log.last_reason().detail.empty());
  }
  CHECK(*log.Snapshot() == *before);
  Reason error;
  for (const char* text :
       {"", "[]", "{}", R"({"id":"x","action":"add"})",
        R"({"id":"x","action":"fly","customer":{"name":"a"}})",
        R"({"id":"x","action":"add","customer":{"name":"a","weight":-1}})",
        R"({"id":"x","action":"add","customer":"a"})",
        R"({"id":"x","action":"remove","endpoint":{"address":"a"}})"}) {
    CHECK_FALSE(ParseConfigChange(text, &error));
    CHECK(error.code == ResultCode::kBadConfiguration);
  }
}

TEST_CASE("the number never decreases and gaps are not skipped") {
  ConfigLog log;
  CHECK(log.Apply(AddCustomer("a", "1", 1)) == ConfigApplyResult::kGap);
  log.Load({.number = 7, .endpoints = {}, .services = {}, .customers = {}});
  CHECK(log.Apply(AddCustomer("a", "7", 7)) ==
        ConfigApplyResult::kAlreadyApplied);
  CHECK(log.Apply(AddCustomer("a", "9", 9)) == ConfigApplyResult::kGap);
  CHECK_FALSE(log.Load({.number = 7,
                        .endpoints = {},
                        .services = {},
                        .customers = {{.name = "x"}}}));
  CHECK(log.number() == 7);
  CHECK(log.Snapshot()->customers.empty());
  CHECK(log.Load(
      {.number = 8, .endpoints = {}, .services = {}, .customers = {}}));
  CHECK(log.Snapshot()->number == 8);
  // Changes from before a loaded snapshot are discarded, since they do not lead
  // to its number.
  CHECK(log.Apply(AddCustomer("a", "9", 9)) == ConfigApplyResult::kApplied);
  CHECK(log.Load(
      {.number = 20, .endpoints = {}, .services = {}, .customers = {}}));
  CHECK(log.AnswerAfter(19).snapshot->number == 20);
}

TEST_CASE("a returned snapshot does not change") {
  ConfigLog log;
  log.Load({});
  const auto before = log.Snapshot();
  log.Apply(AddCustomer("a", "1", 1));
  CHECK(before->customers.empty());
  CHECK(log.Snapshot()->customers.size() == 1);
}

TEST_CASE("peers get up to 1,000 changes, or a whole snapshot") {
  ConfigLog log;
  log.Load({});
  log.Apply(AddCustomer("c1", "x", 1));
  // A daemon that asks from number 0 may have no configuration to which a
  // change could be applied.
  CHECK(log.AnswerAfter(0).snapshot->number == 1);
  for (uint64_t number = 2; number <= 1500; ++number) {
    log.Apply(AddCustomer("c" + std::to_string(number), "x", number));
  }
  CHECK(log.AnswerAfter(1499).changes.size() == 1);
  CHECK(log.AnswerAfter(500).changes.size() == kMaxKeptConfigChanges);
  CHECK(log.AnswerAfter(500).snapshot == nullptr);
  CHECK(log.AnswerAfter(499).snapshot->number == 1500);
  CHECK(log.AnswerAfter(0).snapshot->number == 1500);
  CHECK(log.AnswerAfter(1500).changes.empty());
  Reason error;
  const auto read =
      ParseConfigAnswer(FormatConfigAnswer(log.AnswerAfter(1498)), &error);
  REQUIRE(read);
  CHECK(read->number == 1500);
  CHECK(read->changes == log.AnswerAfter(1498).changes);
  const auto whole =
      ParseConfigAnswer(FormatConfigAnswer(log.AnswerAfter(0)), &error);
  REQUIRE(whole);
  CHECK(*whole->snapshot == *log.Snapshot());
}

TEST_CASE("log keys sort by number") {
  CHECK(ConfigLogKey(7) == "config/log/00000000000000000007");
  CHECK(ParseConfigLogKey(ConfigLogKey(UINT64_MAX)) == UINT64_MAX);
  CHECK_FALSE(ParseConfigLogKey("config/log/7"));
  CHECK_FALSE(ParseConfigLogKey("config/log/0000000000000000000x"));
}

TEST_CASE("a configuration is in force when all live members have it") {
  MemberInfo info{.peer = "10.0.0.1:1", .region = {}, .failure_domain = {}};
  MemberTable table(info, {});
  table.ConfirmConfig(5);
  info.peer = "10.0.0.2:1";
  info.config_number = 4;
  table.Merge(info, {}, {}, {});
  info.peer = "10.0.0.3:1";
  info.state = MemberState::kDead;
  table.Merge(info, {}, {}, {});
  info.peer = "10.0.0.4:1";
  info.state = MemberState::kLeft;
  table.Merge(info, {}, {}, {});
  const ConfigConfirmations waiting = CheckConfirmations(table, 5);
  CHECK_FALSE(waiting.in_force);
  REQUIRE(waiting.waiting.size() == 1);
  CHECK(waiting.waiting[0].peer == "10.0.0.2:1");
  REQUIRE(waiting.unreachable.size() == 1);
  CHECK(waiting.unreachable[0].peer == "10.0.0.3:1");
  CHECK(CheckConfirmations(table, 4).in_force);
}

}  // namespace
}  // namespace bramleybank
