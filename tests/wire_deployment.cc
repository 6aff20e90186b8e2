// Starts the processes of a deployment and sends requests to them.
#include "wire_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "http_types.h"
#include "store_rows.h"
#include "wire_names.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;
using namespace platform;

constexpr char kHost[] = "site.example";
constexpr char kStorePort[] = "7500";
constexpr char kServerPort[] = "7600";
constexpr char kCallerPort[] = "8740";
constexpr char kReadyPort[] = "8749";
constexpr char kMetricsPort[] = "7200";
constexpr char kPeerPort[] = "7201";
// Numbers of the loopback addresses within one deployment.
constexpr int kStoreAddress = 1;
constexpr int kFirstGatewayAddress = 10;
constexpr int kFirstEngineAddress = 60;
constexpr int kFirstApplicationAddress = 160;
constexpr int kProxyAddress = 2;
constexpr char kProxyControlPort[] = "9900";
// First ports of the proxy; each link has its own port.
constexpr int kFirstServerLinkPort = 10000;
constexpr int kFirstStoreLinkPort = 11000;

std::string Url(int address, const char* port, const std::string& path) {
  return "http://" + LoopbackIp(address) + ":" + port + path;
}

std::string EngineUrl(int i, const std::string& path) {
  return Url(kFirstEngineAddress + i, kServerPort, path);
}

std::string ApplicationUrl(int i, const std::string& path) {
  return Url(kFirstApplicationAddress + i, kServerPort, path);
}

void Control(const std::string& url, const json& control) {
  REQUIRE(Send("POST", url, {}, control.dump()).status == 200);
}

HttpHeaders CallerHeaders(const std::string& request_id,
                          const std::string& key,
                          const std::string& timeout_ms) {
  return {{"Host", kHost},
          {kRequestIdHeader, request_id},
          {kTimeLeftHeader, timeout_ms},
          {kAuthorizationHeader, "Bearer " + key}};
}

json Route(const std::string& prefix,
           const std::string& kind,
           const std::string& service) {
  return {{"name", prefix},       {"host", kHost},
          {"prefix", prefix},     {"kind", kind},
          {"timeout_ms", 20000},  {"target_latency_ms", 2000},
          {"priority", 1},        {"service", service},
          {"max_attempts", 4},    {"resumable", kind == "streaming"},
          {"target_gap_ms", 2000}};
}

}  // namespace

WireDeployment::WireDeployment(const WireDeploymentOptions& options)
    : m_options(options),
      m_engines(options.domains * options.engines_per_domain),
      m_applications(options.domains * options.applications_per_domain),
      m_gateways(options.domains * options.gateways_per_domain),
      m_application_lines(m_applications.size()),
      m_application_ids(m_applications.size()) {
  m_store = std::make_unique<ChildProcess>(
      "standin_row_store", "[listen]\nip = " + LoopbackIp(kStoreAddress) +
                               "\nport = " + kStorePort + "\n");
  WaitReady(Url(kStoreAddress, kStorePort, "/standin/stats"));
  PublishConfig(1);
  if (m_options.is_proxied) {
    StartProxy();
  }
  for (int i = 0; i < engine_count(); ++i) {
    StartEngine(i);
  }
  for (int i = 0; i < application_count(); ++i) {
    StartApplication(i);
  }
  for (int i = 0; i < gateway_count(); ++i) {
    StartGateway(i);
  }
  for (int i = 0; i < gateway_count(); ++i) {
    WaitServing(i);
  }
}

WireDeployment::~WireDeployment() = default;

void WireDeployment::StartProxy() {
  std::string names;
  std::string sections;
  const auto add = [&](const std::string& name, int port,
                       const std::string& target_ip, const char* target_port) {
    names += (names.empty() ? "" : ",") + name;
    sections += "[" + name + "]\nip = " + LoopbackIp(kProxyAddress) +
                "\nport = " + std::to_string(port) +
                "\ntarget_ip = " + target_ip +
                "\ntarget_port = " + target_port + "\n";
  };
  for (int i = 0; i < server_count(); ++i) {
    const int address = i < engine_count()
                            ? kFirstEngineAddress + i
                            : kFirstApplicationAddress + i - engine_count();
    add("server-" + std::to_string(i), kFirstServerLinkPort + i,
        LoopbackIp(address), kServerPort);
  }
  for (int i = 0; i < gateway_count(); ++i) {
    add("store-" + std::to_string(i), kFirstStoreLinkPort + i,
        LoopbackIp(kStoreAddress), kStorePort);
  }
  m_proxy = std::make_unique<ChildProcess>(
      "fault_proxy", "[control]\nip = " + LoopbackIp(kProxyAddress) +
                         "\nport = " + kProxyControlPort +
                         "\n[pairs]\nnames = " + names + "\n" + sections);
  WaitReady(Url(kProxyAddress, kProxyControlPort, "/stats"));
}

std::string WireDeployment::AdvertisedAddress(int server) const {
  return m_proxy ? LoopbackIp(kProxyAddress) + ":" +
                       std::to_string(kFirstServerLinkPort + server)
                 : "";
}

std::string WireDeployment::StoreAddressFor(int gateway) const {
  return m_proxy ? LoopbackIp(kProxyAddress) + ":" +
                       std::to_string(kFirstStoreLinkPort + gateway)
                 : LoopbackIp(kStoreAddress) + ":" + kStorePort;
}

std::string WireDeployment::DomainOf(int i, int per_domain) const {
  return "domain-" + std::to_string((i / per_domain) % m_options.domains);
}

std::string WireDeployment::ServerIni(const std::string& ip,
                                      const std::string& id,
                                      const std::string& service,
                                      const std::string& domain,
                                      const std::string& lines) const {
  return "[listen]\nip = " + ip + "\nport = " + kServerPort +
         "\n[platform]\nstore = " + LoopbackIp(kStoreAddress) + ":" +
         kStorePort + "\n[server]\nid = " + id + "\nservice = " + service +
         "\nzone = " + domain + "\nrecord = " + m_record_path + "\n" + lines;
}

void WireDeployment::StartEngine(int i) {
  const std::string id = "engine-" + std::to_string(++m_server_starts);
  m_engines[i].reset();
  m_engines[i] = std::make_unique<ChildProcess>(
      "standin_wire_server",
      ServerIni(LoopbackIp(kFirstEngineAddress + i), id, "engines",
                DomainOf(i, m_options.engines_per_domain),
                "engine = true\nadvertised = " + AdvertisedAddress(i) + "\n" +
                    m_options.engine_settings));
  WaitReady(EngineUrl(i, "/standin/runs"));
}

void WireDeployment::StartApplication(int i) {
  const std::string id = "app-" + std::to_string(++m_server_starts);
  m_application_ids[i] = id;
  m_applications[i].reset();
  m_applications[i] = std::make_unique<ChildProcess>(
      "standin_wire_server",
      ServerIni(LoopbackIp(kFirstApplicationAddress + i), id, "apps",
                DomainOf(i, m_options.applications_per_domain),
                "advertised = " + AdvertisedAddress(engine_count() + i) + "\n" +
                    m_options.application_settings + m_application_lines[i]));
  WaitReady(ApplicationUrl(i, "/standin/runs"));
}

void WireDeployment::RemoveEntryOfApplication(int i) const {
  REQUIRE(Send("DELETE", Url(kStoreAddress, kStorePort,
                             "/standin/operator?table=servers&key=" +
                                 m_application_ids[i]))
              .status == 200);
}

int WireDeployment::AddApplications(const std::string& version) {
  const int first = application_count();
  for (int domain = 0; domain < m_options.domains; ++domain) {
    m_applications.emplace_back();
    m_application_ids.emplace_back();
    m_application_lines.push_back("version = " + version + "\n");
    StartApplication(application_count() - 1);
  }
  return first;
}

void WireDeployment::OrderRollout(const std::string& version,
                                  int duration_s) const {
  const json order = {
      {"service", "apps"}, {"to", version}, {"duration_s", duration_s}};
  PutRow("op", "rollout/apps", order.dump());
}

std::string WireDeployment::RolloutState() const {
  const HttpAnswer answer =
      Send("GET",
           Url(kStoreAddress, kStorePort, "/api/rows-get?table=status&part="));
  StoreRows rows;
  if (!DecodeRows(answer.body, &rows) || rows.rows.empty()) {
    return "";
  }
  CHECK(rows.rows[0].key == "rollout/apps");
  return json::parse(rows.rows[0].value).at("state").get<std::string>();
}

void WireDeployment::StartGateway(int i) {
  const std::string ip = LoopbackIp(kFirstGatewayAddress + i);
  std::string regions;
  for (int domain = 0; domain < m_options.domains; ++domain) {
    const std::string number = std::to_string(domain);
    regions += (domain == 0 ? "" : ", ");
    regions += "domain-" + number + " region-" + number;
  }
  const std::string domain = DomainOf(i, m_options.gateways_per_domain);
  m_gateways[i].reset();
  m_gateways[i] = std::make_unique<ChildProcess>(
      "bramleybankd",
      "[node]\nname = gateway-" + std::to_string(i) + "\nfailure_domain = " +
          domain + "\nregion = region-" + domain.substr(domain.find('-') + 1) +
          "\nregions = " + regions + "\n[listen]\ncaller = " + ip + ":" +
          kCallerPort + "\nready = " + ip + ":" + kReadyPort +
          "\nmetrics = " + ip + ":" + kMetricsPort + "\npeer = " + ip + ":" +
          kPeerPort + "\n[platform]\nstore = " + StoreAddressFor(i) + "\n" +
          m_options.gateway_settings,
      m_options.gateway_descriptors);
}

void WireDeployment::WaitGatewayReady(int i) const {
  WaitReady(ready_url(i));
}

void WireDeployment::WaitServing(int i) const {
  WaitGatewayReady(i);
  static int probes = 0;
  WaitUntil("a call through gateway " + std::to_string(i), [&] {
    const std::string id = "probe-" + std::to_string(++probes);
    return Call(i, "GET", "/reads/probe", id).status == 200;
  });
  WaitUntil("a stream through gateway " + std::to_string(i), [&] {
    const auto stream = Stream(i, "probe-" + std::to_string(++probes));
    stream->WaitForEvents(1);
    return !stream->Events().empty();
  });
}

void WireDeployment::PublishConfig(uint64_t version,
                                   const std::string& key,
                                   const std::string& extra_route) const {
  json routes = {Route("/streams/", "streaming", "engines"),
                 Route("/calls/", "unsafe", "apps"),
                 Route("/reads/", "safe", "apps")};
  if (!extra_route.empty()) {
    routes.push_back(Route(extra_route, "safe", "apps"));
  }
  const json engine = {{"slots", 8},
                       {"kv_capacity_tokens", 88000},
                       {"backups", true},
                       {"handle_s", 4.0}};
  json config = {
      {"version", version},
      {"routes", routes},
      {"services",
       {{{"name", "engines"}, {"engine", engine}}, {{"name", "apps"}}}},
      {"tenants", {{{"name", "customer-1"}, {"api_keys", {key}}}}}};
  if (!m_options.limits.empty()) {
    config["limits"] = m_options.limits;
  }
  PutRow("op", "config", config.dump());
}

void WireDeployment::PutRow(const std::string& table,
                            const std::string& key,
                            const std::string& value) const {
  REQUIRE(Send("PUT",
               Url(kStoreAddress, kStorePort,
                   "/standin/operator?table=" + table +
                       "&key=" + PercentEncode(key)),
               {}, value)
              .status == 200);
}

void WireDeployment::ControlStore(const json& control) const {
  Control(Url(kStoreAddress, kStorePort, "/standin/control"), control);
}

json WireDeployment::StoreStats() const {
  return json::parse(
      Send("GET", Url(kStoreAddress, kStorePort, "/standin/stats")).body);
}

void WireDeployment::ControlServerLink(int server, const json& control) const {
  json message = control;
  message["pair"] = "server-" + std::to_string(server);
  Control(Url(kProxyAddress, kProxyControlPort, "/control"), message);
}

void WireDeployment::ControlStoreLink(int gateway, const json& control) const {
  json message = control;
  message["pair"] = "store-" + std::to_string(gateway);
  Control(Url(kProxyAddress, kProxyControlPort, "/control"), message);
}

void WireDeployment::ControlEngine(int i, const json& control) const {
  Control(EngineUrl(i, "/standin/control"), control);
}

void WireDeployment::ControlApplication(int i, const json& control) const {
  Control(ApplicationUrl(i, "/standin/control"), control);
}

int WireDeployment::RunCountOfApplication(int i) const {
  const json record =
      json::parse(Send("GET", ApplicationUrl(i, "/standin/runs")).body);
  return static_cast<int>(record.at("runs").size());
}

int WireDeployment::ArrivalsAtApplication(int i) const {
  const json record =
      json::parse(Send("GET", ApplicationUrl(i, "/standin/runs")).body);
  return record.at("arrivals").get<int>();
}

int WireDeployment::MostArrivalsUnderLimit(
    int i,
    std::chrono::milliseconds window) const {
  // A gateway may still send what it chose before it was told.
  constexpr int64_t kNoticeMs = 500;
  const json record =
      json::parse(Send("GET", ApplicationUrl(i, "/standin/runs")).body);
  const auto stated_ms = record.at("limit_stated_ms").get<int64_t>();
  REQUIRE(stated_ms > 0);
  std::vector<int64_t> arrivals = record.at("arrivals_ms");
  std::erase_if(arrivals,
                [&](int64_t ms) { return ms < stated_ms + kNoticeMs; });
  std::ptrdiff_t most = 0;
  for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
    const auto end = std::upper_bound(it, arrivals.end(), *it + window.count());
    most = std::max(most, end - it);
  }
  return static_cast<int>(most);
}

bool WireDeployment::HasRunAtApplication(int i,
                                         const std::string& request_id) const {
  const HttpAnswer record = Send("GET", ApplicationUrl(i, "/standin/runs"));
  return record.body.find("\"" + request_id + "\"") != std::string::npos;
}

std::vector<std::string> WireDeployment::ServerUrls() const {
  std::vector<std::string> urls;
  for (int i = 0; i < engine_count(); ++i) {
    urls.push_back(EngineUrl(i, "/standin/runs"));
  }
  for (int i = 0; i < application_count(); ++i) {
    urls.push_back(ApplicationUrl(i, "/standin/runs"));
  }
  return urls;
}

std::vector<json> WireDeployment::RunsOf(const std::string& request_id) const {
  std::vector<json> found;
  for (const std::string& url : ServerUrls()) {
    const HttpAnswer answer = Send("GET", url);
    if (answer.status != 200) {
      continue;
    }
    const json record = json::parse(answer.body);
    for (const json& run : record.at("runs")) {
      if (run.at("request_id") == request_id) {
        found.push_back(run);
      }
    }
  }
  return found;
}

HttpAnswer WireDeployment::Call(int gateway,
                                const std::string& method,
                                const std::string& path,
                                const std::string& request_id,
                                const std::string& key) const {
  return Send(method, Url(kFirstGatewayAddress + gateway, kCallerPort, path),
              CallerHeaders(request_id, key, "10000"),
              method == "POST" ? "body of " + request_id : "");
}

std::unique_ptr<StreamReader> WireDeployment::Stream(
    int gateway,
    const std::string& request_id,
    const std::string& prompt_parts) const {
  HttpHeaders headers = CallerHeaders(request_id, "key-1", "25000");
  headers.emplace_back(kTokenCountsHeader, "8000,320");
  if (!prompt_parts.empty()) {
    headers.emplace_back(kPromptPartsHeader, prompt_parts);
  }
  return std::make_unique<StreamReader>(
      Url(kFirstGatewayAddress + gateway, kCallerPort, "/streams/one"), headers,
      "prompt of " + request_id);
}

void WireDeployment::CheckStreamComplete(const StreamReader& stream,
                                         const std::string& request_id,
                                         size_t events) const {
  stream.WaitForEnd();
  CHECK(stream.status() == 200);
  const auto received = stream.Events();
  REQUIRE(received.size() == events);
  for (size_t i = 0; i < events; ++i) {
    CHECK(received[i].data == request_id + " " + std::to_string(i + 1));
  }
}

int WireDeployment::engine_of(const std::string& request_id) const {
  int found = -1;
  WaitUntil("a run of " + request_id, [&] {
    for (int i = 0; i < engine_count(); ++i) {
      const HttpAnswer answer = Send("GET", EngineUrl(i, "/standin/runs"));
      if (answer.body.find("\"" + request_id + "\"") != std::string::npos) {
        found = i;
      }
    }
    return found >= 0;
  });
  return found;
}

std::string WireDeployment::caller_address(int gateway) const {
  return LoopbackIp(kFirstGatewayAddress + gateway) + ":" + kCallerPort;
}

std::string WireDeployment::metrics_address(int gateway) const {
  return LoopbackIp(kFirstGatewayAddress + gateway) + ":" + kMetricsPort;
}

std::string WireDeployment::ready_address(int gateway) const {
  return LoopbackIp(kFirstGatewayAddress + gateway) + ":" + kReadyPort;
}

std::string WireDeployment::peer_address(int gateway) const {
  return LoopbackIp(kFirstGatewayAddress + gateway) + ":" + kPeerPort;
}

std::string WireDeployment::metrics_url(int gateway) const {
  return Url(kFirstGatewayAddress + gateway, kMetricsPort, "/metrics");
}

std::string WireDeployment::ready_url(int gateway) const {
  return Url(kFirstGatewayAddress + gateway, kReadyPort, "/api/ready");
}

}  // namespace bramleybank::testing
