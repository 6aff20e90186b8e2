// A gateway between callers and scripted endpoints on loopback, with an
// in-memory store, and the bytes that its tests use.
#ifndef BRAMLEYBANK_TESTS_GATEWAY_FIXTURE_H_
#define BRAMLEYBANK_TESTS_GATEWAY_FIXTURE_H_

#include <doctest/doctest.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "gateway.h"
#include "gateway_codec.h"
#include "gateway_fakes.h"
#include "gateway_rows.h"
#include "gateway_settings.h"
#include "prompt_part.h"
#include "prompt_quarantine.h"
#include "prompt_suspects.h"
#include "request_headers.h"
#include "store_rows.h"

namespace bramleybank {

inline constexpr Duration kTurn = std::chrono::milliseconds(5);
inline constexpr int kUnlimitedRetries = 1000;
inline constexpr int kMaxTurns = 4000;

inline constexpr char kConfig[] = R"({"version":3,"routes":[
{"name":"book","host":"h.example","prefix":"/book/","kind":"unsafe",
 "timeout_ms":2000,"service":"app","max_attempts":1},
{"name":"read","host":"h.example","prefix":"/read/","kind":"safe",
 "timeout_ms":2000,"target_latency_ms":100,"service":"app",
 "max_attempts":2},
{"name":"write","host":"h.example","prefix":"/write/","kind":"streaming",
 "timeout_ms":5000,"service":"app","max_attempts":5,"resumable":true}],
"services":[{"name":"app","health_path":"/health","max_conns":9}],
"tenants":[{"name":"family","api_keys":["good"]}]})";

inline constexpr char kEngineConfig[] = R"({"version":3,"routes":[
{"name":"write","host":"h.example","prefix":"/write/","kind":"streaming",
 "timeout_ms":5000,"service":"app","max_attempts":5,"resumable":true}],
"services":[{"name":"app","engine":{"slots":4,"backups":true}}],
"tenants":[{"name":"family","api_keys":["good"]}]})";

inline const std::string kSealHeaders =
    "Request-Id: r1\r\nResponse-Seal: s\r\n";
inline const std::string kCompleteAnswer =
    "HTTP/1.1 200 OK\r\n" + kSealHeaders + "Content-Length: 4\r\n\r\ndone";
inline const std::string kServerError =
    "HTTP/1.1 500 Error\r\n" + kSealHeaders + "Content-Length: 0\r\n\r\n";
inline const std::string kNotRunAnswer =
    "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\n" + kSealHeaders + "Transfer-Encoding: chunked\r\n\r\n";

inline std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

inline std::string MakeEntry(const std::string& domain,
                             const std::string& address,
                             const std::string& version) {
  return R"({"service":"app","state":"ready","slots":4,"cold_left_ms":0,)"
         R"("call_seq":0,"version":")" +
         version + R"(","zone":")" + domain + R"(","address":")" + address +
         "\"}";
}

/// A gateway with its configuration in force. Its endpoints have a fixed order
/// of preference: the first is in the gateway's own failure domain, the second
/// in its region.
class GatewayFixture {
 public:
  explicit GatewayFixture(std::vector<std::vector<FakeEndpoint::Step>> scripts,
                          const std::string& config = kConfig,
                          int retries = kUnlimitedRetries)
      : m_gateway(&m_loop,
                  MakeSettings(retries),
                  &store,
                  platform::MakeGatewayCodec(),
                  platform::MakeGatewayRows()) {
    REQUIRE(m_gateway.Start());
    std::vector<StoreRow> rows;
    const std::vector<std::string> domains = {"near", "far", "farther"};
    for (size_t i = 0; i < scripts.size(); ++i) {
      endpoints.push_back(std::make_unique<FakeEndpoint>(&m_loop, scripts[i]));
      rows.push_back(
          {.key = "e" + std::to_string(i),
           .value = MakeEntry(domains[i], endpoints[i]->address(), "v1"),
           .version = i + 1});
    }
    if (!config.empty()) {
      store.Answer("op", {.result = StoreResult::kOk,
                          .rows = {{.key = "config", .value = config}},
                          .version = 9});
    }
    store.Answer(
        "servers",
        {.result = StoreResult::kOk, .rows = std::move(rows), .version = 9});
  }

  /// Sends a request and collects the answer.
  /// @param headers complete header lines.
  void Send(const std::string& method_and_path,
            const std::string& key = "good",
            const std::string& headers = "") {
    m_client = Connect(
        {.on_connected =
             [this, method_and_path, key, headers] {
               m_is_connected = true;
               m_client->Write(MakeRequest(method_and_path, key, headers));
             },
         .on_data = [this](std::string_view data) { answer += data; },
         .on_end = [this](TcpCloseReason) { closed = true; },
         .on_drained = nullptr});
  }

  /// Sends a request beside the last one and drops its answer.
  void SendBeside(const std::string& method_and_path) {
    m_other_client = Connect(
        {.on_connected =
             [this, method_and_path] {
               m_other_client->Write(MakeRequest(method_and_path, "good", ""));
             },
         .on_data = [](std::string_view) {},
         .on_end = [](TcpCloseReason) {},
         .on_drained = nullptr});
  }

  /// Whether the head of the last request has been sent.
  bool is_connected() const { return m_is_connected; }

  /// Sends further bytes on the connection of the last request.
  void Write(const std::string& bytes) { m_client->Write(bytes); }

  void CloseClient() { m_client->Close(); }

  /// Starts a planned stop.
  void Stop(Duration grace) {
    GatewaySettings settings = MakeSettings(kUnlimitedRetries);
    settings.stop_grace = grace;
    m_gateway.Reload(settings);
    m_gateway.Drain();
  }

  /// Runs the event loop until `done` returns true.
  void WaitFor(const std::function<bool()>& done) {
    for (int turn = 0; turn < kMaxTurns && !done(); ++turn) {
      m_loop.RunOnce(kTurn);
    }
    REQUIRE(done());
  }

  void RunTurns(int turns) {
    for (int turn = 0; turn < turns; ++turn) {
      m_loop.RunOnce(kTurn);
    }
  }

  void RunFor(Duration time) {
    const TimePoint end = m_loop.Now() + time;
    WaitFor([&] { return m_loop.Now() >= end; });
  }

  /// @returns how many requests have reached the endpoints.
  size_t CountRequests() const {
    size_t count = 0;
    for (const auto& endpoint : endpoints) {
      count += endpoint->requests().size();
    }
    return count;
  }

  /// @returns whether `text` has arrived or the connection is closed.
  bool HasEnded(const std::string& text) const {
    return closed || answer.find(text) != std::string::npos;
  }

  void WaitForAnswer(const std::string& text) {
    WaitFor([&] { return answer.find(text) != std::string::npos; });
  }

  FakeStore store;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
  std::string answer;
  bool closed = false;

 private:
  static GatewaySettings MakeSettings(int retries) {
    GatewaySettings settings;
    settings.name = "g1";
    settings.place = {
        .failure_domain = "near",
        .region = "r1",
        .regions = {{"near", "r1"}, {"far", "r1"}, {"farther", "r2"}}};
    settings.caller_address = "127.0.0.1:0";
    settings.ready_address = "127.0.0.1:0";
    settings.metrics_address = "127.0.0.1:0";
    settings.max_store_silence = std::chrono::seconds(4);
    settings.stop_grace = std::chrono::seconds(8);
    settings.retry_share = retries == kUnlimitedRetries ? 1 : 0;
    settings.retry_extra = retries;
    return settings;
  }

  static std::string MakeRequest(const std::string& method_and_path,
                                 const std::string& key,
                                 const std::string& headers) {
    return method_and_path +
           " HTTP/1.1\r\nHost: h.example\r\n"
           "Request-Id: r1\r\nDeadline-Ms: 4000\r\n"
           "Tenant: forged\r\nAuthorization: Bearer " +
           key + "\r\n" + headers + "\r\n";
  }

  std::shared_ptr<TcpConnection> Connect(TcpCallbacks callbacks) {
    return TcpConnection::Connect(
        &m_loop, "127.0.0.1:" + std::to_string(m_gateway.caller_port()),
        std::chrono::seconds(5), std::move(callbacks));
  }

  EventLoop m_loop;
  Gateway m_gateway;
  std::shared_ptr<TcpConnection> m_client;
  std::shared_ptr<TcpConnection> m_other_client;
  bool m_is_connected = false;
};

/// An endpoint that sends `bytes`, then `repeated` until its peer closes.
inline FakeEndpoint::Step Endless(
    const std::string& bytes,
    const std::string& repeated,
    Duration interval = std::chrono::milliseconds(5)) {
  return {.bytes = bytes,
          .closes = false,
          .repeated = repeated,
          .interval = interval};
}

inline constexpr char kDeadlyPrompt[] = "Prompt-Prefix: deadly:200,own:90\r\n";

/// Answers the watch of the suspects with one quarantined part.
inline void Quarantine(FakeStore* store, const std::string& part) {
  PromptSuspectList list;
  list.AddCrash(
      {.endpoint = "e1",
       .weight = kQuarantineWeight,
       .parts = {{.part = HashPromptPart(part), .known_crashes = 0}}});
  store->Answer(kSuspectTable,
                {.result = StoreResult::kOk,
                 .rows = {{.key = "app", .value = list.Encode(), .version = 8}},
                 .version = 8});
}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TESTS_GATEWAY_FIXTURE_H_
