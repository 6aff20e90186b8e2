// HTTP requests for the configuration on the platform.
#include "platform_config_source.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "config_change.h"
#include "http_client.h"
#include "http_types.h"
#include "json_parse.h"

namespace bramleybank {
namespace {

using nlohmann::json;

// A snapshot with 12,000 endpoints and 38,000 customers is about 6 MB.
constexpr Duration kSnapshotTimeout = std::chrono::milliseconds(2500);

std::optional<std::vector<ConfigLogRow>> ParseRows(const std::string& text) {
  try {
    std::vector<ConfigLogRow> rows;
    const json answer = ParseJson(text);
    for (const json& entry : answer.at("rows")) {
      const auto number = ParseConfigLogKey(entry.at("key").get<std::string>());
      if (!number) {
        throw std::invalid_argument("a row key is not a configuration log key");
      }
      rows.push_back({*number, entry.at("value").get<std::string>()});
    }
    return rows;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

PlatformConfigSource::PlatformConfigSource(HttpClient* client,
                                           std::string platform_url)
    : m_client(client), m_url(std::move(platform_url)) {}

PlatformConfigSource::~PlatformConfigSource() {
  for (const uint64_t transfer : m_transfers) {
    m_client->Cancel(TransferHandle(transfer));
  }
}

void PlatformConfigSource::Start(HttpClientRequest request, DoneCallback done) {
  request.connect_timeout = kConnectTimeout;
  // The callback needs the handle, which is known only after Start() returns.
  const auto handle = std::make_shared<TransferHandle>();
  HttpClientCallbacks callbacks;
  callbacks.on_done = [this, handle,
                       done = std::move(done)](const HttpOutcome& outcome) {
    m_transfers.erase(handle->value());
    done(outcome);
  };
  *handle = m_client->Start(request, std::move(callbacks));
  m_transfers.insert(handle->value());
}

void PlatformConfigSource::ScanLog(uint64_t after,
                                   size_t limit,
                                   ConfigSyncHooks::ScanCallback callback) {
  HttpClientRequest request;
  request.url = m_url +
                "/table-scan?prefix=" + PercentEncode(kConfigLogPrefix) +
                "&after=" + PercentEncode(ConfigLogKey(after)) +
                "&limit=" + std::to_string(limit);
  request.total_timeout = kPlatformTimeout;
  Start(std::move(request),
        [callback = std::move(callback)](const HttpOutcome& outcome) {
          const bool answered = outcome.complete && outcome.status == 200;
          callback(answered ? ParseRows(outcome.body) : std::nullopt);
        });
}

void PlatformConfigSource::ReadSnapshot(
    ConfigSyncHooks::SnapshotCallback callback) {
  HttpClientRequest request;
  request.url = m_url + "/object/" + std::string(kConfigSnapshotObject);
  request.total_timeout = kSnapshotTimeout;
  Start(std::move(request),
        [callback = std::move(callback)](const HttpOutcome& outcome) {
          auto status = SnapshotReadStatus::kUnavailable;
          if (outcome.complete && outcome.status == 200) {
            status = SnapshotReadStatus::kFound;
          } else if (outcome.complete && outcome.status == 404) {
            status = SnapshotReadStatus::kNotFound;
          }
          callback(status, outcome.body);
        });
}

void PlatformConfigSource::WriteSnapshot(
    const std::string& text,
    std::function<void(bool written)> callback) {
  HttpClientRequest request;
  request.method = "PUT";
  request.url = m_url + "/object/" + std::string(kConfigSnapshotObject);
  request.body = text;
  request.total_timeout = kSnapshotTimeout;
  Start(std::move(request),
        [callback = std::move(callback)](const HttpOutcome& outcome) {
          callback(outcome.complete && outcome.status == 200);
        });
}

}  // namespace bramleybank
