// Polls and parses the platform's list of VMs.
#include "platform_vm_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "http_client.h"
#include "json_parse.h"
#include "member_message.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr Duration kPollInterval = std::chrono::seconds(10);
// An entry takes about 110 bytes. With 380 VMs, a list every 10 s would take
// 4 KB/s of the 11 KB/s that control traffic may use, and gossip delivers
// membership changes sooner anyway.
constexpr Duration kPollIntervalPerVm = std::chrono::milliseconds(150);
constexpr int kMaxBackoffDoublings = 3;
// Until the first list arrives, a daemon may know no peer at all, so it polls
// without backoff. 380 daemons that start together then cause 190 reads per
// second, the same rate as their reads of the configuration.
constexpr Duration kFirstListInterval = std::chrono::seconds(2);

VmEntry ParseVm(const json& value) {
  VmEntry vm{.peer = value.at("peer").get<std::string>(),
             .region = value.value("region", ""),
             .failure_domain = value.value("failure_domain", ""),
             .leaving = value.value("state", "live") == "leaving"};
  if (!IsPeerAddress(vm.peer)) {
    throw std::invalid_argument("\"" + vm.peer + "\" is not a peer address");
  }
  return vm;
}

}  // namespace

std::optional<std::vector<VmEntry>> ParseVmList(std::string_view text,
                                                Reason* error) {
  try {
    std::vector<VmEntry> vms;
    const json list = ParseJson(text);
    for (const json& entry : list.at("vms")) {
      vms.push_back(ParseVm(entry));
    }
    return vms;
  } catch (const std::exception& fault) {
    *error = {ResultCode::kBadJson, fault.what()};
    return std::nullopt;
  }
}

PlatformVmList::PlatformVmList(EventLoop* loop,
                               HttpClient* client,
                               std::string platform_url,
                               RandomHook random,
                               ListCallback on_list)
    : m_loop(loop),
      m_client(client),
      m_url(std::move(platform_url) + "/vms"),
      m_random(std::move(random)),
      m_on_list(std::move(on_list)) {}

PlatformVmList::~PlatformVmList() {
  m_loop->Cancel(m_timer);
  m_client->Cancel(m_transfer);
}

void PlatformVmList::Start() {
  Fetch();
}

void PlatformVmList::Fetch() {
  HttpClientRequest request;
  request.url = m_url;
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kPlatformTimeout;
  HttpClientCallbacks callbacks;
  callbacks.on_done = [this](const HttpOutcome& outcome) {
    OnAnswer(outcome.complete, outcome.status, outcome.body);
  };
  m_transfer = m_client->Start(request, std::move(callbacks));
}

void PlatformVmList::OnAnswer(bool complete,
                              int status,
                              const std::string& body) {
  m_transfer = {};
  std::optional<std::vector<VmEntry>> vms;
  if (complete && status == 200) {
    vms = ParseVmList(body, &m_last_reason);
  } else {
    m_last_reason = {ResultCode::kPlatformDown,
                     "GET /vms: status " + std::to_string(status)};
  }
  m_failures = vms ? 0 : m_failures + 1;
  m_has_list = m_has_list || vms.has_value();
  m_timer = m_loop->Schedule(NextDelay(), [this] { Fetch(); });
  if (vms) {
    m_vm_count = vms->size();
    m_on_list(*vms);
  }
}

Duration PlatformVmList::PollInterval() const {
  return std::max<Duration>(
      kPollInterval, kPollIntervalPerVm * static_cast<int64_t>(m_vm_count));
}

Duration PlatformVmList::NextDelay() {
  // Jitter: 50 % to 150 % of the interval, so that daemons that were started
  // together do not poll at the same time.
  const int doublings = std::min(m_failures, kMaxBackoffDoublings);
  const Duration interval =
      m_has_list ? PollInterval() * (1 << doublings) : kFirstListInterval;
  const auto span = static_cast<uint64_t>(interval.count());
  return interval / 2 + Duration(static_cast<int64_t>(m_random() % span));
}

}  // namespace bramleybank
