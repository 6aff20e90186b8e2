// Implements the benchmark caller and prints figures.
#define DOCTEST_CONFIG_IMPLEMENT
#include "bench_caller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "event_loop.h"
#include "http_client.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr size_t kMaxEventBytes = 1 << 20;
constexpr int kMaxConnections = 200;
constexpr std::chrono::milliseconds kRetryDelay{50};
constexpr char kModel[] = "writer";

// A chunk of the daemon holds "choices"; a chunk of an engine holds the "index"
// of a token instead.
bool IsToken(const SseEvent& event) {
  if (event.data.find("\"finish_reason\":null") != std::string::npos) {
    return true;
  }
  return event.data.find("\"index\":") != std::string::npos &&
         event.data.find("\"choices\"") == std::string::npos;
}

}  // namespace

BenchCaller::BenchCaller(EventLoop* loop,
                         HttpClient* client,
                         BenchRequest request)
    : m_loop(loop), m_client(client), m_request(std::move(request)) {
  m_body = json{{"model", kModel},
                {"stream", true},
                {"max_tokens", m_request.max_tokens},
                {"prompt", m_request.prompt}}
               .dump();
}

BenchCaller::~BenchCaller() {
  m_loop->Cancel(m_retry);
  m_client->Cancel(m_transfer);
}

void BenchCaller::Start() {
  m_start = m_loop->Now();
  Send();
}

void BenchCaller::Send() {
  ++m_connections;
  m_status = 0;
  m_parser = std::make_unique<SseParser>(
      kMaxEventBytes, [this](const SseEvent& event) { OnEvent(event); });
  HttpClientRequest request;
  request.method = "POST";
  request.url = m_request.targets[m_target] + "/v1/completions";
  request.headers = {{"Content-Type", "application/json"}};
  if (!m_last_id.empty()) {
    request.headers.emplace_back("Last-Event-ID", m_last_id);
  }
  request.body = m_body;
  request.connect_timeout = std::chrono::seconds(1);
  m_transfer = m_client->Start(
      request,
      {.on_headers = [this](int status,
                            const HttpHeaders&) { m_status = status; },
       .on_data =
           [this](std::string_view data) {
             if (m_status == 200) {
               m_parser->Feed(data);
             } else {
               m_error.append(data);
             }
           },
       .on_done = [this](const HttpOutcome& outcome) { OnDone(outcome); }});
}

void BenchCaller::OnEvent(const SseEvent& event) {
  if (event.data == "[DONE]") {
    m_is_done = true;
  } else if (event.event == "error") {
    m_error = event.data;
  } else if (IsToken(event)) {
    OnToken();
    if (!event.id.empty()) {
      m_last_id = event.id;
    }
    if (m_request.check) {
      CheckEvent(event);
    }
  }
}

void BenchCaller::CheckEvent(const SseEvent& event) {
  const json value = json::parse(event.data);
  if (!m_checker) {
    const auto print = value.at("system_fingerprint").get<std::string>();
    const size_t slash = print.find('/');
    m_checker.emplace(
        InitialChainHash(kModel, print.substr(0, slash),
                         print.substr(slash + 1), m_request.prompt),
        m_request.max_tokens);
  }
  m_checker->Feed(value.at("choices").at(0).at("text").get<std::string>());
}

void BenchCaller::OnToken() {
  const TimePoint now = m_loop->Now();
  if (m_tokens++ == 0) {
    m_first_token = now - m_start;
  } else {
    m_gaps.push_back(now - m_last_token);
    m_longest_gap = std::max(m_longest_gap, m_gaps.back());
  }
  m_last_token = now;
}

void BenchCaller::OnDone(const HttpOutcome& outcome) {
  m_transfer = TransferHandle();
  if (m_is_done && m_checker) {
    m_checker->Finish(std::nullopt);
  }
  // A rejection with a status other than 503 (draining, not ready) is final.
  const bool is_refused =
      outcome.status != 0 && outcome.status != 200 && outcome.status != 503;
  const bool has_error_event = outcome.status == 200 && !m_error.empty();
  if (m_is_done || is_refused || has_error_event ||
      m_connections >= kMaxConnections) {
    m_is_finished = true;
    m_is_complete =
        m_is_done && m_tokens == m_request.max_tokens && faults() == 0;
    return;
  }
  m_error.clear();
  m_target = (m_target + 1) % m_request.targets.size();
  // The first reconnect is immediate.
  m_retry = m_loop->Schedule(m_connections == 1 ? Duration(0) : kRetryDelay,
                             [this] { Send(); });
}

size_t BenchCaller::faults() const {
  return m_checker ? m_checker->faults().size() : 0;
}

double QuantileMs(std::vector<Duration> samples, double q) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto count = static_cast<double>(samples.size());
  const auto rank = static_cast<size_t>(std::max(0.0, q * count - 1e-9));
  return static_cast<double>(
             samples[std::min(rank, samples.size() - 1)].count()) /
         1000;
}

void PrintFigure(const std::string& name,
                 double value,
                 const std::string& unit,
                 std::optional<double> target,
                 std::optional<double> baseline,
                 uint64_t seed) {
  const auto optional = [](const std::optional<double>& number) {
    return number ? json(*number) : json(nullptr);
  };
  const char* commit = std::getenv("BENCH_COMMIT");
  const nlohmann::ordered_json line = {
      {"name", name},
      {"value", value},
      {"unit", unit},
      {"target", optional(target)},
      {"baseline", optional(baseline)},
      {"seed", seed},
      {"commit", commit != nullptr ? commit : "unknown"}};
  std::cout << line.dump() << std::endl;
}

void ExitOnFixtureFailure() {
  static doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  context.setAssertHandler([](const doctest::AssertData& data) {
    if (data.m_failed) {
      std::fprintf(stderr, "%s:%d: %s\n", data.m_file, data.m_line,
                   data.m_expr != nullptr ? data.m_expr : "failed");
      std::exit(1);
    }
  });
}

void RunUntilAll(EventLoop* loop,
                 const std::vector<std::unique_ptr<BenchCaller>>& callers,
                 const std::function<bool(const BenchCaller&)>& condition,
                 Duration limit) {
  constexpr Duration kPollTimeout = std::chrono::milliseconds(10);
  const TimePoint end = loop->Now() + limit;
  size_t met = 0;
  while (met < callers.size() && loop->Now() < end) {
    if (condition(*callers[met])) {
      ++met;
    } else {
      loop->RunOnce(kPollTimeout);
    }
  }
}

}  // namespace bramleybank
