// Tests of the platform adapter: row values and headers in the formats of the
// users' platform.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base64.h"
#include "bramleybank/limits.h"
#include "http1_parser.h"
#include "request_headers.h"
#include "store_rows.h"

namespace bramleybank::platform {
namespace {

constexpr char kConfig[] = R"({"version":7,
"routes":[{"name":"r1","host":"f.example","prefix":"/p/","kind":"streaming",
"timeout_ms":25000,"target_latency_ms":4500,"priority":1,"service":"w",
"max_attempts":5,"anonymous":false,"sticky":true,"resumable":true,
"target_gap_ms":700},
{"name":"r2","host":"f.example","prefix":"/l/","kind":"unsafe",
"timeout_ms":2000,"traffic_split":[{"service":"w","weight":90},
{"service":"a","weight":10}],"max_attempts":1,"anonymous":true}],
"services":[{"name":"w","health_path":"/health","max_conns":160,
"engine":{"slots":12,"kv_capacity_tokens":88000,"backups":true,"handle_s":4.0}},
{"name":"a","health_path":"/health","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})";

TEST_CASE("a configuration is decoded") {
  const auto config = DecodeConfig(kConfig);
  REQUIRE(config);
  CHECK(config->version == 7);
  REQUIRE(config->routes.size() == 2);
  const GatewayRoute& stream = config->routes[0];
  CHECK(stream.kind == RequestKind::kStream);
  CHECK(stream.resumable);
  CHECK(stream.IsIdempotent());
  CHECK(stream.timeout == std::chrono::seconds(25));
  CHECK(stream.max_event_gap == std::chrono::milliseconds(700));
  CHECK(stream.services == std::vector<ServiceShare>{{"w", 1}});
  const GatewayRoute& call = config->routes[1];
  CHECK_FALSE(call.IsIdempotent());
  CHECK(call.anonymous);
  CHECK(call.services == std::vector<ServiceShare>{{"w", 90}, {"a", 10}});
  REQUIRE(config->services.size() == 2);
  CHECK(config->services[0].engine->supports_backups);
  CHECK_FALSE(config->services[1].engine);
  CHECK(config->customers[0].keys == std::vector<std::string>{"k1", "k2"});
  CHECK(config->limits.header_timeout == std::chrono::seconds(3));
}

// Guards against a configuration that takes effect although a part of it could
// not be decoded.
TEST_CASE("an invalid configuration is rejected as a whole") {
  CHECK_FALSE(DecodeConfig("").has_value());
  CHECK_FALSE(DecodeConfig("[1]").has_value());
  CHECK_FALSE(DecodeConfig(R"({"version":"7"})").has_value());
  CHECK_FALSE(
      DecodeConfig(R"({"version":7,"routes":[{"kind":"new"}]})").has_value());
}

constexpr char kEntry[] =
    R"({"service":"w","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":12,"state":"ready","cold_left_ms":5,"call_seq":3,"born":17})";

/// @returns kEntry with one field replaced, or without it if `value` is empty.
std::string EntryWith(const std::string& name, const std::string& value) {
  auto entry = nlohmann::ordered_json::parse(kEntry);
  entry.erase(name);
  std::string text = entry.dump();
  if (!value.empty()) {
    text.insert(text.size() - 1, ",\"" + name + "\":" + value);
  }
  return text;
}

// Guards against endpoints that are created from malformed rows, such as rows
// of other writers.
TEST_CASE("a malformed entry yields no endpoint") {
  const auto entry = DecodeEndpoint("i-1", kEntry);
  REQUIRE(entry);
  CHECK(entry->id == "i-1");
  CHECK(entry->failure_domain == "z");
  CHECK(entry->slots == 12);
  CHECK(entry->start_time_ms == 17);
  for (const std::string bad :
       {"", "x", "3", R"({"service":"w"})",
        R"({"service":3,"address":"a:1","zone":"z","state":"ready"})",
        R"({"service":"w","address":"a:1","zone":"z","state":"asleep"})"}) {
    CAPTURE(bad);
    CHECK_FALSE(DecodeEndpoint("i-1", bad).has_value());
  }
}

// Guards against conversions of numbers that do not fit, and against requests
// to addresses that are none.
TEST_CASE("an entry with an odd field yields no endpoint") {
  const std::string deep = std::string(32'000, '[') + std::string(32'000, ']');
  const std::vector<std::pair<std::string, std::vector<std::string>>> odd = {
      {"service", {"", "3", "null", "[]", "\"\"", deep}},
      {"zone", {"", "3", "{}"}},
      {"version", {"", "1", "null", deep}},
      {"state", {"", "1", "\"asleep\""}},
      {"slots",
       {"", "\"8\"", "0", "-1", "-9223372036854775809", "1e300", "1e400", "8.5",
        "18446744073709551615", "1000001", "null", "[8]"}},
      {"cold_left_ms", {"", "-1", "1e300", "1e400", "\"5\"", "null", "true"}},
      {"call_seq", {"", "-1", "1e300", "1.5", "\"3\"", "[]"}},
      {"born", {"-1", "1e300", "17.5", "18446744073709551615", "\"17\""}},
      {"address",
       {"", "3", "\"\"", "\"10.0.0.1\"", "\"10.0.0.1:\"", "\"10.0.0.1:0\"",
        "\"10.0.0.1:-1\"", "\"10.0.0.1:65536\"", "\"10.0.0.1:70000\"",
        "\"10.0.0.1:12345678901234567890\"", "\"10.0.0.1:80 \"",
        "\"10.0.0.1:80/x\"", "\"10.0.0.1:8x\"", "\":80\"", "\"host:80\"",
        "\"10.0.0.256:80\"", "\"10.0.0.1:80\\r\\nX: y\""}}};
  for (const auto& [name, values] : odd) {
    for (const std::string& value : values) {
      CAPTURE(name);
      CAPTURE(value.substr(0, 60));
      CHECK_FALSE(DecodeEndpoint("i-1", EntryWith(name, value)).has_value());
    }
  }
  for (const std::string& id :
       {std::string(), std::string("a b"), std::string("a\r\nX: y"),
        std::string("\xff"), std::string(201, 'a')}) {
    CAPTURE(id);
    CHECK_FALSE(DecodeEndpoint(id, kEntry).has_value());
  }
  CHECK(DecodeEndpoint("i-1", EntryWith("born", "")).has_value());
  CHECK(DecodeEndpoint("i-1", EntryWith("cold_left_ms", "1.5"))
            ->warmup_remaining == std::chrono::microseconds(1500));
  CHECK(DecodeEndpoint("i-1", EntryWith("models", "[{\"name\":\"m\"}]"))
            .has_value());
  CHECK_FALSE(DecodeEndpoint("i-1", EntryWith("models", deep)).has_value());
}

// Guards against undefined conversions of numbers in rows of the operator.
TEST_CASE("numbers that do not fit are reduced to the largest ones allowed") {
  const auto config = DecodeConfig(
      R"({"version":8,"routes":[{"name":"r","host":"h","prefix":"/",)"
      R"("kind":"safe","timeout_ms":1e300,"target_latency_ms":-1e300,)"
      R"("max_attempts":1e300,"priority":-1e300,"service":"w"}],)"
      R"("services":[{"name":"w","max_conns":1e300,)"
      R"("engine":{"slots":-1e300,"kv_capacity_tokens":1e300,)"
      R"("handle_s":1e300}}],"tenants":[{"name":"t","priority":1e300}],)"
      R"("limits":{"header_timeout_ms":1e300,"idle_timeout_ms":-5}})");
  REQUIRE(config);
  CHECK(config->routes[0].timeout == kMaxConfiguredTime);
  CHECK(config->routes[0].latency_target == Duration{0});
  CHECK(config->routes[0].max_attempts == kMaxConfiguredCount);
  CHECK(config->routes[0].priority == -kMaxConfiguredCount);
  CHECK(config->services[0].max_connections == kMaxConfiguredCount);
  CHECK(config->services[0].engine->slots == 0);
  CHECK(config->services[0].engine->kv_cache_tokens == kMaxConfiguredCount);
  CHECK(config->services[0].engine->backup_lifetime == kMaxConfiguredTime);
  CHECK(config->customers[0].priority == kMaxConfiguredCount);
  CHECK(config->limits.header_timeout == kMaxConfiguredTime);
  CHECK(config->limits.idle_timeout == Duration{0});
  CHECK(
      DecodeRollout({.key = "k",
                     .value = R"({"service":"w","to":"v","duration_s":1e300})",
                     .version = 1})
          ->duration == kMaxConfiguredTime);
}

// Guards against a table that is no longer followed because of one odd row.
TEST_CASE("an odd row of an answer is left out, and the others hold") {
  StoreRows rows;
  REQUIRE(DecodeRows(
      R"({"rows":[{"key":7,"value":"eA==","ver":3},[],null,)"
      R"({"key":"odd","value":{"a":[]},"ver":4},)"
      R"({"key":"good","value":"eA==","ver":5},{"key":"old","ver":-1}],)"
      R"("ver":9,"now_ms":1e300})",
      &rows));
  REQUIRE(rows.rows.size() == 2);
  CHECK(rows.rows[0] == StoreRow{.key = "odd", .value = "", .version = 4});
  CHECK(rows.rows[1] == StoreRow{.key = "good", .value = "x", .version = 5});
  CHECK(rows.now == kMaxStoreTime);
}

// Guards against a daemon that an engine ends with one answer, and against
// handles that add headers to a request.
TEST_CASE("an odd handle in a copy answer is refused") {
  const GatewayCodec codec = MakeGatewayCodec();
  const size_t depth = 200'000;
  for (const std::string& handle :
       {std::string(depth, '[') + std::string(depth, ']'), std::string("\"\""),
        std::string("\"h\\r\\nX: y\""), "\"" + std::string(201, 'h') + "\""}) {
    CAPTURE(handle.substr(0, 20));
    CHECK_FALSE(codec.decode_copy_answer("{\"handle\":" + handle + "}"));
  }
  CHECK(codec.decode_copy_answer(R"({"handle":7,"created":"x"})")->handle ==
        "7");
}

// Guards against a daemon that a caller ends with the id of its request.
TEST_CASE("an id that is not text can be named in a copy request") {
  CHECK(MakeGatewayCodec()
            .encode_copy_request("r\xff", "10.0.0.1:80")
            .starts_with("POST /api/kv-move"));
}

// Guards against a request that is refused at once because the time left to it
// overflows.
TEST_CASE("a time left that is too large is reduced") {
  const GatewayCodec codec = MakeGatewayCodec();
  const auto decode = [&](const std::string& text) {
    return codec.decode_request({{"Deadline-Ms", text}}).client_timeout;
  };
  CHECK(decode("9223372036854775807") == kMaxClientTimeout);
  CHECK(decode("-9223372036854775808") == Duration{0});
  CHECK(decode("1500") == std::chrono::milliseconds(1500));
  CHECK_FALSE(decode("9223372036854775808").has_value());
  CHECK_FALSE(decode("").has_value());
}

TEST_CASE("rows and writes have the store's JSON format") {
  StoreRows rows;
  REQUIRE(DecodeRows(
      R"({"rows":[{"table":"t","part":"","key":"k","value":"bm9kZS0x",)"
      R"("ver":4},{"key":"l","ver":5,"deleted":true}],"has_more":true,)"
      R"("ver":9,"now_ms":1})",
      &rows));
  CHECK(rows.version == 9);
  CHECK(rows.has_more);
  REQUIRE(rows.rows.size() == 2);
  CHECK(rows.rows[0].value == "node-1");
  CHECK(rows.rows[1].deleted);
  CHECK_FALSE(DecodeRows("{}", &rows));
  CHECK(EncodeWrite({.table = "t",
                     .key = "k",
                     .value = "node-1",
                     .expected_version = 4}) ==
        R"({"expected_rev":[{"key":"k","part":"","table":"t","ver":4}],)"
        R"("remove":[],"writes":[{"key":"k","part":"","table":"t",)"
        R"("value":"bm9kZS0x"}]})");
  CHECK(EncodeWrite({.table = "t",
                     .key = "k",
                     .value = "",
                     .expected_version = std::nullopt,
                     .conditions = {{"u", "l", StoreVersion(5, 2)}}}) ==
        R"({"expected_rev":[{"key":"l","part":"","table":"u","ver":5}],)"
        R"("remove":[],"writes":[{"key":"k","part":"","table":"t",)"
        R"("value":""}]})");
}

TEST_CASE("base64 round trip for all padding lengths") {
  for (const std::string text :
       {"", "a", "ab", "abc", "abcd", "\xff\xfe\x01"}) {
    CHECK(DecodeBase64(EncodeBase64(text)) == text);
  }
  CHECK_FALSE(DecodeBase64("abc").has_value());
  CHECK_FALSE(DecodeBase64("a*==").has_value());
}

// Guards against callers that reserve memory, claim to be another customer or
// choose engines by sending headers that are reserved for the gateway.
TEST_CASE("headers that only the gateway may set are removed from a request") {
  const GatewayCodec codec = MakeGatewayCodec();
  const HttpHeaders headers = {{"Host", "h"},
                               {"Tenant", "other"},
                               {"hold", "1"},
                               {"Pin-Ms", "9"},
                               {"Request-Priority", "0"},
                               {"Kv-Backup", "x"},
                               {"Kv-From", "x"},
                               {"Expect-Instance", "x"},
                               {"Model", "m"},
                               {"Authorization", "Bearer k"},
                               {"Deadline-Ms", "9999"}};
  const HttpHeaders encoded = codec.encode_attempt(
      headers,
      {.endpoint_id = "e",
       .time_left = std::chrono::milliseconds(1500),
       .customer = "t",
       .last_event_id = 12,
       .backup_address = "10.0.0.2:80",
       .restore = BackupLocation{.address = "10.0.0.3:80", .handle = "r"},
       .priority = 2});
  CHECK(encoded == HttpHeaders{{"Host", "h"},
                               {"Model", "m"},
                               {"Deadline-Ms", "1500"},
                               {"Expect-Instance", "e"},
                               {"Last-Event-Id", "12"},
                               {"Tenant", "t"},
                               {"Kv-Backup", "10.0.0.2:80"},
                               {"Kv-From", "10.0.0.3:80/r"},
                               {"Request-Priority", "2"}});
}

TEST_CASE("a caller's headers are decoded") {
  const RequestMetadata metadata =
      MakeGatewayCodec().decode_request({{"request-id", "r"},
                                         {"Deadline-Ms", "4000"},
                                         {"authorization", "bearer k"},
                                         {"Last-Event-Id", "3"},
                                         {"Token-Count", "1460,80"}});
  CHECK(metadata.request_id == "r");
  CHECK(metadata.client_timeout == std::chrono::seconds(4));
  CHECK(metadata.customer_key == "k");
  CHECK(metadata.last_event_id == 3);
  CHECK(metadata.prompt_tokens == 1460);
}

// Guards against suspects that a caller chooses by odd lists, and against
// suspicion of the last part, which no other request has.
TEST_CASE("all prompt parts but the last are identified by their ids") {
  using Parts = std::vector<PromptPartHash>;
  const auto parts_of = [](const std::string& list) {
    return MakeGatewayCodec()
        .decode_request({{"Prompt-Prefix", list}})
        .shared_parts;
  };
  CHECK(parts_of("a:200, b:90,c:5") ==
        Parts{HashPromptPart("a"), HashPromptPart("b")});
  CHECK(parts_of("a:1,c:5") == parts_of("a:2,d:6"));
  CHECK(parts_of("a:200").empty());
  CHECK(parts_of("").empty());
  CHECK(parts_of(" ,:5,,  ,c:1").empty());
  CHECK(parts_of("a,a:1,c:1") == Parts{HashPromptPart("a")});
  const std::string long_id(10000, 'x');
  CHECK(parts_of(long_id + ":1,c:1") == Parts{HashPromptPart(long_id)});
  std::string many;
  for (int i = 0; i < 500; ++i) {
    many += std::to_string(i) + ":1,";
  }
  CHECK(parts_of(many + "c:1").size() == kMaxSuspectParts);
}

// Guards against a malformed or excessive Retry-After value. Such a value could
// exclude an endpoint forever, or let the gateway ignore a requested pause.
TEST_CASE("Retry-After and Server-Leaving are decoded") {
  using std::chrono::milliseconds;
  const GatewayCodec codec = MakeGatewayCodec();
  const auto decode = [&](int status, const std::string& text) {
    const Http1Head head{.status = status, .headers = {{"retry-after", text}}};
    return codec.decode_answer(head, "r").retry_after;
  };
  CHECK(decode(503, "2") == milliseconds(2000));
  CHECK(decode(503, "0.25") == milliseconds(250));
  CHECK(decode(503, "1e9") == kMaxRequestedPause);
  for (const std::string text : {"", "0", "-3", "nan", "inf", "soon", "2 s",
                                 "Fri, 04 Dec 2026 12:00:00 GMT"}) {
    CHECK_FALSE(decode(503, text).has_value());
  }
  CHECK_FALSE(decode(200, "2").has_value());
  CHECK_FALSE(decode(429, "2").has_value());
  const auto leaves = [&](const HttpHeaders& headers) {
    const Http1Head head{.status = 200, .headers = headers};
    return codec.decode_answer(head, "r").is_leaving;
  };
  CHECK(leaves({{"server-leaving", "1"}}));
  CHECK_FALSE(leaves({{"Server-Leaving", "0"}}));
  CHECK_FALSE(leaves({}));
}

// Guards against a malformed limit that is taken for none, which would end a
// limit that is still in force.
TEST_CASE(
    "Server-Limit is decoded, and a malformed one is not taken for none") {
  const GatewayCodec codec = MakeGatewayCodec();
  const auto decode = [&](int status, const std::string& text) {
    const Http1Head head{.status = status, .headers = {{"server-limit", text}}};
    return codec.decode_answer(head, "r");
  };
  CHECK(decode(200, "5.9").rate_limit == 5.9);
  CHECK(decode(503, "120").rate_limit == 120);
  CHECK(decode(500, "0").rate_limit == 0);
  for (const std::string text : {"", "-3", "nan", "inf", "few", "5/s"}) {
    CHECK_FALSE(decode(200, text).rate_limit.has_value());
    CHECK(decode(200, text).states_rate_limit);
  }
  CHECK_FALSE(codec.decode_answer({.status = 200}, "r").states_rate_limit);
}

// Guards against a malformed report that shows a run as lost.
TEST_CASE("a report lists its runs, and malformed fields are not counts") {
  const GatewayCodec codec = MakeGatewayCodec();
  const std::string start = R"({"stage":"both","models":[],"kv_total":9)";
  const auto report =
      codec.decode_report(start + R"(,"queued":2,"running":3,)"
                                  R"("runs":[["r1",700,12,5],["r3",8,0,5]]})");
  REQUIRE(report);
  CHECK(report->queued == 2);
  CHECK(report->running == 3);
  REQUIRE(report->runs);
  CHECK(*report->runs ==
        std::vector<EngineRun>{{.request_id = "r1", .events = 12},
                               {.request_id = "r3", .events = 0}});
  for (const std::string runs :
       {R"({"r1":4})", R"([["r1",700,12,5],["r2",1]])", "[[3,4,5,6]]", "7"}) {
    CAPTURE(runs);
    const auto odd = codec.decode_report(
        start + R"(,"queued":-1,"running":"3","runs":)" + runs + "}");
    REQUIRE(odd);
    CHECK_FALSE(odd->queued);
    CHECK_FALSE(odd->running);
    CHECK_FALSE(odd->runs);
  }
  CHECK_FALSE(codec.decode_report(R"({"stage":"both"})"));
  CHECK_FALSE(codec.decode_report("busy"));
}

TEST_CASE("not-run, misdirected and sealed answers are recognized") {
  const GatewayCodec codec = MakeGatewayCodec();
  Http1Head head{.status = 421, .headers = {{"Request-Id", "other"}}};
  const AnswerMetadata misdirected = codec.decode_answer(head, "r");
  CHECK(misdirected.misdirected);
  CHECK(misdirected.has_other_request_id);
  head = {.status = 503,
          .headers = {{"Not-Executed", "1"}, {"Response-Seal", "s"}}};
  const AnswerMetadata refused = codec.decode_answer(head, "r");
  CHECK(refused.not_run);
  CHECK(refused.has_seal);
  CHECK_FALSE(refused.has_other_request_id);
}

}  // namespace
}  // namespace bramleybank::platform
