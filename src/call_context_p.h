// Context, request helpers and keys that the calls of a CallRunner share.
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

/// What a call uses from its CallRunner.
struct CallContext {
  EventLoop* loop;
  HttpClient* client;
  PlatformTable* table;
  PlatformObjects* objects;
  MetricRegistry* metrics;
  CallRunnerOptions options;
  /// Removes a call that has ended from its runner.
  std::function<void(uint64_t id)> close_call;
};

/// Parameters of one request to a service.
struct CallParameters {
  std::string service;
  /// Path within the service and the query, as the caller sent them.
  std::string target;
  std::string customer;
  /// Idempotency key; empty for calls that are not tracked in the table.
  std::string key;
};

/// @returns `<customer>/<service>/<key>`, each part percent-encoded. Endpoints
/// receive it in the X-Call-Id header.
std::string CallId(std::string_view customer,
                   std::string_view service,
                   std::string_view key);

/// @returns the table key of the call: `call/` followed by its CallId().
std::string CallRowKey(std::string_view customer,
                       std::string_view service,
                       std::string_view key);

/// @returns the headers without those that apply to a single connection or that
/// the HTTP libraries write themselves.
HttpHeaders HeadersToForward(const HttpHeaders& headers);

/// @returns the request to send to `endpoint`.
HttpClientRequest MakeServiceRequest(const HttpRequest& request,
                                     const CallParameters& parameters,
                                     const std::string& endpoint);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_CONTEXT_P_H_
