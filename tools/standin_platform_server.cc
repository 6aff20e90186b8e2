// Routes, rate limits and fault injection of the platform stand-in.
#include "standin_platform_server.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "http_path.h"
#include "http_request.h"
#include "http_responder.h"
#include "json_parse.h"
#include "standin_reply.h"

namespace bramleybank {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr size_t kMaxScanRows = 1000;
constexpr uint64_t kMaxWeightBytes = 64 * 1024 * 1024;
constexpr size_t kMaxWaitingWeightBytes = 1024 * 1024 * 1024;

std::optional<uint64_t> ParseNumber(const std::optional<std::string>& text) {
  uint64_t value = 0;
  if (!text) {
    return std::nullopt;
  }
  const char* end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::string DecodeSuffix(std::string_view path, std::string_view prefix) {
  return PercentDecode(path.substr(prefix.size()));
}

PlatformWrite ParseWrite(const json& value) {
  return {.key = value.at("key").get<std::string>(),
          .value = value.at("value").get<std::string>(),
          .expected_version = value.at("expected_version").get<uint64_t>()};
}

}  // namespace

PlatformServer::PlatformServer(EventLoop* loop,
                               const PlatformSettings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_listeners(loop, settings.ip, settings.port, settings.control_port),
      m_write_limiter(settings.writes_per_s, settings.max_queue, &SteadyNow),
      m_read_limiter(settings.reads_per_s, settings.max_queue, &SteadyNow),
      m_weight_limiter(settings.weight_bytes_per_s,
                       kMaxWaitingWeightBytes,
                       &SteadyNow),
      m_vm_lag_ms(settings.vm_lag_ms) {}

bool PlatformServer::Start() {
  return m_listeners.Open(
      [this](const HttpRequest& request, const Responder& responder) {
        Handle(request, responder);
      });
}

void PlatformServer::Handle(const HttpRequest& request,
                            const Responder& responder) {
  const std::string& path = request.path;
  if (path == "/control") {
    HandleControl(request, responder);
  } else if (path == "/stats") {
    HandleStats(responder);
  } else if (m_faults.outage == OutageMode::kSilent) {
    // No answer; the connection stays open until the client closes it.
  } else if (m_faults.outage == OutageMode::kRefuse) {
    responder->Abort();
  } else if (path.starts_with("/table/")) {
    HandleTable(request, responder);
  } else if (path == "/table-batch") {
    HandleBatch(request, responder);
  } else if (path == "/table-scan") {
    HandleScan(request, responder);
  } else if (path.starts_with("/object/")) {
    HandleObject(request, responder);
  } else if (path.starts_with("/weights/")) {
    HandleWeights(request, responder);
  } else if (path == "/vms") {
    HandleVms(responder);
  } else {
    ReplyJson(responder.get(), 404, {{"error", "unknown path"}});
  }
}

void PlatformServer::HandleControl(const HttpRequest& request,
                                   const Responder& responder) {
  try {
    const json control = ParseJson(request.body);
    ApplyPlatformControl(control, &m_faults);
    m_vm_lag_ms = control.value("vm_lag_ms", m_vm_lag_ms);
    if (control.contains("vms")) {
      SetVms(control.at("vms"));
    }
  } catch (const std::exception& error) {
    ReplyJson(responder.get(), 400, {{"error", error.what()}});
    return;
  }
  // A listener must not be closed from its own handler. The answer is sent
  // afterwards, so that the fault is active when the client receives it.
  m_loop->Post([this, responder] {
    m_listeners.SetRefuseConnections(m_faults.outage == OutageMode::kRefuse);
    ReplyJson(responder.get(), 200, {{"ok", true}});
  });
}

void PlatformServer::HandleStats(const Responder& responder) {
  ReplyJson(responder.get(), 200,
            {{"reads", m_reads},
             {"write_requests", m_write_requests},
             {"rows_written", m_store.rows_written()},
             {"conflicts", m_store.conflicts()},
             {"refused", m_refused},
             {"held", m_held}});
}

void PlatformServer::RunWrite(double cost,
                              const Responder& responder,
                              Operation operation) {
  const auto delay = m_write_limiter.Admit(cost);
  if (!delay) {
    ++m_refused;
    ReplyJson(responder.get(), 503, {{"error", "write queue is full"}});
    return;
  }
  m_loop->Schedule(*delay + milliseconds(m_faults.delay_ms),
                   [this, responder, operation = std::move(operation)] {
                     FinishWrite(responder, operation);
                   });
}

void PlatformServer::FinishWrite(const Responder& responder,
                                 const Operation& operation) {
  ++m_write_requests;
  if (m_faults.hold_writes > 0) {
    --m_faults.hold_writes;
    ++m_held;
    const milliseconds late(m_faults.hold_ms);
    responder->SetCloseHandler([this, late, operation](bool) {
      m_loop->Schedule(late, [this, operation] {
        --m_held;
        operation();
      });
    });
    return;
  }
  const Answer answer = operation();
  if (m_faults.lose_answers > 0) {
    --m_faults.lose_answers;
    if (m_faults.lose_by_close) {
      responder->Abort();
    }
    return;
  }
  responder->Respond(answer.status, answer.headers, answer.body);
}

void PlatformServer::RunRead(const Responder& responder, Operation operation) {
  const auto delay = m_read_limiter.Admit(1);
  if (!delay) {
    ++m_refused;
    ReplyJson(responder.get(), 503, {{"error", "read queue is full"}});
    return;
  }
  m_loop->Schedule(*delay + milliseconds(m_faults.delay_ms),
                   [this, responder, operation = std::move(operation)] {
                     ++m_reads;
                     const Answer answer = operation();
                     responder->Respond(answer.status, answer.headers,
                                        answer.body);
                   });
}

void PlatformServer::HandleTable(const HttpRequest& request,
                                 const Responder& responder) {
  const std::string key = DecodeSuffix(request.path, "/table/");
  if (request.method == "GET") {
    RunRead(responder, [this, key]() -> Answer {
      const TableRow* row = m_store.Read(key);
      if (row == nullptr) {
        return {.status = 404};
      }
      return {.headers = {{"X-Row-Version", std::to_string(row->version)}},
              .body = row->value};
    });
    return;
  }
  const auto expected = ParseNumber(request.Header("X-Expected-Version"));
  if (request.method != "PUT" || !expected) {
    ReplyJson(responder.get(), 400, {{"error", "PUT with X-Expected-Version"}});
    return;
  }
  RunWrite(
      1, responder,
      [this, write = PlatformWrite{key, request.body, *expected}]() -> Answer {
        const auto version = m_store.Write(write);
        if (!version) {
          return {.status = 412};
        }
        return {.headers = {{"X-Row-Version", std::to_string(*version)}}};
      });
}

void PlatformServer::HandleBatch(const HttpRequest& request,
                                 const Responder& responder) {
  std::vector<PlatformWrite> writes;
  bool atomic = false;
  try {
    const json body = ParseJson(request.body);
    atomic = body.value("atomic", false);
    for (const json& write : body.at("writes")) {
      writes.push_back(ParseWrite(write));
    }
  } catch (const std::exception& error) {
    ReplyJson(responder.get(), 400, {{"error", error.what()}});
    return;
  }
  const double cost =
      m_settings.batch_counts_rows
          ? std::max<double>(1, static_cast<double>(writes.size()))
          : 1;
  RunWrite(cost, responder,
           [this, atomic, writes = std::move(writes)]() -> Answer {
             json results = json::array();
             for (const auto& version : m_store.WriteBatch(writes, atomic)) {
               results.push_back({{"written", version.has_value()},
                                  {"version", version.value_or(0)}});
             }
             return {.headers = {{"Content-Type", "application/json"}},
                     .body = json{{"results", results}}.dump()};
           });
}

void PlatformServer::HandleScan(const HttpRequest& request,
                                const Responder& responder) {
  const std::string prefix =
      PercentDecode(request.Query("prefix").value_or(""));
  const std::string after = PercentDecode(request.Query("after").value_or(""));
  const uint64_t limit = std::min<uint64_t>(
      kMaxScanRows, ParseNumber(request.Query("limit")).value_or(kMaxScanRows));
  RunRead(responder, [this, prefix, after, limit]() -> Answer {
    json rows = json::array();
    for (const auto& [key, row] : m_store.Scan(prefix, after, limit)) {
      rows.push_back(
          {{"key", key}, {"value", row.value}, {"version", row.version}});
    }
    return {.headers = {{"Content-Type", "application/json"}},
            .body = json{{"rows", rows}}.dump(-1, ' ', false,
                                              json::error_handler_t::replace)};
  });
}

void PlatformServer::HandleObject(const HttpRequest& request,
                                  const Responder& responder) {
  const std::string name = DecodeSuffix(request.path, "/object/");
  if (request.method == "GET") {
    RunRead(responder, [this, name]() -> Answer {
      const std::string* bytes = m_store.GetObject(name);
      if (bytes == nullptr) {
        return {.status = 404};
      }
      return {.body = *bytes};
    });
    return;
  }
  if (request.method != "PUT") {
    ReplyJson(responder.get(), 405, {{"error", "GET or PUT"}});
    return;
  }
  RunWrite(1, responder, [this, name, bytes = request.body]() -> Answer {
    m_store.PutObject(name, bytes);
    return {};
  });
}

void PlatformServer::HandleWeights(const HttpRequest& request,
                                   const Responder& responder) {
  const uint64_t bytes = ParseNumber(request.Query("bytes")).value_or(0);
  if (bytes > kMaxWeightBytes) {
    ReplyJson(responder.get(), 400, {{"error", "at most 64 MB a request"}});
    return;
  }
  const auto delay = m_weight_limiter.Admit(static_cast<double>(bytes));
  if (!delay) {
    ++m_refused;
    ReplyJson(responder.get(), 503, {{"error", "weight queue is full"}});
    return;
  }
  m_loop->Schedule(*delay, [responder, bytes] {
    responder->Respond(200, {}, std::string(bytes, 'w'));
  });
}

void PlatformServer::SetVms(const json& vms) {
  m_loop->Schedule(milliseconds(m_vm_lag_ms),
                   [this, vms] { m_visible_vms = vms; });
}

void PlatformServer::HandleVms(const Responder& responder) {
  RunRead(responder, [this]() -> Answer {
    return {.headers = {{"Content-Type", "application/json"}},
            .body = json{{"vms", m_visible_vms}}.dump()};
  });
}

}  // namespace bramleybank
