// Real gateways in front of servers that limit the rate of their requests.
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "gateway_headers.h"
#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWindow{4000};
constexpr double kLimit = 6;
// The users' bound for a window: one and a half times the limit, and 5.
constexpr int kMostInWindow = static_cast<int>(1.5 * kLimit * 4) + 5;
constexpr int kCallers = 14;
// More slots than callers, so that the servers themselves refuse nothing.
constexpr char kNeverFull[] = "work_ms = 5\nslots = 64\n";
// Some 6 s of the load below, so that a window lies within it.
constexpr int kCallsUnderLimit = 2500;
// More than half a second of the load, so that queries to a frozen issuer time
// out.
constexpr int kCallsWhileFrozen = 200;
constexpr int kRefusedCalls = 200;
constexpr int kPermittedCalls = 40;
constexpr int kServedInARow = 50;

/// Idempotent calls from several callers at once. Half of them use gateway 0,
/// as a load balancer may spread its connections unevenly.
class UnevenLoad {
 public:
  explicit UnevenLoad(const WireDeployment* site) : m_site(site) {
    for (int caller = 0; caller < kCallers; ++caller) {
      const int gateway = caller % 2 == 0 ? 0 : caller % site->gateway_count();
      m_threads.emplace_back([this, caller, gateway] { Run(caller, gateway); });
    }
  }
  ~UnevenLoad() { Stop(); }
  UnevenLoad(const UnevenLoad&) = delete;
  UnevenLoad& operator=(const UnevenLoad&) = delete;

  void Stop() {
    m_is_stopping = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }
  int answered() const { return m_served + m_refused + m_failed; }
  int served() const { return m_served; }
  int refused() const { return m_refused; }
  int failed() const { return m_failed; }

 private:
  void Run(int caller, int gateway) {
    for (int i = 0; !m_is_stopping; ++i) {
      const int status =
          m_site
              ->Call(gateway, "GET", "/reads/x",
                     "c" + std::to_string(caller) + "-" + std::to_string(i))
              .status;
      ++(status == 200 ? m_served : status == 503 ? m_refused : m_failed);
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  const WireDeployment* m_site;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<int> m_served = 0;
  std::atomic<int> m_refused = 0;
  std::atomic<int> m_failed = 0;
  std::vector<std::thread> m_threads;
};

// Guards against gateways that together send an endpoint more requests than the
// limit that it states in its answers.
TEST_CASE("gateways together keep the rate limit that an endpoint states") {
  const WireDeployment site({.domains = 1,
                             .gateways_per_domain = 7,
                             .engines_per_domain = 1,
                             .applications_per_domain = 3,
                             .application_settings = kNeverFull});
  site.ControlApplication(0, {{"rate_limit", "6.0"}});
  UnevenLoad load(&site);
  WaitUntil("calls under the limit",
            [&] { return load.answered() >= kCallsUnderLimit; });
  load.Stop();
  CHECK(site.MostArrivalsUnderLimit(0, kWindow) <= kMostInWindow);
  CHECK(load.failed() == 0);
  CHECK(load.refused() == 0);
}

// Guards against a second issuer of permits that adds to the first one, and
// against calls that wait for a frozen one.
TEST_CASE("the limit holds while gateways freeze one after the other") {
  WireDeployment site({.domains = 1,
                       .gateways_per_domain = 7,
                       .engines_per_domain = 1,
                       .applications_per_domain = 4,
                       .application_settings = kNeverFull});
  site.ControlApplication(0, {{"rate_limit", "6.0"}});
  UnevenLoad load(&site);
  for (int i = 0; i < site.gateway_count(); ++i) {
    site.gateway(i).Pause();
    // The callers of a frozen gateway wait; those of the others go on.
    const int before = load.answered();
    WaitUntil("calls through the other gateways",
              [&] { return load.answered() - before >= kCallsWhileFrozen; });
    site.gateway(i).Continue();
  }
  load.Stop();
  CHECK(site.MostArrivalsUnderLimit(0, kWindow) <= kMostInWindow);
  CHECK(load.failed() == 0);
  CHECK(load.refused() == 0);
}

// Guards against requests that wait or fail while all endpoints are at their
// limits, and against limits that outlast the statements of the endpoints.
TEST_CASE("callers are refused at limits and served when the limits end") {
  const WireDeployment site({.domains = 1,
                             .gateways_per_domain = 3,
                             .engines_per_domain = 1,
                             .applications_per_domain = 2});
  const auto limit = [&](const std::string& rate) {
    for (int i = 0; i < site.application_count(); ++i) {
      site.ControlApplication(i, {{"rate_limit", rate}});
    }
  };
  limit("6.0");
  UnevenLoad load(&site);
  WaitUntil("refusals and permitted calls", [&] {
    return load.refused() >= kRefusedCalls && load.served() >= kPermittedCalls;
  });
  load.Stop();
  CHECK(load.failed() == 0);
  for (int i = 0; i < site.application_count(); ++i) {
    CHECK(site.MostArrivalsUnderLimit(i, kWindow) <= kMostInWindow);
  }
  const auto refusals = [&] {
    return MetricValue(
        site.metrics_url(0),
        "bramleybank_refusals_total{reason=\"endpoints_limited\"}");
  };
  CHECK(refusals() > 0);
  limit("");
  int calls = 0;
  int streak = 0;
  WaitUntil("calls after the limits", [&] {
    const std::string id = "after-" + std::to_string(++calls);
    const HttpAnswer answer = site.Call(0, "GET", "/reads/x", id);
    streak = answer.status == 200 ? streak + 1 : 0;
    CHECK((answer.status == 200 ||
           FindHeader(answer.headers, "Retry-After").has_value()));
    return streak >= kServedInARow;
  });
}

}  // namespace
}  // namespace bramleybank::testing
