// Tests of small parts of the gateway: routes, events, headers.
#include <doctest/doctest.h>

#include <optional>

#include "bramleybank/limits.h"
#include "event_splitter.h"
#include "gateway_config.h"
#include "gateway_headers.h"
#include "memory_budget.h"

namespace bramleybank {
namespace {

constexpr size_t kBudgetBytes = 8 * 1024 * 1024;

GatewayRoute MakeRoute(const std::string& name,
                       const std::string& host,
                       const std::string& prefix) {
  GatewayRoute route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  return route;
}

GatewayConfigValues MakeValues() {
  GatewayConfigValues values;
  values.routes = {MakeRoute("a", "h.example", "/a/"),
                   MakeRoute("ab", "h.example", "/a/b/"),
                   MakeRoute("other", "o.example", "/")};
  values.customers = {
      {.name = "first", .keys = {"k1", "k2"}, .priority = std::nullopt}};
  return values;
}

std::string RouteName(const GatewayConfig& config,
                      std::string_view host,
                      std::string_view path) {
  const GatewayRoute* route = config.FindRoute(host, path);
  return route == nullptr ? "" : route->name;
}

// Guards against requests that are routed to the service of another route.
TEST_CASE("the longest prefix of the host selects the route") {
  const GatewayConfig config(MakeValues());
  CHECK(RouteName(config, "h.example", "/a/x") == "a");
  CHECK(RouteName(config, "h.example", "/a/b/x") == "ab");
  CHECK(RouteName(config, "h.example", "/a/b") == "a");
  CHECK(RouteName(config, "h.example", "/ab/x").empty());
  CHECK(RouteName(config, "h.example", "/").empty());
  CHECK(RouteName(config, "H.Example:8080", "/a/") == "a");
  CHECK(RouteName(config, "o.example", "/any") == "other");
  CHECK(RouteName(config, "unknown.example", "/a/").empty());
  CHECK(RouteName(config, "h.example", "no-slash").empty());
}

TEST_CASE("a key names the customer that holds it") {
  const GatewayConfig config(MakeValues());
  REQUIRE(config.FindCustomer("k2") != nullptr);
  CHECK(config.FindCustomer("k2")->name == "first");
  CHECK(config.FindCustomer("k3") == nullptr);
  CHECK(config.FindCustomer("") == nullptr);
}

// Guards against forwarding a partial event when its engine dies in the middle
// of it.
TEST_CASE("an event is returned unchanged once it is complete") {
  MemoryBudget budget(kBudgetBytes, &SteadyNow, nullptr);
  EventSplitter splitter(&budget);
  splitter.Feed("id: 7\ndata: a\n");
  CHECK_FALSE(splitter.Next());
  CHECK(splitter.pending_bytes() > 0);
  splitter.Feed("\nid:8\r\ndata: b\r\n\r\nid: x\n");
  const auto first = splitter.Next();
  REQUIRE(first);
  CHECK(first->bytes == "id: 7\ndata: a\n\n");
  CHECK(first->id == 7);
  const auto second = splitter.Next();
  REQUIRE(second);
  CHECK(second->bytes == "id:8\r\ndata: b\r\n\r\n");
  CHECK(second->id == 8);
  CHECK_FALSE(splitter.Next());
  splitter.Feed("\n");
  const auto third = splitter.Next();
  REQUIRE(third);
  CHECK_FALSE(third->id);
  CHECK(splitter.pending_bytes() == 0);
}

// Guards against unfinished events that take more memory than the budget has
// granted, and against open streams that keep what a long read took.
TEST_CASE("an unfinished event reserves the memory that it takes") {
  MemoryBudget budget(kBudgetBytes, &SteadyNow, nullptr);
  std::optional<EventSplitter> splitter(&budget);
  CHECK(splitter->Feed("data: a\n\ndata: "));
  CHECK(splitter->Next());
  CHECK_FALSE(splitter->Next());
  const size_t open = budget.held_bytes();
  CHECK(open <= kEventBufferBytes);
  for (int i = 0; i < 20; ++i) {
    CHECK(splitter->Feed(std::string(10'000, 'y')));
    CHECK_FALSE(splitter->Next());
    CHECK(budget.held_bytes() >= splitter->pending_bytes());
  }
  CHECK(splitter->Feed("\n\ndata: b"));
  CHECK(splitter->Next()->bytes.size() == 200'008);
  CHECK_FALSE(splitter->Next());
  CHECK(budget.held_bytes() == open);
  CHECK(splitter->Feed("\n\n"));
  CHECK(splitter->Next()->bytes == "data: b\n\n");
  splitter.reset();
  CHECK(budget.held_bytes() == 0);
}

// Guards against forwarding hop-by-hop headers.
TEST_CASE("hop-by-hop headers are not forwarded") {
  const HttpHeaders kept =
      RemoveHopByHopHeaders({{"Host", "h"},
                             {"connection", "close, X-Hop"},
                             {"x-hop", "1"},
                             {"Keep-Alive", "timeout=5"},
                             {"Transfer-Encoding", "chunked"},
                             {"Content-Length", "3"},
                             {"X-Stays", "1"}});
  CHECK(kept == HttpHeaders{{"Host", "h"}, {"X-Stays", "1"}});
}

}  // namespace
}  // namespace bramleybank
