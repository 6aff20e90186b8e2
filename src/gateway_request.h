// One request as a caller sent it to the gateway, and what its headers say.
#ifndef BRAMLEYBANK_SRC_GATEWAY_REQUEST_H_
#define BRAMLEYBANK_SRC_GATEWAY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hooks.h"
#include "http_types.h"

namespace bramleybank {

/// A whole request.
struct GatewayRequest {
  std::string method;
  /// Path and query as sent.
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
  /// Names one attempt of a client.
  std::string request_id;
  /// How long the client waits from the moment it sent the request.
  std::optional<Duration> client_timeout;
  /// Key that names the customer; empty without one.
  std::string customer_key;
  /// Last event of a stream that the client has.
  std::optional<uint64_t> last_event_id;
  /// Tokens of the prompt; 0 when not told.
  int64_t prompt_tokens = 0;
  /// Names the parts of the prompt in their order; empty when not told. A
  /// client that comes back sends the same.
  std::string prompt_parts;

  friend bool operator==(const RequestMetadata&,
                         const RequestMetadata&) = default;
};

/// Names a copy of a run's memory for the engine that holds it.
struct BackupLocation {
  /// ip:port of the engine that the name is valid at.
  std::string address;
  std::string handle;

  friend bool operator==(const BackupLocation&,
                         const BackupLocation&) = default;
};

/// Answer of an engine that has copied a run's memory by order.
struct CopyAnswer {
  std::string handle;
  /// Events that the run had made by then.
  int64_t events = 0;

  friend bool operator==(const CopyAnswer&, const CopyAnswer&) = default;
};

/// What the gateway tells an endpoint about an attempt.
struct AttemptMetadata {
  /// Id of the endpoint that must answer; another one refuses.
  std::string endpoint_id;
  Duration time_left{0};
  /// Customer that holds the key; empty when there is none.
  std::string customer;
  /// The endpoint goes on after this event.
  std::optional<uint64_t> last_event_id;
  /// Address of the engine that gets a copy of the run's memory.
  std::string backup_address;
  /// The copy from which the endpoint goes on.
  std::optional<BackupLocation> restore;
  /// Address of an engine from which the endpoint copies the prompt, as far as
  /// it does not have it.
  std::string prompt_source;

  friend bool operator==(const AttemptMetadata&,
                         const AttemptMetadata&) = default;
};

/// What the head of an endpoint's answer says.
struct AnswerMetadata {
  /// The endpoint promises that the request has not run.
  bool not_run = false;
  /// Another endpoint has the address now.
  bool misdirected = false;
  /// The answer carries the endpoint's mark, without which no success counts.
  bool has_seal = false;
  /// The answer names another request.
  bool has_other_request_id = false;
  /// The endpoint is about to stop.
  bool is_leaving = false;
  /// The endpoint refused and wants no requests from this gateway for so long.
  std::optional<Duration> retry_after;
  /// Id of the endpoint that answered; empty when it does not tell.
  std::string endpoint_id;

  friend bool operator==(const AnswerMetadata&,
                         const AnswerMetadata&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_REQUEST_H_
