// Routes, record of runs and fault injection of the service stand-in.
#include "standin_service_server.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "config_ini_reader.h"
#include "event_loop.h"
#include "http_request.h"
#include "http_responder.h"
#include "json_parse.h"

namespace bramleybank {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void Reply(HttpResponder* responder, int status, std::string body) {
  responder->Respond(status, {{"Content-Type", "application/json"}},
                     std::move(body));
}

bool IsCallRoute(const HttpRequest& request) {
  return request.method == "POST" &&
         (request.path == "/bookings" || request.path == "/charges" ||
          request.path == "/marks");
}

}  // namespace

ServiceSettings ReadServiceSettings(IniReader* reader) {
  ServiceSettings settings;
  settings.ip = reader->Ip("listen", "ip", "127.0.0.1");
  settings.port =
      static_cast<uint16_t>(reader->Int("listen", "port", 7400, 1, 65535));
  settings.control_port =
      static_cast<uint16_t>(reader->Int("listen", "control_port", 0, 0, 65535));
  return settings;
}

ServiceServer::ServiceServer(EventLoop* loop, const ServiceSettings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_listeners(loop, settings.ip, settings.port, settings.control_port) {}

bool ServiceServer::Start() {
  return m_listeners.Open(
      [this](const HttpRequest& request, const Responder& responder) {
        Handle(request, responder);
      });
}

void ServiceServer::Handle(const HttpRequest& request,
                           const Responder& responder) {
  if (request.path == "/control") {
    HandleControl(request, responder);
    return;
  }
  if (request.path == "/runs") {
    HandleRuns(responder);
    return;
  }
  ++m_requests;
  if (m_faults.close_point == ClosePoint::kBeforeRun) {
    responder->Abort();
  } else if (IsCallRoute(request)) {
    HandleCall(request, responder);
  } else if (request.path.starts_with("/status")) {
    HandleStatus(request, responder);
  } else {
    Reply(responder.get(), 404, R"({"error":"unknown path"})");
  }
}

void ServiceServer::HandleControl(const HttpRequest& request,
                                  const Responder& responder) {
  try {
    ApplyServiceControl(ParseJson(request.body), &m_faults);
  } catch (const std::exception& error) {
    Reply(responder.get(), 400, Dump({{"error", error.what()}}));
    return;
  }
  // A listener must not be closed from its own handler. The answer is sent
  // afterwards, so that the fault is active when the client receives it.
  m_loop->Post([this, responder] {
    m_listeners.SetRefuseConnections(m_faults.refuse);
    Reply(responder.get(), 200, R"({"ok":true})");
  });
}

void ServiceServer::HandleRuns(const Responder& responder) {
  json runs = json::array();
  for (const Run& run : m_runs) {
    runs.push_back(
        {{"call_id", run.call_id}, {"path", run.path}, {"body", run.body}});
  }
  Reply(responder.get(), 200, Dump({{"requests", m_requests}, {"runs", runs}}));
}

void ServiceServer::HandleStatus(const HttpRequest& request,
                                 const Responder& responder) {
  json headers = json::object();
  for (const auto& [name, value] : request.headers) {
    headers[name] = value;
  }
  json query = json::object();
  for (const auto& [name, value] : request.query) {
    query[name] = value;
  }
  std::string body = Dump({{"status", "ok"},
                           {"method", request.method},
                           {"path", request.path},
                           {"headers", headers},
                           {"query", query},
                           {"body", request.body}});
  m_loop->Schedule(milliseconds(m_faults.delay_before_answer_ms),
                   [this, responder, body = std::move(body)] {
                     SendAnswer(200, body, responder);
                   });
}

void ServiceServer::HandleCall(const HttpRequest& request,
                               const Responder& responder) {
  const Run run{.call_id = request.Header("X-Call-Id").value_or(""),
                .path = request.path,
                .body = request.body};
  if (m_faults.delay_before_run_ms == 0) {
    RunCall(run, responder);
    return;
  }
  m_loop->Schedule(milliseconds(m_faults.delay_before_run_ms),
                   [this, run, responder] { RunCall(run, responder); });
}

void ServiceServer::RunCall(const Run& run, const Responder& responder) {
  m_runs.push_back(run);
  if (m_faults.close_point == ClosePoint::kAfterRun) {
    responder->Abort();
    return;
  }
  std::string body = Dump({{"run", m_runs.size()}, {"call_id", run.call_id}});
  if (m_faults.delay_before_answer_ms == 0) {
    SendAnswer(201, std::move(body), responder);
    return;
  }
  m_loop->Schedule(milliseconds(m_faults.delay_before_answer_ms),
                   [this, responder, body = std::move(body)] {
                     SendAnswer(201, body, responder);
                   });
}

void ServiceServer::SendAnswer(int status,
                               std::string body,
                               const Responder& responder) {
  if (body.size() < m_faults.answer_bytes) {
    body.append(m_faults.answer_bytes - body.size(), ' ');
  }
  if (!m_faults.truncate) {
    responder->Respond(
        status,
        {{"Content-Type", "application/json"}, {"X-Service-Run", "yes"}},
        std::move(body));
    return;
  }
  responder->StartStream(status, {{"Content-Type", "application/json"}});
  responder->Write(std::string_view(body).substr(0, body.size() / 2));
  // The first half is sent before the connection closes.
  responder->SetDrainHandler(
      [responder = responder.get()] { responder->Abort(); });
}

}  // namespace bramleybank
