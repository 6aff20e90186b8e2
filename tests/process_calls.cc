// Guards invariants I4, I5 and I6 of the design against real faults: killed and
// paused daemons, lost answers, and a platform or service that is down. Daemons
// are forked children of the test that run CallRunner against stand-in
// processes for the platform and the service. The service stand-ins record each
// run, and the checks count these records.
#include <doctest/doctest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "bramleybank/limits.h"
#include "call_runner.h"
#include "config_snapshot.h"
#include "event_loop.h"
#include "http_client.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "metric_registry.h"
#include "platform_http_objects.h"
#include "platform_http_table.h"
#include "process_fixture.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

constexpr uint16_t kPort = 7100;
constexpr uint16_t kControlPort = 7101;
// Longer than a run of the service takes, so that a wait ends with the result.
constexpr std::chrono::seconds kWaitTimeout{5};

/// Loopback address of the test process, which its forked children use too.
std::string TestIp(int host) {
  static const std::string first = LoopbackIp(1);
  return first.substr(0, first.rfind('.') + 1) + std::to_string(host);
}

std::string Address(int host) {
  return TestIp(host) + ":" + std::to_string(kPort);
}

std::string ControlUrl(int host, const std::string& path) {
  return "http://" + TestIp(host) + ":" + std::to_string(kControlPort) + path;
}

std::string StandinIni(int host) {
  return "[listen]\nip = " + TestIp(host) +
         "\nport = " + std::to_string(kPort) +
         "\ncontrol_port = " + std::to_string(kControlPort) + "\n";
}

/// Step of the daemon's first call at which the daemon raises `signal`.
struct StopPoint {
  std::optional<CallStep> step;
  int signal = SIGKILL;
};

constexpr int kPlatformHost = 1;
constexpr int kServiceHost = 2;
constexpr int kSecondServiceHost = 3;

void RunDaemon(int host, StopPoint stop) {
  auto config = std::make_shared<ConfigSnapshot>();
  config->services = {{.name = "desk",
                       .non_idempotent_routes = {
                           "POST /bookings", "POST /charges", "POST /marks"}}};
  for (const int service : {kServiceHost, kSecondServiceHost}) {
    EndpointConfig endpoint;
    endpoint.address = Address(service);
    endpoint.kind = EndpointKind::kService;
    endpoint.group = "desk";
    config->endpoints.push_back(endpoint);
  }
  EventLoop loop;
  HttpClient client(&loop);
  const std::string platform = "http://" + Address(kPlatformHost);
  PlatformHttpTable table(&loop, &client, platform);
  PlatformHttpObjects objects(&client, platform);
  MetricRegistry metrics;
  std::mt19937_64 random(static_cast<uint64_t>(host));
  CallRunnerOptions options;
  options.owner = "daemon" + std::to_string(host);
  options.snapshot = [config] { return config; };
  options.random = [&random] { return random(); };
  options.wait_timeout = kWaitTimeout;
  options.on_step = [&stop](CallStep step) {
    if (stop.step == step) {
      stop.step.reset();
      raise(stop.signal);
    }
  };
  CallRunner runner(&loop, &client, &table, &objects, &metrics, options);
  HttpServer server(&loop, {});
  const auto port = server.Start(
      TestIp(host), kPort,
      [&](const HttpRequest& request,
          const std::shared_ptr<HttpResponder>& responder) {
        if (CallRunner::Handles(request.path)) {
          runner.Handle(request, responder);
        } else if (request.path == "/open") {
          responder->Respond(200, {}, std::to_string(runner.open_calls()));
        } else {
          responder->Respond(200, {}, metrics.Render());
        }
      });
  if (port) {
    loop.Run();
  }
}

/// A daemon in a child process of the test.
class Daemon {
 public:
  explicit Daemon(int host, StopPoint stop = {}) : m_host(host) {
    const pid_t parent = getpid();
    m_pid = fork();
    REQUIRE(m_pid >= 0);
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() == parent) {
        RunDaemon(host, stop);
      }
      _exit(1);
    }
    WaitReady(Url("/metrics"));
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  std::string Url(const std::string& path) const {
    return "http://" + Address(m_host) + path;
  }

  void Kill() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }
  /// Waits until the process has stopped itself.
  void WaitStopped() const {
    int status = 0;
    REQUIRE(waitpid(m_pid, &status, WUNTRACED) == m_pid);
    REQUIRE(WIFSTOPPED(status));
  }
  void Continue() const { kill(m_pid, SIGCONT); }

  HttpAnswer Book(const std::string& key,
                  const std::string& body = "pan",
                  const std::string& path = "/bookings") const {
    return Send("POST", Url("/svc/desk" + path),
                {{"Idempotency-Key", key}, {"X-Customer", "household 7"}},
                body);
  }
  std::future<HttpAnswer> BookAsync(const std::string& key) const {
    return std::async(std::launch::async, [this, key] { return Book(key); });
  }
  json Lookup(const std::string& key) const {
    const HttpAnswer answer =
        Send("GET", Url("/v1/calls/" + key + "?service=desk"),
             {{"X-Customer", "household 7"}});
    return json::parse(answer.body, nullptr, false);
  }
  void WaitNoOpenCalls() const {
    WaitUntil("background writes",
              [this] { return Send("GET", Url("/open")).body == "0"; });
  }

 private:
  int m_host;
  pid_t m_pid = -1;
};

/// Platform and two instances of one service.
struct Deployment {
  ChildProcess platform{"standin_platform", StandinIni(kPlatformHost)};
  ChildProcess service{"standin_service", StandinIni(kServiceHost)};
  ChildProcess second_service{"standin_service",
                              StandinIni(kSecondServiceHost)};

  Deployment() {
    WaitReady(ControlUrl(kPlatformHost, "/stats"));
    WaitReady(ControlUrl(kServiceHost, "/runs"));
    WaitReady(ControlUrl(kSecondServiceHost, "/runs"));
  }

  static void Control(int host, const json& faults) {
    REQUIRE(
        Send("POST", ControlUrl(host, "/control"), {}, faults.dump()).status ==
        200);
  }
  static void ControlServices(const json& faults) {
    Control(kServiceHost, faults);
    Control(kSecondServiceHost, faults);
  }
  static json Stats() {
    return json::parse(Send("GET", ControlUrl(kPlatformHost, "/stats")).body);
  }
  static size_t CountRequests() {
    size_t count = 0;
    for (const int host : {kServiceHost, kSecondServiceHost}) {
      count += json::parse(Send("GET", ControlUrl(host, "/runs")).body)
                   .at("requests")
                   .get<size_t>();
    }
    return count;
  }
  /// @returns the number of runs of a key on both instances.
  static size_t CountRuns(const std::string& key) {
    size_t count = 0;
    for (const int host : {kServiceHost, kSecondServiceHost}) {
      const json record =
          json::parse(Send("GET", ControlUrl(host, "/runs")).body);
      count += static_cast<size_t>(
          std::ranges::count_if(record.at("runs"), [&](const json& run) {
            return run.at("call_id") == "household%207/desk/" + key;
          }));
    }
    return count;
  }
};

void CheckRefusal(const HttpAnswer& answer,
                  const std::string& name,
                  const std::string& outcome) {
  const json body = json::parse(answer.body, nullptr, false);
  REQUIRE(body.is_object());
  REQUIRE(body.contains("error"));
  CHECK(body.at("error").at("name") == name);
  CHECK(body.at("error").at("outcome") == outcome);
}

bool IsReplay(const HttpAnswer& answer) {
  return FindHeader(answer.headers, "Idempotency-Replayed") == "true";
}

TEST_CASE_FIXTURE(Deployment, "a call runs once, with two platform writes") {
  const Daemon daemon(11);
  const HttpAnswer first = daemon.Book("k1");
  CHECK(first.status == 201);
  CHECK(FindHeader(first.headers, "X-Service-Run") == "yes");
  CHECK(Stats().at("write_requests") == 2);
  const HttpAnswer again = daemon.Book("k1");
  CHECK(again.status == 201);
  CHECK(IsReplay(again));
  CHECK(again.body == first.body);
  CheckRefusal(daemon.Book("k1", "another pan"), "key_reuse", "not_run");
  CheckRefusal(daemon.Book("k1", "pan", "/charges"), "key_reuse", "not_run");
  CheckRefusal(Send("POST", daemon.Url("/svc/desk/x/../%62ookings"), {}, "pan"),
               "missing_idempotency_key", "not_run");
  CHECK(CountRuns("k1") == 1);
  CHECK(CountRequests() == 1);
  CHECK(Stats().at("rows_written") == 2);
  CHECK(daemon.Lookup("k1").at("outcome") == "done");
  CHECK(daemon.Lookup("k2").at("error").at("name") == "call_not_found");
}

TEST_CASE_FIXTURE(Deployment, "a daemon killed at any step") {
  const Daemon other(12);
  struct Case {
    CallStep step;
    size_t runs;
    bool recorded;
  };
  for (const auto& [step, runs, recorded] :
       {Case{CallStep::kClaimAnswered, 0, false},
        Case{CallStep::kDispatched, 0, false},
        Case{CallStep::kAnswered, 1, false},
        Case{CallStep::kRecorded, 1, true}}) {
    const std::string key = "step" + std::to_string(static_cast<int>(step));
    CAPTURE(key);
    {
      const Daemon daemon(11, {.step = step, .signal = SIGKILL});
      CHECK(daemon.Book(key).status == 0);
    }
    CHECK(CountRuns(key) == runs);
    const HttpAnswer again = other.Book(key);
    if (recorded) {
      CHECK(IsReplay(again));
    } else {
      CheckRefusal(again, "outcome_unknown", "unknown");
      CHECK(other.Lookup(key).at("outcome") == "unknown");
    }
    CHECK(CountRuns(key) == runs);
  }
}

TEST_CASE_FIXTURE(Deployment, "a daemon killed while the service works") {
  ControlServices({{"delay_before_run_ms", 1500}});
  const Daemon other(12);
  Daemon daemon(11);
  auto lost = daemon.BookAsync("k1");
  WaitUntil("dispatch", [] { return CountRequests() == 1; });
  daemon.Kill();
  CHECK(lost.get().status == 0);
  CheckRefusal(other.Book("k1"), "outcome_unknown", "unknown");
  CHECK(CountRuns("k1") == 1);
  CHECK(CountRequests() == 1);
}

TEST_CASE_FIXTURE(Deployment, "a claimant paused before dispatch") {
  const Daemon other(12);
  const std::chrono::milliseconds longest = kWaitTimeout + kCallClaimTimeout;
  for (const std::chrono::milliseconds pause : {kCallClaimTimeout, longest}) {
    const std::string key = "pause" + std::to_string(pause.count());
    CAPTURE(key);
    const Daemon daemon(11,
                        {.step = CallStep::kClaimAnswered, .signal = SIGSTOP});
    auto paused = daemon.BookAsync(key);
    daemon.WaitStopped();
    auto waiting = other.BookAsync(key);
    std::this_thread::sleep_for(pause);
    daemon.Continue();
    CheckRefusal(paused.get(), "call_given_up", "not_run");
    daemon.WaitNoOpenCalls();
    // The other daemon takes the claim over once it is released, unless it
    // has given up waiting.
    const HttpAnswer answer = waiting.get();
    if (answer.status != 201) {
      CheckRefusal(answer, "outcome_unknown", "unknown");
      CHECK(other.Book(key).status == 201);
    }
    CHECK(CountRuns(key) == 1);
  }
}

TEST_CASE_FIXTURE(Deployment, "two daemons get the same key at once") {
  const Daemon a(11);
  const Daemon b(12);
  std::mt19937 random(20261204);
  int answered = 0;
  for (int round = 0; round < 100; ++round) {
    const std::string key = "round" + std::to_string(round);
    CAPTURE(key);
    auto first = a.BookAsync(key);
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 6000));
    auto second = b.BookAsync(key);
    const HttpAnswer one = first.get();
    const HttpAnswer two = second.get();
    // On a busy machine a claim can exceed its time limit. Its caller is then
    // refused, and the outcome in the refusal must still be correct.
    const size_t runs = CountRuns(key);
    CHECK(runs <= 1);
    for (const HttpAnswer& answer : {one, two}) {
      const bool refused = answer.body.find("\"outcome\"") != std::string::npos;
      CHECK((answer.status == 201) == !refused);
      CHECK((refused || runs == 1));
    }
    if (one.status == 201 && two.status == 201) {
      ++answered;
      CHECK(one.body == two.body);
      CHECK(IsReplay(one) != IsReplay(two));
    }
  }
  CHECK(answered > 0);
}

TEST_CASE_FIXTURE(Deployment, "the platform is down before the claim") {
  const Daemon daemon(11);
  for (const std::string down : {"refuse", "silent"}) {
    CAPTURE(down);
    Control(kPlatformHost, {{"down", down}});
    CheckRefusal(daemon.Book(down), "platform_down", "not_run");
    CHECK(CountRuns(down) == 0);
    CHECK(Send("GET", daemon.Url("/svc/desk/status")).status == 200);
    Control(kPlatformHost, {{"clear", true}, {"down", "no"}});
    daemon.WaitNoOpenCalls();
    WaitUntil("the platform", [&] {
      return daemon.Lookup(down).contains("outcome") ||
             daemon.Lookup(down).at("error").at("name") == "call_not_found";
    });
    CHECK(daemon.Book(down).status == 201);
    CHECK(CountRuns(down) == 1);
  }
}

TEST_CASE_FIXTURE(Deployment, "the platform is down after the claim") {
  ControlServices({{"delay_before_answer_ms", 1500}});
  const Daemon daemon(11);
  auto answer = daemon.BookAsync("k1");
  WaitUntil("dispatch", [] { return CountRequests() == 1; });
  Control(kPlatformHost, {{"down", "silent"}});
  CHECK(answer.get().status == 201);
  CHECK(Send("GET", daemon.Url("/open")).body == "1");
  Control(kPlatformHost, {{"clear", true}});
  daemon.WaitNoOpenCalls();
  const Daemon other(12);
  CHECK(IsReplay(other.Book("k1")));
  CHECK(CountRuns("k1") == 1);
}

TEST_CASE_FIXTURE(Deployment, "the answer of the claim write is lost") {
  const Daemon daemon(11);
  for (const bool by_close : {false, true}) {
    const std::string key = by_close ? "closed" : "silent";
    CAPTURE(key);
    Control(kPlatformHost, {{"lose_answers", 1}, {"lose_by_close", by_close}});
    CHECK(daemon.Book(key).status == 201);
    CHECK(CountRuns(key) == 1);
  }
}

TEST_CASE_FIXTURE(Deployment, "a claim write takes effect after giving up") {
  const Daemon daemon(11);
  const Daemon other(12);
  // With 2, the release takes effect late, too.
  for (const int held : {1, 2}) {
    const std::string key = "held" + std::to_string(held);
    CAPTURE(key);
    Control(kPlatformHost, {{"hold_writes", held}, {"hold_ms", 300}});
    CheckRefusal(daemon.Book(key), "platform_answer_lost", "not_run");
    CHECK(CountRuns(key) == 0);
    daemon.WaitNoOpenCalls();
    WaitUntil("late writes", [] { return Stats().at("held") == 0; });
    CHECK(daemon.Lookup(key).at("outcome") == "not_run");
    CHECK(other.Book(key).status == 201);
    CHECK(CountRuns(key) == 1);
  }
}

TEST_CASE_FIXTURE(Deployment, "the caller leaves before the answer") {
  ControlServices({{"delay_before_answer_ms", 1500}});
  const Daemon daemon(11);
  {
    StreamReader caller(
        daemon.Url("/svc/desk/bookings"),
        {{"Idempotency-Key", "k1"}, {"X-Customer", "household 7"}}, "pan");
    WaitUntil("dispatch", [] { return CountRequests() == 1; });
  }
  daemon.WaitNoOpenCalls();
  CHECK(daemon.Lookup("k1").at("outcome") == "done");
  CHECK(IsReplay(daemon.Book("k1")));
  CHECK(CountRuns("k1") == 1);
}

TEST_CASE_FIXTURE(Deployment, "the caller leaves while it waits for a claim") {
  {
    const Daemon lost(12, {.step = CallStep::kClaimAnswered});
    lost.Book("k1");
  }
  const Daemon daemon(11);
  {
    StreamReader caller(
        daemon.Url("/svc/desk/bookings"),
        {{"Idempotency-Key", "k1"}, {"X-Customer", "household 7"}}, "pan");
    WaitUntil("the call",
              [&] { return Send("GET", daemon.Url("/open")).body == "1"; });
  }
  daemon.WaitNoOpenCalls();
  // The wait ended when the caller disconnected and not at its time limit.
  CHECK(MetricValue(daemon.Url("/metrics"),
                    "bramleybank_refusals_total{reason=\"outcome_unknown\"}") ==
        0);
  CHECK(CountRuns("k1") == 0);
}

TEST_CASE_FIXTURE(Deployment, "an answer is lost after the request was sent") {
  const Daemon daemon(11);
  size_t requests = 0;
  for (const json& fault :
       {json{{"truncate", true}}, json{{"close", "before_run"}},
        json{{"close", "after_run"}}}) {
    CAPTURE(fault.dump());
    const std::string key = "k" + std::to_string(++requests);
    ControlServices({{"clear", true}});
    ControlServices(fault);
    CheckRefusal(daemon.Book(key), "outcome_unknown", "unknown");
    ControlServices({{"clear", true}});
    CheckRefusal(daemon.Book(key), "outcome_unknown", "unknown");
    CHECK(CountRequests() == requests);
    CHECK(CountRuns(key) <= 1);
  }
}

TEST_CASE_FIXTURE(Deployment, "a large result is replayed completely") {
  ControlServices({{"answer_bytes", 300000}});
  const Daemon daemon(11);
  const HttpAnswer first = daemon.Book("k1");
  CHECK(first.body.size() == 300000);
  // Claim, object and record.
  CHECK(Stats().at("write_requests") == 3);
  ControlServices({{"clear", true}});
  const Daemon other(12);
  const HttpAnswer again = other.Book("k1");
  CHECK(IsReplay(again));
  CHECK(again.body == first.body);
  ControlServices({{"answer_bytes", kMaxServiceAnswerBytes + 1}});
  CheckRefusal(daemon.Book("k2"), "outcome_unknown", "unknown");
  CheckRefusal(other.Book("k2"), "outcome_unknown", "unknown");
  CHECK(CountRuns("k2") == 1);
}

TEST_CASE_FIXTURE(Deployment,
                  "a refused connection leads to another endpoint") {
  const Daemon daemon(11);
  Control(kServiceHost, {{"refuse", true}});
  for (int i = 0; i < 4; ++i) {
    const std::string key = "k" + std::to_string(i);
    CHECK(daemon.Book(key).status == 201);
    CHECK(CountRuns(key) == 1);
  }
  Control(kSecondServiceHost, {{"refuse", true}});
  CheckRefusal(daemon.Book("none"), "service_unreachable", "not_run");
  daemon.WaitNoOpenCalls();
  ControlServices({{"clear", true}});
  WaitUntil("the service", [&] {
    return Send("GET", daemon.Url("/svc/desk/status")).status == 200;
  });
  CHECK(daemon.Book("none").status == 201);
  CHECK(CountRuns("none") == 1);
}

TEST_CASE_FIXTURE(Deployment, "untracked requests are forwarded unchanged") {
  const Daemon daemon(11);
  const HttpAnswer answer =
      Send("PUT", daemon.Url("/svc/desk/status/a%20b?x=1+2&y=%26"),
           {{"X-Mine", "kept"},
            {"Connection", "X-Private"},
            {"X-Private", "dropped"},
            {"TE", "trailers"}},
           "body");
  const json seen = json::parse(answer.body);
  CHECK(seen.at("method") == "PUT");
  CHECK(seen.at("path") == "/status/a%20b");
  CHECK(seen.at("query") == json{{"x", "1 2"}, {"y", "%26"}});
  CHECK(seen.at("body") == "body");
  CHECK(seen.at("headers").at("X-Mine") == "kept");
  CHECK_FALSE(seen.at("headers").contains("X-Private"));
  CHECK_FALSE(seen.at("headers").contains("TE"));
  CHECK(FindHeader(answer.headers, "X-Service-Run") == "yes");
  ControlServices({{"answer_bytes", 3000000}});
  const HttpAnswer large = Send("GET", daemon.Url("/svc/desk/status"));
  CHECK(large.status == 200);
  CHECK(large.body.size() == 3000000);
  const HttpAnswer head = Send("OPTIONS", daemon.Url("/svc/none/status"));
  CheckRefusal(head, "unknown_service", "not_run");
}

TEST_CASE_FIXTURE(
    Deployment,
    "only idempotent requests are retried on a closed connection") {
  const Daemon daemon(11);
  // One of the two endpoints closes its connections; each GET is answered by
  // the other one.
  Control(kServiceHost, {{"close", "before_run"}});
  for (int i = 0; i < 4; ++i) {
    CHECK(Send("GET", daemon.Url("/svc/desk/status")).status == 200);
  }
  ControlServices({{"close", "before_run"}});
  const size_t before = CountRequests();
  CheckRefusal(Send("POST", daemon.Url("/svc/desk/status")), "outcome_unknown",
               "unknown");
  CHECK(CountRequests() == before + 1);
  CheckRefusal(Send("GET", daemon.Url("/svc/desk/status")),
               "service_unreachable", "unknown");
  CHECK(CountRequests() > before + 2);
  ControlServices({{"clear", true}});
  Control(kServiceHost, {{"refuse", true}});
  for (int i = 0; i < 4; ++i) {
    CHECK(Send("POST", daemon.Url("/svc/desk/status")).status == 200);
  }
}

TEST_CASE_FIXTURE(Deployment,
                  "a truncated stream is not presented as complete") {
  ControlServices({{"truncate", true}, {"answer_bytes", 300000}});
  const Daemon daemon(11);
  CHECK(Send("GET", daemon.Url("/svc/desk/status")).status == 0);
}

}  // namespace
}  // namespace bramleybank::testing
