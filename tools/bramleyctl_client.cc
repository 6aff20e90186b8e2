// Blocking HTTP client of bramleyctl.
#include "bramleyctl_client.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {

CtlClient::CtlClient(std::vector<std::string> targets)
    : m_targets(std::move(targets)), m_client(&m_loop) {}

HttpOutcome CtlClient::SendTo(const std::string& target,
                              const CtlRequest& request) {
  HttpClientRequest out;
  out.method = request.method;
  out.url = "http://" + target + request.path;
  out.headers = request.headers;
  out.body = request.body;
  out.connect_timeout = kConnectTimeout;
  out.total_timeout = request.timeout;
  HttpOutcome result;
  HttpClientCallbacks callbacks;
  callbacks.on_done = [this, &result](const HttpOutcome& outcome) {
    result = outcome;
    m_loop.Stop();
  };
  m_loop.Post([&] { m_client.Start(out, std::move(callbacks)); });
  m_loop.Run();
  return result;
}

CtlAnswer CtlClient::Send(const CtlRequest& request) {
  CtlAnswer answer;
  for (size_t i = 0; i < m_targets.size(); ++i) {
    const HttpOutcome outcome = SendTo(m_targets[i], request);
    if (outcome.complete && outcome.status != 0) {
      std::rotate(m_targets.begin(),
                  m_targets.begin() + static_cast<std::ptrdiff_t>(i),
                  m_targets.end());
      answer.status = outcome.status;
      answer.body = outcome.body;
      answer.target = m_targets.front();
      return answer;
    }
    answer.maybe_received =
        answer.maybe_received || outcome.request_bytes_sent > 0;
    std::cerr << "Target " << m_targets[i]
              << " does not answer: " << outcome.error << ".\n";
  }
  return answer;
}

void CtlClient::Sleep(Duration time) {
  m_loop.Schedule(time, [this] { m_loop.Stop(); });
  m_loop.Run();
}

}  // namespace bramleybank
