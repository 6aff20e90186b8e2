// Reads and batched conditional writes over HTTP.
#include "platform_http_table.h"

#include <cassert>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "http_client.h"
#include "json_parse.h"

namespace bramleybank {
namespace {

using nlohmann::json;

// HTTP status of a platform whose write queue is full; nothing was written.
constexpr int kQueueFullStatus = 503;

TableReadResult ToReadResult(const HttpOutcome& outcome) {
  TableReadResult result;
  if (!outcome.complete) {
    return result;
  }
  if (outcome.status == 404) {
    result.status = TableReadStatus::kNotFound;
    return result;
  }
  const auto text = FindHeader(outcome.headers, "X-Row-Version");
  if (outcome.status != 200 || !text) {
    return result;
  }
  uint64_t version = 0;
  const char* end = text->data() + text->size();
  const auto [stop, fault] = std::from_chars(text->data(), end, version);
  if (fault != std::errc() || stop != end) {
    return result;
  }
  result.status = TableReadStatus::kFound;
  result.row = {.value = outcome.body, .version = version};
  return result;
}

/// @returns `count` results. All of them have the same status when the answer
/// has no usable results.
std::vector<TableWriteResult> ToWriteResults(const HttpOutcome& outcome,
                                             size_t count) {
  std::vector<TableWriteResult> results(count);
  const bool refused = outcome.complete && outcome.status == kQueueFullStatus;
  if (outcome.request_bytes_sent == 0 || refused) {
    for (TableWriteResult& result : results) {
      result.status = TableWriteStatus::kNotWritten;
    }
    return results;
  }
  if (!outcome.complete || outcome.status != 200) {
    return results;
  }
  const json answer = TryParseJson(outcome.body);
  const json list = answer.is_object() ? answer.value("results", json::array())
                                       : json::array();
  if (list.size() != count) {
    return results;
  }
  try {
    for (size_t i = 0; i < count; ++i) {
      const bool written = list[i].at("written").get<bool>();
      results[i] = {
          written ? TableWriteStatus::kWritten : TableWriteStatus::kConflict,
          list[i].at("version").get<uint64_t>()};
    }
  } catch (const json::exception&) {
    return std::vector<TableWriteResult>(count);
  }
  return results;
}

}  // namespace

PlatformHttpTable::PlatformHttpTable(EventLoop* loop,
                                     HttpClient* client,
                                     std::string base_url)
    : m_loop(loop), m_client(client), m_base_url(std::move(base_url)) {
  assert(loop != nullptr && client != nullptr);
}

PlatformHttpTable::~PlatformHttpTable() {
  m_loop->Cancel(m_flush_timer);
}

void PlatformHttpTable::Read(std::string_view key, ReadCallback callback) {
  HttpClientRequest request;
  request.url = m_base_url + "/table/" + PercentEncode(key);
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kPlatformTimeout;
  HttpClientCallbacks callbacks;
  callbacks.on_done = [alive = std::weak_ptr<bool>(m_alive),
                       callback =
                           std::move(callback)](const HttpOutcome& outcome) {
    if (!alive.expired()) {
      callback(ToReadResult(outcome));
    }
  };
  m_client->Start(request, std::move(callbacks));
}

void PlatformHttpTable::Write(std::string_view key,
                              std::string_view value,
                              uint64_t expected_version,
                              WriteCallback callback) {
  const size_t bytes = key.size() + value.size();
  if (!m_batch.empty() && m_batch_bytes + bytes > kMaxTableBatchBytes) {
    Flush();
  }
  m_batch.push_back({std::string(key), std::string(value), expected_version,
                     std::move(callback)});
  m_batch_bytes += bytes;
  if (m_batch.size() >= kMaxTableBatchRows) {
    Flush();
  } else if (!m_flush_timer.is_valid()) {
    m_flush_timer = m_loop->Schedule(kTableBatchWindow, [this] { Flush(); });
  }
}

void PlatformHttpTable::Flush() {
  m_loop->Cancel(std::exchange(m_flush_timer, TimerHandle()));
  m_batch_bytes = 0;
  auto batch = std::make_shared<const Batch>(std::exchange(m_batch, {}));
  json writes = json::array();
  for (const PendingWrite& write : *batch) {
    writes.push_back({{"key", write.key},
                      {"value", write.value},
                      {"expected_version", write.expected_version}});
  }
  HttpClientRequest request;
  request.method = "POST";
  request.url = m_base_url + "/table-batch";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = json{{"writes", std::move(writes)}, {"atomic", false}}.dump();
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kPlatformTimeout;
  // If libcurl repeated the request, the second attempt could find the row that
  // the first attempt wrote, and report a conflict although the write was
  // carried out.
  request.single_attempt = true;
  HttpClientCallbacks callbacks;
  callbacks.on_done = [alive = std::weak_ptr<bool>(m_alive),
                       batch](const HttpOutcome& outcome) {
    if (!alive.expired()) {
      FinishBatch(*batch, outcome);
    }
  };
  m_client->Start(request, std::move(callbacks));
}

void PlatformHttpTable::FinishBatch(const Batch& batch,
                                    const HttpOutcome& outcome) {
  const auto results = ToWriteResults(outcome, batch.size());
  for (size_t i = 0; i < batch.size(); ++i) {
    batch[i].callback(results[i]);
  }
}

}  // namespace bramleybank
