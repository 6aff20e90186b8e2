// What the parts of CallRunner share.
#ifndef BRAMLEYBANK_SRC_CALL_CONTEXT_P_H_
#define BRAMLEYBANK_SRC_CALL_CONTEXT_P_H_

#include <cstdint>
#include <functional>
#include <string>

#include "call_runner.h"
#include "http_client.h"
#include "http_request.h"
#include "http_types.h"

namespace bramleybank {

/// Surroundings of one call.
struct CallContext {
  EventLoop* loop;
  HttpClient* client;
  PlatformTable* table;
  PlatformObjects* objects;
  MetricRegistry* metrics;
  CallRunnerOptions options;
  /// Drops a call that has ended.
  std::function<void(uint64_t id)> close_call;
};

/// One request to a service, taken apart.
struct CallRoute {
  std::string service;
  /// Path within the service with the query, as sent.
  std::string target;
  std::string customer;
  /// Empty for calls that are not tracked.
  std::string key;
};

/// @returns `<customer>/<service>/<key>` with each part encoded; endpoints get
/// it in X-Call-Id.
std::string CallId(std::string_view customer,
                   std::string_view service,
                   std::string_view key);

/// @returns `call/` and the id of the call.
std::string CallRowKey(std::string_view customer,
                       std::string_view service,
                       std::string_view key);

/// @returns headers without those that belong to one connection.
HttpHeaders PassedHeaders(const HttpHeaders& headers);

/// @returns the request for an endpoint.
HttpClientRequest MakeServiceRequest(const HttpRequest& request,
                                     const CallRoute& route,
                                     const std::string& endpoint);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_CONTEXT_P_H_
