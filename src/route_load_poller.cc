// Schedule of the load polls, and parsing of the reports.
#include "route_load_poller.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "http_client.h"
#include "json_parse.h"
#include "route_director.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr Duration kFirstPollSpacing = std::chrono::milliseconds(2);

/// An answer to `GET /load`.
struct EngineReport {
  LoadReport load;
  bool leaving = false;
};

std::optional<EngineReport> ParseReport(const HttpOutcome& outcome) {
  if (!outcome.complete || outcome.status != 200) {
    return std::nullopt;
  }
  try {
    const json value = ParseJson(outcome.body);
    const auto count = [&](const char* name) {
      return static_cast<uint32_t>(
          WholeNumber(value.at(name), std::numeric_limits<uint32_t>::max()));
    };
    EngineReport report;
    LoadReport& load = report.load;
    load.running = count("running");
    load.waiting = count("waiting");
    load.slots = count("slots");
    load.tokens_per_s = value.at("tokens_per_s").get<double>();
    load.age = std::chrono::milliseconds(
        value.contains("age_ms") ? count("age_ms") : 0);
    report.leaving = value.value("leaving", false);
    return report;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

RouteLoadPoller::RouteLoadPoller(EventLoop* loop,
                                 HttpClient* client,
                                 RandomHook random,
                                 RouteDirector* director,
                                 LeavingHook on_leaving)
    : m_loop(loop),
      m_client(client),
      m_random(std::move(random)),
      m_director(director),
      m_on_leaving(std::move(on_leaving)) {}

RouteLoadPoller::~RouteLoadPoller() {
  m_loop->Cancel(m_timer);
}

void RouteLoadPoller::Start() {
  PollAll();
}

Duration RouteLoadPoller::PollInterval() const {
  const auto engines =
      static_cast<int64_t>(m_director->polled_engines().size());
  const Duration at_full_rate = Duration(std::chrono::seconds(1)) * engines /
                                static_cast<int64_t>(kMaxLoadPollsPerSecond);
  return std::max<Duration>(kLoadPollInterval, at_full_rate);
}

void RouteLoadPoller::PollAll() {
  const Duration interval = PollInterval();
  for (const std::string& address : m_director->polled_engines()) {
    const Duration delay(static_cast<int64_t>(
        m_random() % static_cast<uint64_t>(interval.count())));
    m_loop->Schedule(delay, [this, address] { Poll(address); });
  }
  m_timer = m_loop->Schedule(interval, [this] { PollAll(); });
}

void RouteLoadPoller::PollNew() {
  Duration delay{0};
  std::set<std::string> polled;
  for (const std::string& address : m_director->polled_engines()) {
    polled.insert(address);
    if (m_last_polled.contains(address)) {
      continue;
    }
    m_loop->Schedule(delay, [this, address] { Poll(address); });
    delay += kFirstPollSpacing;
  }
  m_last_polled = std::move(polled);
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
  const auto report = ParseReport(outcome);
  if (!report) {
    m_director->OnLoadReport(address, std::nullopt);
    return;
  }
  m_director->OnLoadReport(address, report->load);
  UpdateLeaving(address, report->leaving);
}

void RouteLoadPoller::UpdateLeaving(const std::string& address, bool leaving) {
  if (leaving == m_leaving.contains(address)) {
    return;
  }
  if (leaving) {
    m_leaving.insert(address);
  } else {
    m_leaving.erase(address);
  }
  m_on_leaving(address, leaving);
}

}  // namespace bramleybank
