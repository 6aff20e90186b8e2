// Connections and requests of the soak test's callers.
#include "soak_caller.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <utility>

#include "http1_parser.h"
#include "tcp_address.h"
#include "wire_deployment.h"
#include "wire_names.h"

namespace bramleybank::testing {
namespace {

using namespace platform;

// Callers abandon a request after this time. A gateway must have ended it long
// before, so only a hang exceeds the timeout.
constexpr int kHangTimeoutMs = 60000;
constexpr int kConnectTimeoutMs = 2000;
constexpr size_t kMaxHeadBytes = 65536;
constexpr auto kRequestInterval = std::chrono::milliseconds(10);

bool WaitFor(int fd, short events, int timeout_ms) {
  pollfd waiting{.fd = fd, .events = events, .revents = 0};
  return poll(&waiting, 1, timeout_ms) == 1;
}

}  // namespace

SoakConnection::~SoakConnection() {
  Close();
}

void SoakConnection::Close() {
  if (m_fd >= 0) {
    close(m_fd);
    m_fd = -1;
  }
}

bool SoakConnection::Connect(const std::string& address) {
  if (m_fd >= 0) {
    return true;
  }
  const auto socket_address = ParseTcpAddress(address);
  m_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int started =
      connect(m_fd, reinterpret_cast<const sockaddr*>(&*socket_address),
              sizeof(*socket_address));
  int error = 0;
  socklen_t size = sizeof(error);
  const bool is_open =
      (started == 0 || errno == EINPROGRESS) &&
      WaitFor(m_fd, POLLOUT, kConnectTimeoutMs) &&
      getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  if (!is_open) {
    Close();
  }
  return is_open;
}

void SoakConnection::Exchange(const std::string& address,
                              const std::string& request,
                              SoakOutcome* outcome) {
  if (!Connect(address)) {
    return;
  }
  bool keep_alive = false;
  Http1Parser parser(
      Http1Parser::Direction::kResponses, kMaxHeadBytes,
      {.on_head =
           [&](const Http1Head& head) {
             outcome->status = head.status;
             outcome->headers = head.headers;
             keep_alive = head.keep_alive;
           },
       .on_body = [&](std::string_view data) { outcome->body.append(data); },
       .on_complete = [&] { outcome->is_complete = true; }});
  const ssize_t sent = send(m_fd, request.data(), request.size(), MSG_NOSIGNAL);
  bool is_open = sent == static_cast<ssize_t>(request.size());
  while (is_open && !outcome->is_complete &&
         parser.error() == Http1ParseError::kNone) {
    if (!WaitFor(m_fd, POLLIN, kHangTimeoutMs)) {
      outcome->is_hung = true;
      break;
    }
    std::array<char, 16384> buffer{};
    const ssize_t got = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (got > 0) {
      parser.Feed({buffer.data(), static_cast<size_t>(got)});
    } else if (got == 0) {
      parser.FeedEof();
      is_open = false;
    } else if (errno != EAGAIN) {
      is_open = false;
    }
  }
  if (!is_open || !outcome->is_complete || !keep_alive) {
    Close();
  }
}

SoakCaller::SoakCaller(SoakSharedState* shared,
                       std::string name,
                       uint64_t seed,
                       bool streams)
    : m_shared(shared),
      m_name(std::move(name)),
      m_streams(streams),
      m_random(seed),
      m_thread(&SoakCaller::Run, this) {}

SoakCaller::~SoakCaller() {
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

const std::vector<SoakOutcome>& SoakCaller::Join() {
  m_thread.join();
  return m_outcomes;
}

void SoakCaller::Run() {
  while (!m_shared->is_stopping) {
    SendOne();
    std::this_thread::sleep_for(kRequestInterval);
  }
}

void SoakCaller::SendOne() {
  SoakOutcome outcome;
  outcome.id = m_name + "-" + std::to_string(m_outcomes.size());
  outcome.gateway = static_cast<int>(m_random() % m_shared->gateways.size());
  constexpr std::array kCalls = {SoakKind::kCall, SoakKind::kCall,
                                 SoakKind::kRead, SoakKind::kProbe};
  outcome.kind =
      m_streams ? SoakKind::kStream : kCalls[m_random() % kCalls.size()];
  if (outcome.kind == SoakKind::kProbe) {
    // Probes the newest version or, half of the time, the one before it.
    const uint64_t newest = m_shared->config_version;
    outcome.probed_version = newest - (newest > 1 ? m_random() % 2 : 0);
  }
  outcome.incarnation = *m_shared->incarnations[outcome.gateway];
  m_connections[outcome.gateway].Exchange(m_shared->gateways[outcome.gateway],
                                          RequestFor(outcome), &outcome);
  const bool restarted =
      outcome.incarnation != *m_shared->incarnations[outcome.gateway];
  if (restarted) {
    outcome.incarnation = -1;
  }
  m_outcomes.push_back(std::move(outcome));
}

std::string SoakCaller::RequestFor(const SoakOutcome& outcome) const {
  const std::string body =
      outcome.kind == SoakKind::kCall || outcome.kind == SoakKind::kStream
          ? "body of " + outcome.id
          : "";
  std::string line = "GET /reads/x";
  std::string timeout_ms = "4000";
  if (outcome.kind == SoakKind::kCall) {
    line = "POST /calls/x";
  } else if (outcome.kind == SoakKind::kStream) {
    line = "POST /streams/x";
    timeout_ms = "15000";
  } else if (outcome.kind == SoakKind::kProbe) {
    line = "GET " + WireDeployment::ProbeRoute(outcome.probed_version) + "x";
  }
  std::string request = line + " HTTP/1.1\r\nHost: site.example\r\n";
  const auto add = [&request](const char* name, const std::string& value) {
    request.append(name).append(": ").append(value).append("\r\n");
  };
  add(kRequestIdHeader, outcome.id);
  add(kTimeLeftHeader, timeout_ms);
  add(kAuthorizationHeader, "Bearer key-1");
  if (outcome.kind == SoakKind::kStream) {
    add(kTokenCountsHeader, "8000,320");
  }
  add("Content-Length", std::to_string(body.size()));
  return request + "\r\n" + body;
}

}  // namespace bramleybank::testing
