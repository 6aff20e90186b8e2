// Load reports of engines.
#include "route_load_poller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "http_client.h"
#include "route_director.h"

namespace bramleybank {
namespace {

using nlohmann::json;

std::optional<LoadReport> ParseReport(const HttpOutcome& outcome) {
  if (!outcome.complete || outcome.status != 200) {
    return std::nullopt;
  }
  try {
    const json value = json::parse(outcome.body);
    LoadReport report;
    report.running = value.at("running").get<uint32_t>();
    report.waiting = value.at("waiting").get<uint32_t>();
    report.slots = value.at("slots").get<uint32_t>();
    report.tokens_per_s = value.at("tokens_per_s").get<double>();
    report.age = std::chrono::milliseconds(value.value("age_ms", int64_t{0}));
    return report;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

RouteLoadPoller::RouteLoadPoller(EventLoop* loop,
                                 HttpClient* client,
                                 RandomHook random,
                                 RouteDirector* director)
    : m_loop(loop),
      m_client(client),
      m_random(std::move(random)),
      m_director(director) {}

RouteLoadPoller::~RouteLoadPoller() {
  m_loop->Cancel(m_timer);
}

void RouteLoadPoller::Start() {
  PollAll();
}

void RouteLoadPoller::PollAll() {
  for (const std::string& address : m_director->polled()) {
    const Duration delay(
        static_cast<int64_t>(m_random() % Duration(kLoadPollInterval).count()));
    m_loop->Schedule(delay, [this, address] { Poll(address); });
  }
  m_timer = m_loop->Schedule(kLoadPollInterval, [this] { PollAll(); });
}

void RouteLoadPoller::Poll(const std::string& address) {
  HttpClientRequest request;
  request.url = "http://" + address + "/load";
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kLoadPollTimeout;
  m_client->Start(request, {.on_headers = nullptr,
                            .on_data = nullptr,
                            .on_done = [this, address](const auto& outcome) {
                              OnAnswer(address, outcome);
                            }});
}

void RouteLoadPoller::OnAnswer(const std::string& address,
                               const HttpOutcome& outcome) {
  m_director->OnLoadReport(address, ParseReport(outcome));
}

}  // namespace bramleybank
