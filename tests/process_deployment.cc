// Starts the processes of a test deployment and runs its callers.
#include "process_deployment.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "answer_chain.h"
#include "stream_cursor.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

constexpr int kPlatformHost = 1;
constexpr int kFirstDaemonHost = 10;
constexpr int kFirstEngineHost = 60;
constexpr int kFirstServiceHost = 120;
constexpr char kModel[] = "writer";
// Connections that a caller makes before it gives up.
constexpr int kMaxConnections = 400;

std::string DomainName(int domain) {
  return "domain-" + std::to_string(domain);
}

/// Adds the events of all connections to the result of a caller.
class AnswerCollector {
 public:
  explicit AnswerCollector(CallerResult* result) : m_result(result) {}

  void AddEvent(const SseEvent& event) {
    if (event.event == "error") {
      m_result->error = event.data;
      return;
    }
    if (event.event == "handover") {
      return;
    }
    if (event.data == "[DONE]") {
      m_result->done = true;
      return;
    }
    const json value = json::parse(event.data);
    m_fingerprint = value.at("system_fingerprint").get<std::string>();
    const json& choice = value.at("choices").at(0);
    if (!choice.at("finish_reason").is_null()) {
      m_count = value.at("usage").at("completion_tokens").get<uint64_t>();
      return;
    }
    m_result->texts.push_back(
        choice.contains("delta")
            ? choice["delta"].at("content").get<std::string>()
            : choice.at("text").get<std::string>());
    m_result->event_ids.push_back(event.id);
  }

  const std::string& fingerprint() const { return m_fingerprint; }
  std::optional<uint64_t> count() const { return m_count; }

 private:
  CallerResult* m_result;
  std::string m_fingerprint;
  std::optional<uint64_t> m_count;
};

std::string CheckAnswer(const CallerResult& result,
                        const AnswerCollector& collector,
                        const json& body) {
  const std::string& fingerprint = collector.fingerprint();
  const size_t slash = fingerprint.find('/');
  AnswerChecker checker(
      InitialChainHash(
          kModel, fingerprint.substr(0, slash),
          slash == std::string::npos ? "" : fingerprint.substr(slash + 1),
          ExtractPrompt(body).value_or("")),
      body.at("max_tokens").get<uint64_t>());
  for (const std::string& text : result.texts) {
    checker.Feed(text);
  }
  if (result.done) {
    checker.Finish(collector.count());
  }
  std::string faults;
  for (const AnswerFault& fault : checker.faults()) {
    faults.append(AnswerFaultName(fault.kind)).append("@");
    faults.append(std::to_string(fault.position)).append(" ");
  }
  return faults;
}

json MakeBody(const CallerOptions& options) {
  json body = {
      {"model", kModel}, {"stream", true}, {"max_tokens", options.max_tokens}};
  if (options.chat) {
    body["messages"] =
        json::array({{{"role", "user"}, {"content", options.prompt}}});
  } else {
    body["prompt"] = options.prompt;
  }
  return body;
}

}  // namespace

Deployment::Deployment(const DeploymentOptions& options) : m_options(options) {
  const int domains = m_options.domains;
  m_engines.resize(domains * m_options.engines_per_domain);
  m_daemons.resize(domains * m_options.daemons_per_domain);
  m_platform = std::make_unique<ChildProcess>(
      "standin_platform",
      "[listen]\nip = " + LoopbackIp(kPlatformHost) +
          "\nport = 7000\ncontrol_port = 7001\n[vms]\nlag_ms = 0\n");
  for (int i = 0; i < engine_count(); ++i) {
    StartEngine(i);
  }
  if (!m_options.services.empty()) {
    for (int i = 0; i < domains; ++i) {
      m_services.push_back(std::make_unique<ChildProcess>(
          "standin_service",
          "[listen]\nip = " + ServiceIp(i) + "\nport = 9100\n"));
    }
  }
  WaitReady(platform_url() + "/stats");
  Control(platform_url(), VmListJson());
  PublishConfig(1);
  for (int i = 0; i < engine_count(); ++i) {
    WaitReady(engine_url(i) + "/healthz");
  }
  for (size_t i = 0; i < m_services.size(); ++i) {
    WaitReady(service_url(static_cast<int>(i)) + "/runs");
  }
  for (int i = 0; i < daemon_count(); ++i) {
    StartDaemon(i);
  }
  for (int i = 0; i < daemon_count(); ++i) {
    WaitDaemonReady(i);
  }
}

Deployment::~Deployment() = default;

std::string Deployment::DaemonIp(int i) const {
  return LoopbackIp(kFirstDaemonHost + i);
}
std::string Deployment::EngineIp(int i) const {
  return LoopbackIp(kFirstEngineHost + i);
}
std::string Deployment::ServiceIp(int i) const {
  return LoopbackIp(kFirstServiceHost + i);
}
std::string Deployment::caller_url(int i) const {
  return "http://" + DaemonIp(i) + ":7101";
}
std::string Deployment::operator_url(int i) const {
  return "http://" + DaemonIp(i) + ":7102";
}
std::string Deployment::engine_url(int i) const {
  return "http://" + EngineIp(i) + ":9000";
}
std::string Deployment::service_url(int i) const {
  return "http://" + ServiceIp(i) + ":9100";
}
std::string Deployment::platform_url() const {
  return "http://" + LoopbackIp(kPlatformHost) + ":7000";
}

int Deployment::engine_of(const std::string& event_id) const {
  const auto cursor = ParseStreamCursor(event_id);
  for (int i = 0; cursor && i < engine_count(); ++i) {
    if (cursor->engine == EngineIp(i) + ":9000") {
      return i;
    }
  }
  return -1;
}

int Deployment::copy_holder_of(const std::string& event_id) const {
  const auto cursor = ParseStreamCursor(event_id);
  for (int i = 0; cursor && i < daemon_count(); ++i) {
    if (cursor->copy_holder == DaemonIp(i) + ":7103") {
      return i;
    }
  }
  return -1;
}

void Deployment::StartEngine(int i) {
  m_engines[i] = std::make_unique<ChildProcess>(
      "standin_engine", "[listen]\nip = " + EngineIp(i) +
                            "\nport = 9000\n[engine]\nmodel = " + kModel +
                            "\n" + m_options.engine_settings);
}

void Deployment::StartDaemon(int i) {
  const std::string domain =
      DomainName(DomainOf(i, m_options.daemons_per_domain));
  m_daemons[i] = std::make_unique<ChildProcess>(
      "bramleybankd", "[node]\nip = " + DaemonIp(i) +
                          "\nregion = region-0\nfailure_domain = " + domain +
                          "\n[platform]\nurl = " + platform_url() + "\n" +
                          m_options.daemon_settings);
}

void Deployment::WaitDaemonReady(int i) {
  WaitReady(operator_url(i) + "/readyz");
}

std::string Deployment::ConfigJson(uint64_t number) const {
  json config = {{"number", number},
                 {"endpoints", json::array()},
                 {"services", json::array()},
                 {"customers", json::array()}};
  for (int i = 0; i < engine_count(); ++i) {
    config["endpoints"].push_back(
        {{"address", EngineIp(i) + ":9000"},
         {"kind", "engine"},
         {"group", kModel},
         {"version", "v1"},
         {"region", "region-0"},
         {"failure_domain",
          DomainName(DomainOf(i, m_options.engines_per_domain))}});
  }
  for (const auto& [name, routes] : m_options.services) {
    config["services"].push_back(
        {{"name", name}, {"non_idempotent_routes", routes}});
    for (size_t i = 0; i < m_services.size(); ++i) {
      config["endpoints"].push_back(
          {{"address", ServiceIp(static_cast<int>(i)) + ":9100"},
           {"kind", "service"},
           {"group", name},
           {"region", "region-0"},
           {"failure_domain", DomainName(static_cast<int>(i))}});
    }
  }
  return config.dump();
}

std::string Deployment::VmListJson() const {
  json vms = json::array();
  for (int i = 0; i < daemon_count(); ++i) {
    vms.push_back({{"peer", DaemonIp(i) + ":7103"},
                   {"region", "region-0"},
                   {"failure_domain",
                    DomainName(DomainOf(i, m_options.daemons_per_domain))},
                   {"state", "live"}});
  }
  return json{{"vms", vms}}.dump();
}

void Deployment::PublishConfig(uint64_t number) {
  const HttpAnswer answer =
      Send("PUT", platform_url() + "/object/config/snapshot", {},
           ConfigJson(number));
  REQUIRE(answer.status == 200);
}

void Deployment::Control(const std::string& url, const std::string& text) {
  const HttpAnswer answer = Send("POST", url + "/control", {}, text);
  CAPTURE(answer.body);
  REQUIRE(answer.status == 200);
}

void Deployment::WaitForAllMembers() {
  for (int i = 0; i < daemon_count(); ++i) {
    if (!m_daemons[i]->is_running()) {
      continue;
    }
    WaitUntil("daemons to see each other", [&] {
      return Metric(i, "bramleybank_members_alive") >= daemon_count();
    });
  }
}

HttpAnswer Deployment::ChangeConfig(int daemon, const std::string& text) const {
  return Send("POST", operator_url(daemon) + "/config/changes", {}, text);
}

std::string Deployment::LeavingChange(int engine) const {
  return json{{"id", "leaving-" + std::to_string(engine)},
              {"action", "mark_leaving"},
              {"endpoint", {{"address", EngineIp(engine) + ":9000"}}}}
      .dump();
}

double Deployment::Metric(int daemon, const std::string& series) const {
  return MetricValue(operator_url(daemon) + "/metrics", series);
}

CallerResult RunCaller(const Deployment& deployment,
                       const CallerOptions& options) {
  CallerResult result;
  AnswerCollector collector(&result);
  const json body = MakeBody(options);
  const std::string path =
      options.chat ? "/v1/chat/completions" : "/v1/completions";
  int daemon = options.first_daemon;
  while (!result.done && result.error.empty() &&
         result.connections < kMaxConnections) {
    HttpHeaders headers = {{"Content-Type", "application/json"}};
    if (!result.event_ids.empty()) {
      headers.emplace_back("Last-Event-ID", result.event_ids.back());
    }
    ++result.connections;
    StreamReader reader(deployment.caller_url(daemon) + path, headers,
                        body.dump());
    size_t processed = 0;
    while (true) {
      reader.WaitForEvents(processed + 1);
      const std::vector<SseEvent> events = reader.Events();
      if (events.size() == processed) {
        break;
      }
      for (; processed < events.size(); ++processed) {
        const size_t before = result.texts.size();
        collector.AddEvent(events[processed]);
        if (result.texts.size() > before && options.on_token) {
          options.on_token(result);
        }
      }
      const auto count = static_cast<int>(result.texts.size());
      if (options.disconnect_after > 0 && count >= options.disconnect_after) {
        return result;
      }
    }
    result.status = reader.status();
    const bool is_refused = result.status != 0 && result.status != 200;
    if (is_refused && result.status != 503) {
      result.error = reader.Body();
    }
    daemon = (daemon + 1) % deployment.daemon_count();
  }
  result.faults = CheckAnswer(result, collector, body);
  return result;
}

}  // namespace bramleybank::testing
