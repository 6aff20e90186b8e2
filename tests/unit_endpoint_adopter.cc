// Guards against an engine that fills the memory with its answer to a probe, or
// blocks further probes with an answer that does not end.
#include "endpoint_adopter.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "event_loop.h"
#include "gateway_codec.h"
#include "gateway_config.h"
#include "gateway_fakes.h"
#include "request_headers.h"

namespace bramleybank {
namespace {

std::shared_ptr<const GatewayConfig> MakeConfig() {
  GatewayConfigValues values;
  values.services.push_back({.name = "app", .engine = EngineCapabilities{}});
  return std::make_shared<const GatewayConfig>(values);
}

TEST_CASE("an answer to a probe that does not end is given up") {
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  const FakeEndpoint::Step endless[] = {
      {.bytes = head,
       .closes = false,
       .repeated = std::string(kMaxEngineReplyBytes / 4, ' ')},
      {.bytes = head,
       .closes = false,
       .repeated = " ",
       .interval = std::chrono::milliseconds(200)}};
  for (const FakeEndpoint::Step& step : endless) {
    EventLoop loop;
    FakeEndpoint engine(&loop, {step});
    EndpointDirectory directory(&SteadyNow);
    directory.SetStoreLost(true);
    const GatewayCodec codec = platform::MakeGatewayCodec();
    EndpointAdopter adopter(&loop, &codec, &directory, &MakeConfig);
    EndpointEntry entry;
    entry.id = "old";
    entry.service = "app";
    entry.address = engine.address();
    adopter.OnMisdirected(entry, "new");
    const TimePoint end = SteadyNow() + 2 * kEngineReplyTimeout;
    while (engine.closed_by_peer() == 0 && SteadyNow() < end) {
      loop.RunOnce(std::chrono::milliseconds(5));
    }
    CHECK(engine.closed_by_peer() == 1);
    CHECK(directory.Find("new") == nullptr);
    adopter.OnMisdirected(entry, "new");
    while (engine.requests().size() < 2 && SteadyNow() < end) {
      loop.RunOnce(std::chrono::milliseconds(5));
    }
    CHECK(engine.requests().size() == 2);
  }
}

}  // namespace
}  // namespace bramleybank
