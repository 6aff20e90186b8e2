// Real gateways in front of sound servers that are silent for a while.
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kStreams = 8;
constexpr size_t kEvents = 120;
constexpr milliseconds kEngineSilence{1200};
constexpr milliseconds kTimeBetweenSilences{500};
// Both attempts of an idempotent request pass the latency target of 2 s.
constexpr milliseconds kApplicationSilence{5000};

// Guards against streams that are broken off when each engine that is left has
// been silent once.
TEST_CASE("streams go on after engines have been silent twice for a second") {
  WireDeployment site(
      {.domains = 2,
       .engine_settings = "event_ms = 30\nevents = " + std::to_string(kEvents) +
                          "\nwork_ms = 20\nslots = 64\n"});
  std::vector<std::unique_ptr<StreamReader>> streams;
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(
        site.Stream(i % site.gateway_count(), "stream-" + std::to_string(i)));
  }
  for (const auto& stream : streams) {
    stream->WaitForEvents(5);
  }
  for (int silence = 0; silence < 2; ++silence) {
    for (int i = 0; i < site.engine_count(); ++i) {
      site.engine(i).Pause();
    }
    std::this_thread::sleep_for(kEngineSilence);
    for (int i = 0; i < site.engine_count(); ++i) {
      site.engine(i).Continue();
    }
    std::this_thread::sleep_for(kTimeBetweenSilences);
  }
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "stream-" + std::to_string(i);
    CAPTURE(id);
    site.CheckStreamComplete(*streams[i], id, kEvents);
  }
}

// Guards against an idempotent request that fails long before its deadline
// because all servers are silent for longer than the latency target.
TEST_CASE("an idempotent request outlasts the silence of all servers") {
  WireDeployment site({.domains = 2});
  for (int i = 0; i < site.application_count(); ++i) {
    site.application(i).Pause();
  }
  HttpAnswer answer;
  std::thread caller(
      [&] { answer = site.Call(0, "GET", "/reads/x", "read-1"); });
  std::this_thread::sleep_for(kApplicationSilence);
  for (int i = 0; i < site.application_count(); ++i) {
    site.application(i).Continue();
  }
  caller.join();
  CHECK(answer.status == 200);
  CHECK(site.RunsOf("read-1").size() <= 2);
}

}  // namespace
}  // namespace bramleybank::testing
