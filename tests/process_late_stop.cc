// Requests that reach a real gateway late in a planned stop.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kLearntCalls = 20;
constexpr milliseconds kWork(1500);
/// Within the grace period of 8 s.
constexpr milliseconds kSendInterval(250);
constexpr milliseconds kLastSend(7000);

struct LateCall {
  std::string id;
  milliseconds sent_at{0};
  HttpAnswer answer;
};

/// Calls take a good part of the grace period, and a stream keeps a stopping
/// gateway open until its end.
WireDeploymentOptions SlowCalls() {
  WireDeploymentOptions options;
  options.domains = 1;
  options.application_settings =
      "work_ms = " + std::to_string(kWork.count()) + "\nslots = 64\n";
  options.engine_settings = "event_ms = 300\nevents = 60\nwork_ms = 20\n";
  return options;
}

/// Sends unsafe calls all at once and waits for their answers.
void SendCalls(const WireDeployment& site, int count) {
  std::vector<std::thread> threads;
  for (int i = 0; i < count; ++i) {
    threads.emplace_back([&site, i] {
      CHECK(site.Call(0, "POST", "/calls/x", "before-" + std::to_string(i))
                .status == 200);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

/// Stops the gateway and sends unsafe calls until shortly before its end.
std::vector<LateCall> CallDuringStop(WireDeployment* site) {
  const auto stream = site->Stream(0, "open-stream");
  stream->WaitForEvents(1);
  std::vector<LateCall> calls;
  for (milliseconds at(0); at <= kLastSend; at += kSendInterval) {
    calls.push_back({.id = "late-" + std::to_string(at.count()),
                     .sent_at = at,
                     .answer = {}});
  }
  const auto start = std::chrono::steady_clock::now();
  site->gateway(0).Terminate();
  std::vector<std::thread> threads;
  for (LateCall& call : calls) {
    threads.emplace_back([site, start, &call] {
      std::this_thread::sleep_until(start + call.sent_at);
      call.answer = site->Call(0, "POST", "/calls/x", call.id);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(site->gateway(0).WaitExit() == 0);
  return calls;
}

/// Checks that each call was either served or refused without having run.
void CheckServedOrNotRun(const WireDeployment& site,
                         const std::vector<LateCall>& calls) {
  for (const LateCall& call : calls) {
    CAPTURE(call.id);
    const bool has_run = !site.RunsOf(call.id).empty();
    CHECK(call.answer.status == (has_run ? 200 : 503));
  }
}

// Guards against passing on unsafe calls that the end of a stop cuts.
TEST_CASE(
    "unsafe calls that a stop would cut are refused before they are sent") {
  WireDeployment site(SlowCalls());
  SendCalls(site, kLearntCalls);
  const std::vector<LateCall> calls = CallDuringStop(&site);
  CheckServedOrNotRun(site, calls);
  CHECK(calls.front().answer.status == 200);
}

// Guards against passing them on while nothing is known of their duration.
TEST_CASE("unsafe calls of unknown duration are not cut by a stop") {
  WireDeployment site(SlowCalls());
  CheckServedOrNotRun(site, CallDuringStop(&site));
}

}  // namespace
}  // namespace bramleybank::testing
