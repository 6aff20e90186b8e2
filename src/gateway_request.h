// A caller's request, and the metadata that headers carry between callers, the
// gateway and endpoints.
#ifndef BRAMLEYBANK_SRC_GATEWAY_REQUEST_H_
#define BRAMLEYBANK_SRC_GATEWAY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"
#include "http_types.h"
#include "prompt_part.h"

namespace bramleybank {

/// A complete request.
struct GatewayRequest {
  std::string method;
  /// Path and query as received.
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// When its first byte was read.
  TimePoint received_at;

  std::string_view Path() const {
    return std::string_view(target).substr(0, target.find('?'));
  }

  friend bool operator==(const GatewayRequest&,
                         const GatewayRequest&) = default;
};

/// What a caller's headers say, decoded by the platform's adapter.
struct RequestMetadata {
  /// Identifies one attempt of a client.
  std::string request_id;
  /// How long the client waits, counted from when it sent the request.
  std::optional<Duration> client_timeout;
  /// API key that identifies the customer; empty without one.
  std::string customer_key;
  /// Last event of a stream that the client has received.
  std::optional<uint64_t> last_event_id;
  /// Tokens of the prompt; 0 when not given.
  int64_t prompt_tokens = 0;
  /// Limit on the tokens of the answer; 0 when not given.
  int64_t max_output_tokens = 0;
  /// Identifies the parts of the prompt in order; empty when not given. A
  /// client that reconnects sends the same value.
  std::string prompt_parts;
  /// Hashes of the ids of all prompt parts but the last, which belongs to this
  /// request alone; at most kMaxSuspectParts, without repetitions.
  std::vector<PromptPartHash> shared_parts;

  friend bool operator==(const RequestMetadata&,
                         const RequestMetadata&) = default;
};

/// Where a copy of a generation's KV cache is stored.
struct BackupLocation {
  /// ip:port of the engine that holds the copy; the handle is valid only there.
  std::string address;
  std::string handle;

  friend bool operator==(const BackupLocation&,
                         const BackupLocation&) = default;
};

/// Answer of an engine that has copied a KV cache on request.
struct CopyAnswer {
  std::string handle;
  /// Events that the generation had produced when it was copied.
  int64_t events = 0;

  friend bool operator==(const CopyAnswer&, const CopyAnswer&) = default;
};

/// What the gateway tells an endpoint about an attempt.
struct AttemptMetadata {
  /// Id of the endpoint that must answer; any other endpoint refuses.
  std::string endpoint_id;
  Duration time_left{0};
  /// Customer that owns the API key; empty when there is none.
  std::string customer;
  /// The endpoint resumes the stream after this event.
  std::optional<uint64_t> last_event_id;
  /// Address of the engine that receives a backup of the KV cache.
  std::string backup_address;
  /// The backup from which the endpoint resumes.
  std::optional<BackupLocation> restore;
  /// Address of an engine from which the endpoint copies the parts of the
  /// prompt's KV cache that it lacks.
  std::string prompt_source;
  /// From 0, which is served first; empty where priorities are not used.
  std::optional<int> priority;

  friend bool operator==(const AttemptMetadata&,
                         const AttemptMetadata&) = default;
};

/// What the head of an endpoint's answer says.
struct AnswerMetadata {
  /// The endpoint guarantees that the request has not run.
  bool not_run = false;
  /// The address now belongs to another endpoint.
  bool misdirected = false;
  /// Callers take the answer's status for the promise that the request has not
  /// run. Only `not_run` and `misdirected` prove it.
  bool status_promises_not_run = false;
  /// The answer carries the endpoint's seal. A success without it is rejected.
  bool has_seal = false;
  /// The answer carries the id of another request.
  bool has_other_request_id = false;
  /// The endpoint is about to shut down.
  bool is_leaving = false;
  /// The endpoint refused the request and must get no requests from this
  /// gateway for this time.
  std::optional<Duration> retry_after;
  /// The endpoint limits the rate of its requests, readable or not.
  bool states_rate_limit = false;
  /// Requests per second that the endpoint takes from all gateways together.
  std::optional<double> rate_limit;
  /// Id of the endpoint that answered; empty when not given.
  std::string endpoint_id;

  friend bool operator==(const AnswerMetadata&,
                         const AnswerMetadata&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_REQUEST_H_
