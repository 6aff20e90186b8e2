// GET and PUT requests for objects.
#include "platform_http_objects.h"

#include <cassert>
#include <utility>

#include "bramleybank/limits.h"
#include "http_client.h"

namespace bramleybank {
namespace {

HttpClientRequest MakeRequest(const std::string& base_url,
                              std::string_view name) {
  HttpClientRequest request;
  request.url = base_url + "/object/" + PercentEncode(name);
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kPlatformTimeout;
  return request;
}

ObjectReadResult ToReadResult(const HttpOutcome& outcome) {
  if (outcome.complete && outcome.status == 200) {
    return {.status = ObjectReadStatus::kFound, .bytes = outcome.body};
  }
  if (outcome.complete && outcome.status == 404) {
    return {.status = ObjectReadStatus::kNotFound, .bytes = {}};
  }
  return {};
}

}  // namespace

PlatformHttpObjects::PlatformHttpObjects(HttpClient* client,
                                         std::string base_url)
    : m_client(client), m_base_url(std::move(base_url)) {
  assert(client != nullptr);
}

void PlatformHttpObjects::Get(std::string_view name, GetCallback callback) {
  HttpClientCallbacks callbacks;
  callbacks.on_done = [alive = std::weak_ptr<bool>(m_alive),
                       callback =
                           std::move(callback)](const HttpOutcome& outcome) {
    if (!alive.expired()) {
      callback(ToReadResult(outcome));
    }
  };
  m_client->Start(MakeRequest(m_base_url, name), std::move(callbacks));
}

void PlatformHttpObjects::Put(std::string_view name,
                              std::string_view bytes,
                              PutCallback callback) {
  HttpClientRequest request = MakeRequest(m_base_url, name);
  request.method = "PUT";
  request.headers = {{"Content-Type", "application/octet-stream"}};
  request.body = bytes;
  HttpClientCallbacks callbacks;
  callbacks.on_done = [alive = std::weak_ptr<bool>(m_alive),
                       callback =
                           std::move(callback)](const HttpOutcome& outcome) {
    if (!alive.expired()) {
      callback(outcome.complete && outcome.status == 200);
    }
  };
  m_client->Start(request, std::move(callbacks));
}

}  // namespace bramleybank
